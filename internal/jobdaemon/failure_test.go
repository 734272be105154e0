package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/event"
)

// Guards against an entry that goes on without its controller because one message made
// a step of it panic: nobody owned the jobs, and callers got no answer. The owner begins
// anew under another epoch, and runs go on.
func TestOwnerSurvivesAMessageThatItCannotApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		before := s.entries["entry-0"].view.Get().epoch
		s.entries["entry-0"].controller.post(t.Context(), (*jobsWatched)(nil))
		s.requireSingleRuns(backends, 10*time.Second)
		require.Equal(t, []string{"entry-0"}, s.owners())
		require.Equal(t, before+1, s.entries["entry-0"].view.Get().epoch)
		require.Len(t, s.entries["entry-0"].logged(event.ActorFailed.ID), 1)
		ended := 0
		for _, b := range backends {
			ended += len(b.running())
			require.Zero(t, b.lastEnd, "runs go on")
		}
		require.Equal(t, 2, ended)
	})
}

// Guards against a host whose runs end because one answer made a step of its agent
// panic: nobody extended their leases. The agent begins anew, and runs go on.
func TestAgentSurvivesAMessageThatItCannotApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		for range 3 {
			require.NoError(t, backends[0].agent.address.Send(t.Context(), (*callAnswered)(nil)))
			s.requireSingleRuns(backends, 10*time.Second)
		}
		for _, b := range backends {
			require.Zero(t, b.lastEnd, "runs go on")
		}
		require.Len(t, backends[0].running(), 1)
		require.Equal(t, 3, backends[0].agent.life)
	})
}

// Guards against an agent that never polls again because one answer made the call
// panic.
func TestAgentSurvivesAPanicOfACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		backends[0].panics.Set(true)
		s.advance(300 * time.Millisecond)
		backends[0].panics.Set(false)
		s.requireSingleRuns(backends, 10*time.Second)
		for _, b := range backends {
			require.Zero(t, b.lastEnd, "runs go on")
		}
	})
}
