package jobdaemon

import (
	"slices"
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
	s.advance(20 * time.Millisecond)
}

// failRun ends the run of the first backend server that has one as failed, and returns its
// task.
func failRun(t *testing.T, backends []*memoryBackend) workload.TaskID {
	for _, b := range backends {
		if tasks := b.running(); len(tasks) > 0 {
			b.endRuns(workload.EndFailed)
			return tasks[0]
		}
	}
	require.FailNow(t, "no task runs")
	return workload.TaskID{}
}

// runs reports whether a backend server runs a task.
func runs(task workload.TaskID, backends []*memoryBackend) bool {
	return slices.ContainsFunc(backends, func(b *memoryBackend) bool { return slices.Contains(b.running(), task) })
}

// Guards against a task of a sound host that waits, each time the owner changes, for hosts
// that were removed one after another and on which it never ran. The loss of the last one
// has been noticed or not when its owner stops in order.
func TestTaskOfASoundHostDoesNotWaitForRemovedHosts(t *testing.T) {
	for _, removedFor := range []time.Duration{2500 * time.Millisecond, time.Second, 500 * time.Millisecond, 0} {
		t.Run(removedFor.String(), func(t *testing.T) { testTaskOfASoundHost(t, removedFor) })
	}
}

func testTaskOfASoundHost(t *testing.T, removedFor time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		shares := map[string]model.MilliCPU{"entry-0": 800, "entry-1": 400, "entry-2": 190}
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends, agents := s.newRestartableBackends(6)
		s.submitLongRunning(5)
		agents[0].Cancel()
		s.advance(1400 * time.Millisecond)
		for name := range s.entries {
			s.net.CutBoth("agent-1", name)
		}
		s.advance(removedFor)
		s.restartInTurn(shares)
		failed := failRun(t, backends[2:])
		s.restartInTurn(shares)
		loaded := time.Now()
		for !runs(failed, backends) {
			s.requireSingleRuns(backends, 20*time.Millisecond)
			require.Less(t, time.Since(loaded), 3*time.Second, "the task that failed on a sound host does not run again")
		}
		t.Logf("the task runs again %v after the owner plans", time.Since(loaded))
		s.requireSingleRuns(backends, 10*time.Second)
	})
}
