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

// Guards against two runs of a task after a change of ownership: the tasks of
// restored jobs wait until every stored host has sent its inventory, and the runs
// in the inventories are adopted.
func TestNewOwnerStartsNoTaskThatMayStillRun(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Restore(newSpec("j", newStep(2, 1000)), nil)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersEnded)
	h.link(readyHost("a", 4000), msg.RunStatus{Run: runID("j", 0, 0, 1)})
	require.Empty(t, h.started, "host b may still run the second task")
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.process()
	require.Contains(t, h.started, runID("k", 0, 0, 1<<epochShift+1), "a new job has run nowhere")
	h.link(readyHost("b", 4000))
	require.Contains(t, h.started, runID("j", 0, 1, 1<<epochShift+1))
	require.NotContains(t, h.started, runID("j", 0, 0, 1<<epochShift+1))
}

// Guards against two runs of a task of a new job: a former owner that does not
// know yet that it was replaced starts tasks of jobs that are accepted after the
// new owner has read the stored jobs.
func TestNewJobWaitsForHostsOfAFormerOwnerThatMayBeActive(t *testing.T) {
	h := newHarness(t, 2)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersActive)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("k", newStep(2, 1000)))
	h.process()
	require.Empty(t, h.started, "the former owner may have started the job on host b")
	h.link(readyHost("b", 4000), msg.RunStatus{Run: runID("k", 0, 0, 1)})
	require.NotContains(t, h.started, runID("k", 0, 0, 1<<epochShift+1))
	require.Contains(t, h.started, runID("k", 0, 1, 1<<epochShift+1))
}

// Guards against new jobs that wait for a silent host although no former owner
// starts them, and against jobs that do not wait although one may have.
func TestJobsOfTheOwnersEpochStartDuringTheRecovery(t *testing.T) {
	const epoch = 2
	for _, c := range []struct {
		former   FormerOwners
		restored bool
		epoch    uint64
		starts   bool
	}{
		{FormerOwnersActive, false, epoch, false},
		{FormerOwnersActive, true, epoch, false},
		{FormerOwnersFenced, false, epoch, true},
		{FormerOwnersFenced, true, epoch, true},
		{FormerOwnersFenced, false, epoch - 1, false},
		{FormerOwnersFenced, false, 0, false},
		{FormerOwnersEnded, true, epoch, true},
		{FormerOwnersEnded, true, epoch - 1, false},
		{FormerOwnersEnded, false, 0, true},
	} {
		h := newHarness(t, epoch)
		spec := newSpec("k", newStep(1, 1000))
		spec.Epoch = c.epoch
		if c.restored {
			h.core.Restore(spec, nil)
		}
		h.core.ExpectHost("b")
		h.core.Recover(c.former)
		h.link(readyHost("a", 4000))
		if !c.restored {
			h.core.Submit(spec)
		}
		h.process()
		require.Equal(t, c.starts, len(h.started) == 1, "%+v", c)
	}
}

// Guards against a task that runs twice at the same time because a host lists its
// run before the owner knows the job, which was accepted after the owner had read
// the stored jobs: the next run waits for the end of that one.
func TestRunOfAJobThatIsNotKnownYetEndsBeforeTheNextStarts(t *testing.T) {
	h := newHarness(t, 2)
	early, next := runID("k", 0, 0, 1), runID("k", 0, 0, 1<<epochShift+1)
	h.link(readyHost("a", 4000), msg.RunStatus{Run: early})
	h.link(readyHost("b", 4000))
	require.True(t, h.stopped[early])
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.process()
	require.Empty(t, h.started)
	h.started[early] = "a"
	h.reportEnd(early, workload.EndStopped, "c1")
	require.Contains(t, h.started, next)
	require.Equal(t, "c1", h.core.task(next.Task).checkpoint)
}

// Guards against a task that never starts because the run that its host listed
// before the job was known is taken to go on: the host does not list it any more,
// refuses its stop, or has lost it.
func TestRunOfAJobThatIsNotKnownYetMayHaveEnded(t *testing.T) {
	early, next := runID("k", 0, 0, 1), runID("k", 0, 0, 1<<epochShift+1)
	for name, end := range map[string]func(h *harness){
		"relinked": func(h *harness) { h.link(readyHost("a", 4000)) },
		"refused": func(h *harness) {
			h.core.RunsChanged("a", &msg.RunsChanged{Epoch: 2, Instance: "i-a", StartedAtMS: 1, Refused: []workload.RunID{early}})
		},
		"silent": func(h *harness) {
			h.core.Unlinked("a")
			h.advance(LeaseExpiry + 200*time.Millisecond)
		},
	} {
		for _, endsFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s before the job is known: %t", name, endsFirst), func(t *testing.T) {
				h := newHarness(t, 2)
				h.link(readyHost("b", 4000))
				h.link(readyHost("a", 4000), msg.RunStatus{Run: early})
				if endsFirst {
					end(h)
				}
				h.core.Submit(newSpec("k", newStep(1, 1000)))
				h.process()
				if !endsFirst {
					end(h)
					h.process()
				}
				require.Contains(t, h.started, next)
			})
		}
	}
}

// Guards against a task that runs again although its host reported before the job
// was known that it is done.
func TestEndOfAJobThatIsNotKnownYetIsApplied(t *testing.T) {
	h := newHarness(t, 2)
	early := runID("k", 0, 0, 1)
	h.link(readyHost("a", 4000))
	h.started[early] = "a"
	h.reportEnd(early, workload.EndDone, "")
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.process()
	require.Len(t, h.started, 1, "the run of the former owner")
	h.storeBatch()
	require.Equal(t, workload.Completed, h.lastPhase("k"))
}

// Guards against a task that runs again under a third owner: its end is acknowledged
// before its job is known, so neither the host nor the table has it when the second
// owner ends.
func TestEndOfAJobThatIsNotKnownYetIsAcknowledgedAfterTheJobIsStored(t *testing.T) {
	acknowledged := func(h *harness) (last uint64) {
		for _, m := range h.sent["a"] {
			if a, ok := m.(*msg.EndsAcknowledged); ok {
				last = a.LastNumber
			}
		}
		return last
	}
	for name, want := range map[string]struct {
		end  func(h *harness) // after which the ends may be acknowledged
		jobs workload.Phase
	}{
		"stored":    {func(h *harness) { h.core.Submit(newSpec("k", newStep(1, 1000))) }, workload.Completed},
		"cancelled": {func(h *harness) { h.core.Cancel("k"); h.core.Submit(newSpec("k", newStep(1, 1000))) }, workload.Cancelled},
		"not known": {func(h *harness) { h.advance(earlyRunRetention) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.core.Submit(newSpec("j", newStep(1, 1000)))
			h.link(readyHost("a", 4000))
			first, early := runID("j", 0, 0, 1<<epochShift+1), runID("k", 0, 0, 1)
			h.started[early] = "a"
			h.reportEnd(first, workload.EndDone, "")
			h.reportEnd(early, workload.EndDone, "")
			h.storeBatch()
			require.EqualValues(t, 1, acknowledged(h), "the end of a job that is stored")
			pending, _ := h.core.Pending()
			require.False(t, pending, "a batch would change nothing")
			want.end(h)
			h.process()
			h.storeBatch()
			require.EqualValues(t, 2, acknowledged(h))
			if want.jobs != 0 {
				require.Equal(t, want.jobs, h.lastPhase("k"))
			}
		})
	}
}

// Guards against a job that runs twice because an owner starts it that was
// replaced before the job was accepted.
func TestJobOfAHigherEpochIsNotStarted(t *testing.T) {
	h := newHarness(t, 2)
	h.link(readyHost("a", 4000))
	spec := newSpec("j", newStep(1, 1000))
	spec.Epoch = 3
	h.core.Submit(spec)
	h.core.Restore(spec, nil)
	h.process()
	require.Empty(t, h.started)
	require.Empty(t, h.phases["j"], "its phase is not known")
}

// Guards against a recovery that never ends because an expected host does not
// return: the tasks start after its lease has certainly expired.
func TestRecoveryEndsWithoutAnUnavailableHost(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersEnded)
	h.link(readyHost("a", 4000))
	h.advance(LeaseExpiry - 200*time.Millisecond)
	require.Empty(t, h.started)
	h.advance(400 * time.Millisecond)
	require.Len(t, h.started, 1)
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

// Guards against a recovery that waits for a host without runs. In trouble-1 of
// nilegate-permits it took 7 s, for a host whose backend server had been
// unavailable for 20 s. Such a host is removed from the stored list, but not
// while its availability flaps.
func TestUnavailableHostDoesNotDelayRecovery(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.link(readyHost("b", 4000))
	unavailable := readyHost("b", 4000)
	unavailable.State = workload.HostUnavailable
	h.core.Announced(unavailable)
	h.advance(hostRetention - time.Second)
	_, changed := h.core.hostsToStore()
	require.False(t, changed)
	h.advance(1200 * time.Millisecond)
	hosts, changed := h.core.hostsToStore()
	require.True(t, changed)
	require.Equal(t, []workload.HostName{"a"}, hosts)

	next := newHarness(t, 2)
	next.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	next.core.Linked(workload.Host{Name: "b"}) // its agent knows no backend server
	next.core.ExpectHost("a")
	next.core.Recover(FormerOwnersEnded)
	next.link(readyHost("a", 4000))
	require.Len(t, next.started, 1)
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
