package jobdaemon

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/runner"
)

// runCalls performs calls in the order of their arrival, up to maxCalls at a
// time. A call that has waited until its SendBefore is not sent: the state of the
// host with which it was decided may be outdated.
func (a *agent) runCalls(ctx context.Context, r runner.Runner, in <-chan hostagent.Call) error {
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	for range maxCalls {
		actor.Go(g, "caller", func(ctx context.Context) error {
			for {
				select {
				case c := <-in:
					answer := hostagent.Answer{Call: c, Err: runner.ErrNotSent}
					if c.SendBefore == 0 || time.Since(a.startedAt) < c.SendBefore {
						answer = perform(ctx, r, c)
					}
					_ = a.address.Send(ctx, &callAnswered{answer}) // an error means that the process ends
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	<-ctx.Done()
	return nil
}

// perform makes a call to the backend server.
func perform(ctx context.Context, r runner.Runner, c hostagent.Call) hostagent.Answer {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := hostagent.Answer{Call: c}
	switch {
	case c.Start != nil:
		answer.ClockMS, answer.Err = r.Start(limited, c.Target, *c.Start)
	case c.Stop != nil:
		answer.ClockMS, answer.Err = r.Stop(limited, c.Target, *c.Stop)
	case c.Throttle != nil:
		answer.ClockMS, answer.Err = r.Throttle(limited, c.Target, c.Throttle.Run, c.Throttle.Percent)
	case c.Poll != nil:
		answer.Response, answer.Err = r.Poll(limited, c.Target, *c.Poll)
		answer.ClockMS = answer.Response.ClockMS
	}
	return answer
}

// runPolls performs the polls of the backend server one after another.
func (a *agent) runPolls(ctx context.Context, r runner.Runner, in <-chan hostagent.Poll) error {
	for {
		select {
		case poll := <-in:
			if poll.Pause > 0 && !actor.Sleep(ctx, poll.Pause) {
				return nil
			}
			limited, cancel := context.WithTimeout(ctx, poll.Request.Wait+pollMargin)
			response, err := r.Poll(limited, poll.Target, poll.Request)
			cancel()
			_ = a.address.Send(ctx, &pollAnswered{poll, response, err}) // an error means that the process ends
		case <-ctx.Done():
			return nil
		}
	}
}
