package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// sendInventory lets the agent of a host send an inventory.
func (h *harness) sendInventory(info workload.Host, more bool, runs []msg.RunStatus, ends ...msg.RunEnd) {
	h.core.Inventory(&msg.HostInventory{Epoch: h.core.epoch, Host: info, MoreEnds: more, Runs: runs, Ended: ends})
	h.storeHosts()
	h.process()
}

func doneEnd(number uint64, run workload.RunID) msg.RunEnd {
	return msg.RunEnd{Number: number, Run: run, Reason: workload.EndDone}
}

// Guards against a run that is taken for lost although its end follows: its task, which is
// done, would run again.
func TestRunsAreNotLostWhileEndsFollow(t *testing.T) {
	h := newHarness(t, 1)
	info := readyHost("a", 4000)
	h.link(info)
	h.core.Submit(newSpec("j", newStep(3, 1000)))
	h.process()
	require.Len(t, h.started, 3)
	first, second, third := runID("j", 0, 0, 1), runID("j", 0, 1, 1), runID("j", 0, 2, 1)

	h.core.Unlinked("a")
	h.core.Linked(info)
	h.sendInventory(info, true, []msg.RunStatus{{Run: third}}, doneEnd(1, first))
	h.link(readyHost("b", 1000))
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.core.Submit(newSpec("l", newStep(1, 1000)))
	h.advance(2 * LeaseExpiry)
	require.Equal(t, workload.HostName("b"), h.started[runID("k", 0, 0, 1)])
	require.Len(t, h.started, 4, "the second run is not lost, and nothing starts on the host")
	require.IsType(t, &msg.LeaseGrant{}, h.sent["a"][len(h.sent["a"])-1], "the third one goes on")

	h.core.RunsChanged("a", &msg.RunsChanged{Epoch: 1, Instance: info.Instance, StartedAtMS: 1, Ended: []msg.RunEnd{doneEnd(2, second)}})
	h.sendInventory(info, false, []msg.RunStatus{{Run: third}})
	require.Contains(t, h.started, runID("l", 0, 0, 1))
	require.Len(t, h.started, 5)
	h.core.Unlinked("a")
	h.core.Linked(info)
	h.sendInventory(info, false, nil)
	require.Contains(t, h.started, runID("j", 0, 2, 2), "a complete inventory does not list it")
}

// Guards against a task that a new owner starts again because the end of its run follows
// later than the recovery lasts.
func TestRecoveryWaitsForTheEndsThatFollow(t *testing.T) {
	h := newHarness(t, 2)
	info := readyHost("a", 4000)
	h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	h.core.ExpectHost("a")
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(2 * time.Second)
	h.link(readyHost("b", 4000))
	h.linked["a"] = info
	h.core.Linked(info)
	h.sendInventory(info, true, nil, doneEnd(1, runID("x", 0, 0, 1)))
	h.advance(2 * maxRecovery)
	require.Empty(t, h.started)
	h.sendInventory(info, false, nil, doneEnd(2, runID("j", 0, 0, 1)))
	h.advance(time.Second)
	require.Empty(t, h.started, "the task is done")
	h.storeBatch()
	require.Equal(t, workload.Completed, h.lastPhase("j"))
}

// Guards against a recovery that lasts on because a host is lost before it has listed its
// ends, at once or when it has answered again.
func TestRecoveryEndsWithTheLeasesOfAHostWhoseEndsAreMissing(t *testing.T) {
	for _, again := range []bool{false, true} {
		h := newHarness(t, 2)
		info := readyHost("a", 4000)
		h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
		h.core.ExpectHost("a")
		h.core.Recover(FormerOwnersEnded)
		h.link(readyHost("b", 4000))
		h.core.Linked(info)
		h.sendInventory(info, true, nil)
		h.advance(time.Second)
		lastGrant := time.Duration(0)
		h.core.Unlinked("a")
		if again {
			h.core.Linked(info)
			h.sendInventory(info, true, nil)
			lastGrant = h.now
			h.core.Unlinked("a")
		}
		h.advance(lastGrant + LeaseExpiry - 200*time.Millisecond - h.now)
		require.Empty(t, h.started)
		h.advance(400 * time.Millisecond)
		require.Len(t, h.started, 1)
	}
}

// Guards against a successor that takes the runs in the owner's row for all runs of a host
// whose ends were missing when it fell silent.
func TestRowDoesNotListTheRunsOfAHostWhoseEndsAreMissing(t *testing.T) {
	h := newHarness(t, 1)
	info := readyHost("a", 4000)
	h.link(info)
	h.advance(2 * formerReportTime)
	h.core.Linked(info)
	h.sendInventory(info, true, nil)
	h.core.Unlinked("a")
	h.advance(endingLeasesAfter + 100*time.Millisecond)
	list := workload.ParseEndingLeases(h.core.endingLeasesRow())
	require.Len(t, list, 1)
	require.False(t, list[0].Listed)
}

// Guards against a host that leaves the stored list while ends of it are missing: the next
// owner would not wait for them.
func TestHostWhoseEndsAreMissingStaysListed(t *testing.T) {
	h := newHarness(t, 1)
	info := readyHost("a", 4000)
	h.link(info)
	unavailable := info
	unavailable.State = workload.HostUnavailable
	h.core.Linked(info)
	h.sendInventory(unavailable, true, nil)
	h.linked["a"] = info
	h.advance(2 * hostRetention)
	require.True(t, h.core.hosts["a"].mayHaveRuns())
	h.core.Unlinked("a")
	h.advance(LeaseExpiry + hostRetention + time.Second)
	require.False(t, h.core.hosts["a"].mayHaveRuns(), "its leases have ended")
}
