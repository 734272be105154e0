package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// listedRunsSpec is a job of two tasks that fill a host each.
func listedRunsSpec() workload.Job {
	j := newSpec("j", newStep(2, 3000))
	j.MaxAttempts = 10
	return j
}

// newSilentHost returns an owner whose job has a run on the hosts a and b each, of which a
// has been silent for so long that the owner's row names it. The row is returned too.
func newSilentHost(t *testing.T) (*harness, string) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.link(readyHost("b", 4000))
	h.core.Submit(listedRunsSpec())
	h.process()
	require.Len(t, h.started, 2)
	h.storeBatch()
	h.core.Unlinked("a")
	h.advance(endingLeasesAfter + 100*time.Millisecond)
	row := h.core.NextBatch().EndingLeases
	h.core.BatchCommitted()
	return h, row
}

// startedOn returns the run that was started last on a host.
func (h *harness) startedOn(name workload.HostName) workload.RunID {
	var last workload.RunID
	for id, host := range h.started {
		if host == name && id.Number >= last.Number {
			last = id
		}
	}
	return last
}

// newSuccessor returns the owner after one with the row, which has restored the job and
// expects the hosts a and b.
func newSuccessor(t *testing.T, row string, former FormerOwners) *harness {
	h := newHarness(t, 2)
	h.core.InheritEndingLeases(row)
	h.core.Restore(listedRunsSpec(), nil)
	h.core.ExpectHost("a")
	h.core.ExpectHost("b")
	h.core.Recover(former)
	return h
}

// Guards against a host that is lost and delays, at a new owner, the tasks that certainly
// have no run there.
func TestOnlyTheTasksOfALostHostWaitForItAtANewOwner(t *testing.T) {
	former, row := newSilentHost(t)
	onA, onB := former.startedOn("a"), former.startedOn("b")
	h := newSuccessor(t, row, FormerOwnersEnded)
	info := readyHost("b", 4000)
	h.linked["b"] = info
	h.core.Linked(info)
	h.core.Inventory(&msg.HostInventory{Epoch: 2, Host: info, Ended: []msg.RunEnd{{Number: 1, Run: onB, Reason: workload.EndFailed}}})
	h.storeHosts()
	h.link(readyHost("c", 4000))
	h.link(readyHost("d", 4000))
	require.Len(t, h.started, 1, "the task without a run on the lost host starts at once")
	for id := range h.started {
		require.Equal(t, onB.Task, id.Task)
	}
	h.advance(LeaseExpiry - endingLeasesAfter - 300*time.Millisecond)
	require.Len(t, h.started, 1, "the run on the lost host may go on")
	h.advance(500 * time.Millisecond)
	require.Len(t, h.started, 2)
	for id := range h.started {
		require.Contains(t, []workload.TaskID{onA.Task, onB.Task}, id.Task)
	}
}
