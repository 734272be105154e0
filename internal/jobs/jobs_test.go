package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a job that callers see as completed before that is stored, and
// against a step that starts before the steps that it follows are done.
func TestStepsRunInOrderAndCompletionIsStoredFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(2, 1000), newStep(1, 1000, 0)))
	h.process()
	require.Len(t, h.started, 2)
	h.reportEnd(runID("j", 0, 0, 1), workload.EndDone, "")
	require.Len(t, h.started, 2, "one task of the first step still runs")
	h.reportEnd(runID("j", 0, 1, 1), workload.EndDone, "")
	require.Contains(t, h.started, runID("j", 1, 0, 1))
	h.reportEnd(runID("j", 1, 0, 1), workload.EndDone, "")
	require.Equal(t, workload.Running, h.lastPhase("j"))
	h.storeBatch()
	require.Equal(t, workload.Completed, h.lastPhase("j"))
	acknowledged := h.sent["a"][len(h.sent["a"])-1].(*msg.EndsAcknowledged)
	require.EqualValues(t, 3, acknowledged.LastNumber, "ends are acknowledged after they are stored")
}

// Guards against charges above a host's capacity: a run that is being stopped
// still uses its resources.
func TestHostIsNeverOverbooked(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 2000))
	h.core.Submit(newSpec("j", newStep(3, 1000)))
	h.process()
	require.Len(t, h.started, 2)
	h.core.Cancel("j")
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.process()
	require.Len(t, h.started, 2, "runs that are being stopped still count")
	h.reportEnd(runID("j", 0, 0, 1), workload.EndStopped, "")
	require.Contains(t, h.started, runID("k", 0, 0, 1))
}

// Guards against more failed runs than the job allows, and against a failed run
// that is counted twice because its end is reported to two owners.
func TestFailedRunsAreCountedOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	h.reportEnd(runID("j", 0, 0, 1), workload.EndFailed, "")
	b := h.core.NextBatch()
	require.Len(t, b.Writes, 1)

	next := newHarness(t, 2)
	next.core.Restore(newSpec("j", newStep(1, 1000)), &b.Writes[0].Progress)
	next.core.Linked(readyHost("a", 4000))
	next.storeHosts()
	next.core.Inventory(&msg.HostInventory{Epoch: 2, Host: readyHost("a", 4000), Ended: []msg.RunEnd{
		{Number: 1, Run: runID("j", 0, 0, 1), Reason: workload.EndFailed},
	}})
	next.process()
	second := runID("j", 0, 0, 1<<epochShift+1)
	require.Contains(t, next.started, second, "one failed run of two does not fail the job")
	next.ends["a"] = 1
	next.reportEnd(second, workload.EndFailed, "")
	next.storeBatch()
	require.Equal(t, workload.Failed, next.lastPhase("j"))
}

// Guards against a second run of a task while the first may still go on at an
// unlinked host, and against a new run that starts without the last reported
// checkpoint.
func TestSilentHostKeepsItsRunsUntilTheLeaseExpires(t *testing.T) {
	h := newHarness(t, 1)
	s := newStep(1, 1000)
	s.Checkpointing = true
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", s))
	h.process()
	h.core.RunsProgress("a", &msg.RunsProgress{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Runs: []msg.RunStatus{
		{Run: runID("j", 0, 0, 1), Checkpoint: "half", ProgressPercent: 50, CPULimitPercent: 100},
	}})
	h.link(readyHost("b", 4000))
	h.core.Unlinked("a")
	h.advance(LeaseExpiry - 200*time.Millisecond)
	require.Len(t, h.started, 1)
	h.advance(400 * time.Millisecond)
	require.Equal(t, workload.HostName("b"), h.started[runID("j", 0, 0, 2)])
	start := h.sent["b"][len(h.sent["b"])-1].(*msg.StartRuns)
	require.Equal(t, "half", start.Starts[0].Checkpoint)
}

// Guards against tasks that wait for the expiry of a lease although their
// backend server restarted: its new incarnation has none of the old runs.
func TestRestartedBackendServerLosesItsRunsAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	restarted := readyHost("a", 4000)
	restarted.StartedAtMS = 2
	h.core.Announced(restarted)
	h.process()
	require.Len(t, h.started, 1, "nothing starts before the inventory of the new incarnation")
	h.link(restarted)
	require.Contains(t, h.started, runID("j", 0, 0, 2))
}

// Guards against a job that goes on after its cancellation, whichever of the two
// arrives first.
func TestCancellationStopsRunsAndMayPrecedeTheJob(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(2, 1000)))
	h.process()
	h.core.Cancel("j")
	h.process()
	require.Len(t, h.stopped, 2)
	require.Equal(t, workload.Cancelled, h.lastPhase("j"))
	h.core.Cancel("k")
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.process()
	require.Len(t, h.started, 2)
}

// Guards against an ended job whose phase callers of the owner do not learn from
// its cache: its cancellation, stored before or after its end, has no effect.
func TestRestoredFinalPhaseIsPublishedInSpiteOfACancellation(t *testing.T) {
	for _, phase := range []workload.Phase{workload.Completed, workload.Failed, workload.Cancelled} {
		h := newHarness(t, 2)
		h.core.Cancel("j")
		h.core.Restore(newSpec("j", newStep(1, 1000)), &workload.Progress{Phase: phase, EndedAtMS: 1})
		h.process()
		require.Equal(t, []workload.Phase{phase}, h.phases["j"])
	}
}

// Guards against a log that names another reason for a stop than the one for which
// it was requested: the request is repeated until the end is reported.
func TestRepeatedStopKeepsItsReason(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	leaving := readyHost("a", 4000)
	leaving.State = workload.HostDraining
	h.core.Announced(leaving)
	h.process()
	h.core.Cancel("j")
	h.process()
	h.core.Advance(2*stopRetry, 0)
	h.core.Tick()
	var reasons []string
	for _, d := range h.core.Decisions() {
		if d.Kind == RunStopped {
			reasons = append(reasons, d.Detail)
		}
	}
	require.Equal(t, []string{"host-drains"}, reasons)
}

// Guards against a task that uses up its attempts on one faulty host: the next
// run starts on another host, and a host that failed several jobs gets no tasks
// until the probation ends.
func TestFailingHostIsAvoided(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 9000))
	for i := range failingThreshold {
		h.core.Submit(newSpec(fmt.Sprintf("j%d", i), newStep(1, 1000)))
		h.process()
	}
	h.link(readyHost("b", 1000))
	for i := range failingThreshold {
		h.reportEnd(runID(fmt.Sprintf("j%d", i), 0, 0, 1), workload.EndFailed, "")
	}
	require.Equal(t, workload.HostName("b"), h.started[runID("j0", 0, 0, 2)])
	h.reportEnd(runID("j0", 0, 0, 2), workload.EndDone, "")
	require.Equal(t, workload.HostName("b"), h.started[runID("j1", 0, 0, 2)])
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.process()
	require.NotContains(t, h.started, runID("k", 0, 0, 1), "host a fails all that it starts and b is full")
	h.advance(probation + 200*time.Millisecond)
	h.reportEnd(runID("j1", 0, 0, 2), workload.EndDone, "")
	require.Contains(t, h.started, runID("k", 0, 0, 1))
}

// Guards against a long-running task that stays on a draining host until the
// host shuts down.
func TestDrainingHostIsEvacuated(t *testing.T) {
	h := newHarness(t, 1)
	longRunning, short := newStep(1, 1000), newStep(1, 1000)
	longRunning.LongRunning = true
	short.Estimate = time.Second
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("l", longRunning))
	h.core.Submit(newSpec("s", short))
	h.process()
	leaving := readyHost("a", 4000)
	leaving.State, leaving.Remaining = workload.HostDraining, 2*time.Second
	h.core.Announced(leaving)
	h.process()
	require.True(t, h.stopped[runID("l", 0, 0, 1)])
	require.False(t, h.stopped[runID("s", 0, 0, 1)], "it ends before the host shuts down")
	h.link(readyHost("b", 4000))
	h.reportEnd(runID("l", 0, 0, 1), workload.EndStopped, "")
	require.Equal(t, workload.HostName("b"), h.started[runID("l", 0, 0, 2)])
}

// Guards against phases that become visible although their batch was not stored,
// and against rows that are lost with it: the next batch repeats them.
func TestBatchThatWasNotStoredIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	h.reportEnd(runID("j", 0, 0, 1), workload.EndDone, "")
	h.core.NextBatch()
	h.core.BatchFailed()
	h.process()
	require.Equal(t, workload.Running, h.lastPhase("j"))
	pending, urgent := h.core.Pending()
	require.True(t, pending && urgent)
	h.storeBatch()
	require.Equal(t, workload.Completed, h.lastPhase("j"))
}

// Guards against an ended job that a later owner runs again: its progress row is
// deleted while its specification is still stored.
func TestProgressOfAnExpiredJobIsDeletedLast(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Restore(newSpec("j", newStep(1, 1000)), &workload.Progress{Phase: workload.Completed})
	h.advance(endedJobRetention)
	require.Empty(t, h.core.NextBatch().Removed)
	h.core.BatchCommitted()
	require.Equal(t, []workload.JobID{"j"}, h.core.Expired())
	require.Empty(t, h.core.Expired(), "jobs that were returned before")
	h.core.RowsDeleted([]workload.JobID{"j"})
	pending, _ := h.core.Pending()
	require.True(t, pending)
	require.Equal(t, []workload.JobID{"j"}, h.core.NextBatch().Removed)
}

// Guards against a task that never starts because the agent refused its first
// run.
func TestRefusedStartIsPlannedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	h.core.RunsChanged("a", &msg.RunsChanged{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Refused: []workload.RunID{runID("j", 0, 0, 1)}})
	h.process()
	require.Contains(t, h.started, runID("j", 0, 0, 2))
}

// Guards against a start that is ordered again without a pause while the agent
// refuses it, because the owner does not know why the task does not fit.
func TestRepeatedlyRefusedStartsAreOrderedWithAPause(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	refuse := func() {
		for n := uint64(len(h.started)); ; n = uint64(len(h.started)) {
			h.core.RunsChanged("a", &msg.RunsChanged{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Refused: []workload.RunID{runID("j", 0, 0, n)}})
			h.process()
			if uint64(len(h.started)) == n || n > 100 {
				return
			}
		}
	}
	refuse()
	require.Len(t, h.started, 2)
	for range 10 {
		h.advance(refusalPause)
		refuse()
	}
	require.Len(t, h.started, 12)
}

// Guards against a new owner that does not know a host which has runs: nothing
// starts on a host before the host is in the stored list.
func TestNothingStartsOnAHostThatIsNotStored(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Linked(readyHost("a", 4000))
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: readyHost("a", 4000)})
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	require.Empty(t, h.started)
	pending, urgent := h.core.Pending()
	require.True(t, pending && urgent)
	b := h.core.NextBatch()
	require.Equal(t, []workload.HostName{"a"}, b.Hosts)
	h.core.BatchCommitted()
	h.process()
	require.Len(t, h.started, 1)
}

// Guards against short tasks that wait while large jobs fill every host: a part
// of each host is reserved for tasks of the first priority.
func TestShortTaskStartsBesideABurstOfLargeJobs(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 3 {
		h.link(readyHost(fmt.Sprintf("h%d", i), 32000))
	}
	for i := range 10 {
		large := newSpec(fmt.Sprintf("large%d", i), newStep(20, 1000))
		large.Priority = 2
		h.core.Submit(large)
	}
	h.process()
	before := len(h.started)
	h.core.Submit(newSpec("short", newStep(4, 500)))
	h.process()
	require.Equal(t, before+4, len(h.started))
}
