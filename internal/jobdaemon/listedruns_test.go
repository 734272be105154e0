package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// restartInTurn ends the owner of the jobs in order, waits until another entry plans them,
// and starts the entry again. The shares are those of the entries.
func (s *ownerSite) restartInTurn(shares map[string]model.MilliCPU) {
	owner := s.owners()[0]
	s.stopInOrder(owner)
	for len(s.owners()) == 0 || !s.entries[s.owners()[0]].view.Get().plans {
		s.advance(20 * time.Millisecond)
	}
	s.start(owner, shares[owner])
}

// failRuns ends the runs of the first backend server that has one as failed, and returns
// their number.
func failRuns(backends []*memoryBackend) int {
	for _, b := range backends {
		if n := len(b.running()); n > 0 {
			b.endRuns(workload.EndFailed)
			return n
		}
	}
	return 0
}

// Guards against a task of a sound host that waits, each time the owner changes, for hosts
// that were removed one after another and on which it never ran.
func TestTaskOfASoundHostDoesNotWaitForRemovedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shares := map[string]model.MilliCPU{"entry-0": 800, "entry-1": 400, "entry-2": 190}
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends, agents := s.newRestartableBackends(6)
		s.submitLongRunning(5)
		running := func() (n int) {
			for _, b := range backends[2:] {
				n += len(b.running())
			}
			return n
		}
		agents[0].Cancel()
		s.advance(1400 * time.Millisecond)
		agents[1].Cancel()
		s.advance(2500 * time.Millisecond) // the entries notice it
		s.restartInTurn(shares)
		before := running()
		require.Positive(t, failRuns(backends[2:]))
		s.advance(200 * time.Millisecond)
		s.restartInTurn(shares)
		loaded := time.Now()
		for running() < before {
			s.requireSingleRuns(backends, 20*time.Millisecond)
			require.Less(t, time.Since(loaded), 3*time.Second, "the task that failed on a sound host does not run again")
		}
		t.Logf("the task runs again %v after the owner plans", time.Since(loaded))
		s.requireSingleRuns(backends, 10*time.Second)
	})
}
