package jobdaemon

import (
	"context"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/runner"
)

// runCallers performs calls, a few at a time, in the order given.
func (a *agent) runCallers(ctx context.Context, r runner.Runner, in <-chan hostagent.Call) error {
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	for range callers {
		actor.Go(g, "caller", func(ctx context.Context) error {
			for {
				select {
				case c := <-in:
					_ = a.address.Send(ctx, &callAnswered{perform(ctx, r, c)}) // an error means that the process ends
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	<-ctx.Done()
	return nil
}

func perform(ctx context.Context, r runner.Runner, c hostagent.Call) hostagent.Answer {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ans := hostagent.Answer{Call: c}
	switch {
	case c.Start != nil:
		ans.ClockMS, ans.Err = r.Start(limited, c.Target, *c.Start)
	case c.Stop != nil:
		ans.ClockMS, ans.Err = r.Stop(limited, c.Target, *c.Stop)
	case c.Throttle != nil:
		ans.ClockMS, ans.Err = r.Throttle(limited, c.Target, c.Throttle.Run, c.Throttle.Percent)
	case c.Poll != nil:
		ans.Response, ans.Err = r.Poll(limited, c.Target, *c.Poll)
		ans.ClockMS = ans.Response.ClockMS
	}
	return ans
}

func (a *agent) runHolds(ctx context.Context, r runner.Runner, in <-chan hostagent.Poll) error {
	for {
		select {
		case o := <-in:
			if o.Pause > 0 && !actor.Sleep(ctx, o.Pause) {
				return nil
			}
			limited, cancel := context.WithTimeout(ctx, o.Request.Wait+holdMargin)
			l, err := r.Poll(limited, o.Target, o.Request)
			cancel()
			_ = a.address.Send(ctx, &holdAnswered{o, l, err}) // an error means that the process ends
		case <-ctx.Done():
			return nil
		}
	}
}
