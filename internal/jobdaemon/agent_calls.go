package jobdaemon

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/runner"
)

// agentCall is a call with the life of the core that makes it.
type agentCall struct {
	life int
	call hostagent.Call
}

// agentPoll is a poll with the life of the core that makes it.
type agentPoll struct {
	life int
	poll hostagent.Poll
}

// runCalls performs calls in the order of their arrival, up to maxCalls at a
// time. A call that has waited until its SendBefore is not sent: the state of the
// host with which it was decided may be outdated.
func (a *agent) runCalls(ctx context.Context, r runner.Runner, in <-chan agentCall) error {
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	for range maxCalls {
		actor.Go(g, "caller", func(ctx context.Context) error {
			for {
				select {
				case c := <-in:
					_ = a.address.Send(ctx, &callAnswered{c.life, a.answer(ctx, r, c.call)}) // an error means that the process ends
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	<-ctx.Done()
	return nil
}

// answer performs a call unless it has waited for too long.
func (a *agent) answer(ctx context.Context, r runner.Runner, c hostagent.Call) hostagent.Answer {
	if c.SendBefore != 0 && time.Since(a.startedAt) >= c.SendBefore {
		return hostagent.Answer{Call: c, Err: runner.ErrNotSent}
	}
	answer := hostagent.Answer{Call: c, Err: runner.ErrOutcomeUnknown} // if perform fails
	a.try("caller", func() { answer = perform(ctx, r, c) })
	return answer
}

// try calls f, and logs a panic of it.
func (a *agent) try(name string, f func()) {
	if err := actor.Try(f); err != nil {
		event.Log(a.log, event.ActorFailed, log.Fields{"actor": name, "error": err.Error(), "restart": true})
	}
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
func (a *agent) runPolls(ctx context.Context, r runner.Runner, in <-chan agentPoll) error {
	for {
		select {
		case p := <-in:
			poll := p.poll
			if poll.Pause > 0 && !actor.Sleep(ctx, poll.Pause) {
				return nil
			}
			limited, cancel := context.WithTimeout(ctx, poll.Timeout)
			response, err := runner.PollResponse{}, runner.ErrOutcomeUnknown // if Poll fails
			a.try("holder", func() { response, err = r.Poll(limited, poll.Target, poll.Request) })
			cancel()
			_ = a.address.Send(ctx, &pollAnswered{p.life, poll, response, err}) // an error means that the process ends
		case <-ctx.Done():
			return nil
		}
	}
}
