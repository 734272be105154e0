package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/runner"
)

// troubles are the ways in which a backend server answers no call any more.
var troubles = map[string]backendTrouble{
	"hangs": func(ctx context.Context) error {
		<-ctx.Done()
		return runner.ErrOutcomeUnknown
	},
	"rejects": func(context.Context) error { return runner.ErrUnavailable },
	"blocks the agent": func(context.Context) error { // for longer than the limit of the call
		time.Sleep(time.Minute)
		return runner.ErrOutcomeUnknown
	},
}

// Guards against a long-running task that is never started again: its backend server
// answers nothing any more, and its agent goes on reporting the run.
func TestTasksOfABackendServerThatAnswersNothingStartElsewhere(t *testing.T) {
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerSite(t, 800)
				defer s.stop()
				s.start("entry-1", 400)
				backends := s.startBackends(2)
				s.submitLongRunning(1)
				from, to := backends[0], backends[1]
				if len(from.running()) == 0 {
					from, to = to, from
				}
				require.Len(t, from.running(), 1)
				from.trouble.Set(&trouble)
				began := time.Now()
				for len(to.running()) == 0 && time.Since(began) < 30*time.Second {
					s.requireSingleRuns(backends, 20*time.Millisecond)
				}
				t.Logf("the task starts elsewhere after %v", time.Since(began))
				require.Less(t, time.Since(began), 9*time.Second)
				s.requireSingleRuns(backends, 10*time.Second)

				from.trouble.Set(nil)
				s.requireSingleRuns(backends, time.Minute)
				require.Len(t, to.running(), 1)
				require.EqualValues(t, "ready", from.agent.core.Host().State.String(), "the backend server answers again")
			})
		})
	}
}

// Guards against a run that is given up because its backend server takes a second or more
// for each answer, and so exceeds the time of each poll.
func TestTasksStayOnASlowBackendServer(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, time.Second, 1400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerSite(t, 800)
				defer s.stop()
				s.start("entry-1", 400)
				backends := s.startBackends(1)
				s.submitLongRunning(1)
				before := backends[0].running()
				require.Len(t, before, 1)
				slow := backendTrouble(func(ctx context.Context) error {
					if !actor.Sleep(ctx, delay) {
						return runner.ErrOutcomeUnknown
					}
					return nil
				})
				backends[0].trouble.Set(&slow)
				s.advance(time.Minute)
				require.Equal(t, before, backends[0].running())
				require.Zero(t, backends[0].lastEnd, "the run went on all the time")
			})
		})
	}
}
