package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

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

// Guards against a task that runs again after an outage of the watch of more than
// earlyRunRetention: the end of its run was acknowledged before its job was known.
func TestEndOfAJobThatIsNotKnownYetIsKeptDuringAnOutageOfTheWatch(t *testing.T) {
	h := newHarness(t, 2)
	early := runID("k", 0, 0, 1)
	h.core.StoredJobsRead(h.now)
	h.advance(time.Second)
	h.link(readyHost("a", 4000))
	h.started[early] = "a"
	h.reportEnd(early, workload.EndDone, "")
	h.advance(5 * earlyRunRetention)
	h.storeBatch()
	require.Zero(t, h.acknowledged("a"))
	h.core.Submit(newSpec("k", newStep(1, 1000)))
	h.process()
	require.Len(t, h.started, 1, "the run of the former owner")
	h.storeBatch()
	require.Equal(t, workload.Completed, h.lastPhase("k"))
	require.EqualValues(t, 1, h.acknowledged("a"))

	other := runID("l", 0, 0, 1)
	h.started[other] = "a"
	h.reportEnd(other, workload.EndDone, "")
	h.advance(earlyRunRetention)
	h.core.StoredJobsRead(h.now)
	h.advance(earlyRunRetention)
	h.storeBatch()
	require.EqualValues(t, 1, h.acknowledged("a"), "the watch may not have returned all that it has missed")
	h.advance(earlyRunRetention)
	h.storeBatch()
	require.EqualValues(t, 2, h.acknowledged("a"), "no such job is stored")
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

// Guards against an end that is lost: the agent drops it once it is acknowledged, so
// if the owner ends before its batch is stored, the next one starts the task again.
func TestEndsAreAcknowledgedOnlyAfterTheirBatchIsStored(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 2000))
	h.core.Submit(newSpec("j", newStep(2, 1000)))
	h.process()
	acknowledged := func() uint64 {
		var last uint64
		for _, m := range h.sent["a"] {
			if a, ok := m.(*msg.EndsAcknowledged); ok {
				last = max(last, a.LastNumber)
			}
		}
		return last
	}
	for run := range h.started {
		h.reportEnd(run, workload.EndDone, "")
	}
	require.EqualValues(t, 2, h.ends["a"])
	h.core.NextBatch()
	h.process()
	require.Zero(t, acknowledged(), "the batch is being written")
	h.core.BatchFailed()
	h.process()
	require.Zero(t, acknowledged(), "the batch was not stored")
	h.core.NextBatch()
	h.core.BatchCommitted()
	h.process()
	require.EqualValues(t, 2, acknowledged())
}

// Guards against tasks that start while a former owner may still extend the lease of
// their host, and against a recovery that waits for one that has stopped.
func TestRecoveryWaitsForTheGrantsOfAFormerOwner(t *testing.T) {
	for name, c := range map[string]struct {
		former  FormerOwners
		stopped bool
		last    time.Duration // of the former owner's grants
	}{
		"active":  {FormerOwnersActive, false, 2 * time.Second},
		"fenced":  {FormerOwnersFenced, false, 2 * time.Second},
		"ended":   {FormerOwnersEnded, false, 0},
		"stopped": {FormerOwnersActive, true, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
			h.core.ExpectHost("b")
			h.core.Recover(c.former)
			h.core.FormerOwnersActUntil(2 * time.Second)
			h.link(readyHost("a", 4000))
			if c.stopped {
				h.advance(c.last)
				h.core.FormerOwnersActUntil(h.now)
			}
			h.advance(c.last + LeaseExpiry - h.now - 200*time.Millisecond)
			require.Empty(t, h.started)
			h.advance(400 * time.Millisecond)
			require.Len(t, h.started, 1)
		})
	}
}

// Guards against leases that an owner extends after another entry may have replaced
// it, by a grant or by accepting an inventory.
func TestOwnerWithoutPermissionExtendsNoLeases(t *testing.T) {
	h := newHarness(t, 1)
	info := readyHost("a", 4000)
	h.link(info)
	h.core.PermitLeases(false)
	h.process()
	h.sent = map[workload.HostName][]msg.Control{}
	h.core.RunsProgress("a", &msg.RunsProgress{Epoch: 1, Instance: info.Instance, StartedAtMS: info.StartedAtMS})
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
	h.process()
	require.Len(t, h.sent["a"], 1)
	require.IsType(t, &msg.OwnerClaim{}, h.sent["a"][0], "the inventory is requested again")
	h.core.PermitLeases(true)
	h.advance(claimRetry)
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
	h.process()
	require.IsType(t, &msg.InventoryAccepted{}, h.sent["a"][len(h.sent["a"])-1])
}
