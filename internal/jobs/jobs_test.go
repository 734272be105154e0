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
	w := newHarness(t, 1)
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("j", newStep(2, 1000), newStep(1, 1000, 0)))
	w.process()
	require.Len(t, w.started, 2)
	w.reportEnd(runID("j", 0, 0, 1), workload.EndDone, "")
	require.Len(t, w.started, 2, "one task of the first step still runs")
	w.reportEnd(runID("j", 0, 1, 1), workload.EndDone, "")
	require.Contains(t, w.started, runID("j", 1, 0, 1))
	w.reportEnd(runID("j", 1, 0, 1), workload.EndDone, "")
	require.Equal(t, workload.Running, w.lastPhase("j"))
	w.storeBatch()
	require.Equal(t, workload.Completed, w.lastPhase("j"))
	acknowledged := w.sent["a"][len(w.sent["a"])-1].(*msg.EndsAcknowledged)
	require.EqualValues(t, 3, acknowledged.LastNumber, "ends are acknowledged after they are stored")
}

// Guards against charges above a host's capacity: a run that is being stopped
// still uses its resources.
func TestHostIsNeverOverbooked(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 2000))
	w.core.Submit(newSpec("j", newStep(3, 1000)))
	w.process()
	require.Len(t, w.started, 2)
	w.core.Cancel("j")
	w.core.Submit(newSpec("k", newStep(1, 1000)))
	w.process()
	require.Len(t, w.started, 2, "runs that are being stopped still count")
	w.reportEnd(runID("j", 0, 0, 1), workload.EndStopped, "")
	require.Contains(t, w.started, runID("k", 0, 0, 1))
}

// Guards against more failed runs than the job allows, and against a failed run
// that is counted twice because its end is reported to two owners.
func TestFailedRunsAreCountedOnce(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("j", newStep(1, 1000)))
	w.process()
	w.reportEnd(runID("j", 0, 0, 1), workload.EndFailed, "")
	b := w.core.NextBatch()
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
	w := newHarness(t, 1)
	s := newStep(1, 1000)
	s.Checkpointing = true
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("j", s))
	w.process()
	w.core.RunsProgress("a", &msg.RunsProgress{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Runs: []msg.RunStatus{
		{Run: runID("j", 0, 0, 1), Checkpoint: "half", ProgressPercent: 50, CPULimitPercent: 100},
	}})
	w.link(readyHost("b", 4000))
	w.core.Unlinked("a")
	w.advance(LeaseExpiry - 200*time.Millisecond)
	require.Len(t, w.started, 1)
	w.advance(400 * time.Millisecond)
	require.Equal(t, workload.HostName("b"), w.started[runID("j", 0, 0, 2)])
	start := w.sent["b"][len(w.sent["b"])-1].(*msg.StartRuns)
	require.Equal(t, "half", start.Starts[0].Checkpoint)
}

// Guards against tasks that wait for the expiry of a lease although their
// backend server restarted: its new incarnation has none of the old runs.
func TestRestartedBackendServerLosesItsRunsAtOnce(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("j", newStep(1, 1000)))
	w.process()
	restarted := readyHost("a", 4000)
	restarted.StartedAtMS = 2
	w.core.Announced(restarted)
	w.process()
	require.Len(t, w.started, 1, "nothing starts before the inventory of the new incarnation")
	w.link(restarted)
	require.Contains(t, w.started, runID("j", 0, 0, 2))
}

// Guards against two runs of a task after a change of ownership: the tasks of
// restored jobs wait until every stored host has sent its inventory, and the runs
// in the inventories are adopted.
func TestNewOwnerStartsNoTaskThatMayStillRun(t *testing.T) {
	w := newHarness(t, 2)
	w.core.Restore(newSpec("j", newStep(2, 1000)), nil)
	w.core.ExpectHost("b")
	w.core.Recover()
	w.link(readyHost("a", 4000), msg.RunStatus{Run: runID("j", 0, 0, 1)})
	require.Empty(t, w.started, "host b may still run the second task")
	w.core.Submit(newSpec("k", newStep(1, 1000)))
	w.process()
	require.Contains(t, w.started, runID("k", 0, 0, 1<<epochShift+1), "a new job has run nowhere")
	w.link(readyHost("b", 4000))
	require.Contains(t, w.started, runID("j", 0, 1, 1<<epochShift+1))
	require.NotContains(t, w.started, runID("j", 0, 0, 1<<epochShift+1))
}

// Guards against a recovery that never ends because an expected host does not
// return: the tasks start after its lease has certainly expired.
func TestRecoveryEndsWithoutAnUnavailableHost(t *testing.T) {
	w := newHarness(t, 2)
	w.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	w.core.ExpectHost("b")
	w.core.Recover()
	w.link(readyHost("a", 4000))
	w.advance(LeaseExpiry - 200*time.Millisecond)
	require.Empty(t, w.started)
	w.advance(400 * time.Millisecond)
	require.Len(t, w.started, 1)
}

// Guards against a job that goes on after its cancellation, whichever of the two
// arrives first.
func TestCancellationStopsRunsAndMayPrecedeTheJob(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("j", newStep(2, 1000)))
	w.process()
	w.core.Cancel("j")
	w.process()
	require.Len(t, w.stopped, 2)
	require.Equal(t, workload.Cancelled, w.lastPhase("j"))
	w.core.Cancel("k")
	w.core.Submit(newSpec("k", newStep(1, 1000)))
	w.process()
	require.Len(t, w.started, 2)
}

// Guards against a task that uses up its attempts on one faulty host: the next
// run starts on another host, and a host that failed several jobs gets no tasks
// until the probation ends.
func TestFailingHostIsAvoided(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 9000))
	for i := range failingThreshold {
		w.core.Submit(newSpec(fmt.Sprintf("j%d", i), newStep(1, 1000)))
		w.process()
	}
	w.link(readyHost("b", 1000))
	for i := range failingThreshold {
		w.reportEnd(runID(fmt.Sprintf("j%d", i), 0, 0, 1), workload.EndFailed, "")
	}
	require.Equal(t, workload.HostName("b"), w.started[runID("j0", 0, 0, 2)])
	w.reportEnd(runID("j0", 0, 0, 2), workload.EndDone, "")
	require.Equal(t, workload.HostName("b"), w.started[runID("j1", 0, 0, 2)])
	w.core.Submit(newSpec("k", newStep(1, 1000)))
	w.process()
	require.NotContains(t, w.started, runID("k", 0, 0, 1), "host a fails all that it starts and b is full")
	w.advance(probation + 200*time.Millisecond)
	w.reportEnd(runID("j1", 0, 0, 2), workload.EndDone, "")
	require.Contains(t, w.started, runID("k", 0, 0, 1))
}

// Guards against a long-running task that stays on a draining host until the
// host shuts down.
func TestDrainingHostIsEvacuated(t *testing.T) {
	w := newHarness(t, 1)
	longRunning, short := newStep(1, 1000), newStep(1, 1000)
	longRunning.LongRunning = true
	short.Estimate = time.Second
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("l", longRunning))
	w.core.Submit(newSpec("s", short))
	w.process()
	leaving := readyHost("a", 4000)
	leaving.State, leaving.Remaining = workload.HostDraining, 2*time.Second
	w.core.Announced(leaving)
	w.process()
	require.True(t, w.stopped[runID("l", 0, 0, 1)])
	require.False(t, w.stopped[runID("s", 0, 0, 1)], "it ends before the host shuts down")
	w.link(readyHost("b", 4000))
	w.reportEnd(runID("l", 0, 0, 1), workload.EndStopped, "")
	require.Equal(t, workload.HostName("b"), w.started[runID("l", 0, 0, 2)])
}

// Guards against phases that become visible although their batch was not stored,
// and against rows that are lost with it: the next batch repeats them.
func TestBatchThatWasNotStoredIsRepeated(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("j", newStep(1, 1000)))
	w.process()
	w.reportEnd(runID("j", 0, 0, 1), workload.EndDone, "")
	w.core.NextBatch()
	w.core.BatchFailed()
	w.process()
	require.Equal(t, workload.Running, w.lastPhase("j"))
	pending, urgent := w.core.Pending()
	require.True(t, pending && urgent)
	w.storeBatch()
	require.Equal(t, workload.Completed, w.lastPhase("j"))
}

// Guards against a task that never starts because the agent refused its first
// run.
func TestRefusedStartIsPlannedAgain(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 4000))
	w.core.Submit(newSpec("j", newStep(1, 1000)))
	w.process()
	w.core.RunsChanged("a", &msg.RunsChanged{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Refused: []workload.RunID{runID("j", 0, 0, 1)}})
	w.process()
	require.Contains(t, w.started, runID("j", 0, 0, 2))
}

// Guards against a new owner that does not know a host which has runs: nothing
// starts on a host before the host is in the stored list.
func TestNothingStartsOnAHostThatIsNotStored(t *testing.T) {
	w := newHarness(t, 1)
	w.core.Linked(readyHost("a", 4000))
	w.core.Inventory(&msg.HostInventory{Epoch: 1, Host: readyHost("a", 4000)})
	w.core.Submit(newSpec("j", newStep(1, 1000)))
	w.process()
	require.Empty(t, w.started)
	pending, urgent := w.core.Pending()
	require.True(t, pending && urgent)
	b := w.core.NextBatch()
	require.Equal(t, []workload.HostName{"a"}, b.Hosts)
	w.core.BatchCommitted()
	w.process()
	require.Len(t, w.started, 1)
}

// Guards against a recovery that waits for a host without runs. In trouble-1 of
// nilegate-permits it took 7 s, for a host whose backend server had been
// unavailable for 20 s. Such a host is removed from the stored list, but not
// while its availability flaps.
func TestUnavailableHostDoesNotDelayRecovery(t *testing.T) {
	w := newHarness(t, 1)
	w.link(readyHost("a", 4000))
	w.link(readyHost("b", 4000))
	unavailable := readyHost("b", 4000)
	unavailable.State = workload.HostUnavailable
	w.core.Announced(unavailable)
	w.advance(hostRetention - time.Second)
	_, changed := w.core.hostsToStore()
	require.False(t, changed)
	w.advance(1200 * time.Millisecond)
	hosts, changed := w.core.hostsToStore()
	require.True(t, changed)
	require.Equal(t, []workload.HostName{"a"}, hosts)

	next := newHarness(t, 2)
	next.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	next.core.Linked(workload.Host{Name: "b"}) // its agent knows no backend server
	next.core.ExpectHost("a")
	next.core.Recover()
	next.link(readyHost("a", 4000))
	require.Len(t, next.started, 1)
}

// Guards against short tasks that wait while large jobs fill every host: a part
// of each host is reserved for tasks of the first priority.
func TestShortTaskStartsBesideABurstOfLargeJobs(t *testing.T) {
	w := newHarness(t, 1)
	for i := range 3 {
		w.link(readyHost(fmt.Sprintf("h%d", i), 32000))
	}
	for i := range 10 {
		large := newSpec(fmt.Sprintf("large%d", i), newStep(20, 1000))
		large.Priority = 2
		w.core.Submit(large)
	}
	w.process()
	before := len(w.started)
	w.core.Submit(newSpec("short", newStep(4, 500)))
	w.process()
	require.Equal(t, before+4, len(w.started))
}
