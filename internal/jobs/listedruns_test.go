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
	h.core.Recover(FormerOwnersEnded)
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

// waitsForListedRuns reports whether the owner waits for a host whose runs the row lists.
func (o *chainOwner) waitsForListedRuns() bool {
	for _, h := range o.core.hosts {
		if l, ok := h.inheritedLease(); ok && l.Listed && h.expected && !h.vacated {
			return true
		}
	}
	return false
}

// removeForAWhile cuts a host off from all owners, also from those that begin meanwhile.
func (s *ownerChain) removeForAWhile() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if h.removed {
		return
	}
	for _, o := range s.owners {
		o.disconnect(h, s.upTo(1200*time.Millisecond))
	}
	h.removed = true
	s.after(s.upTo(8*time.Second), func() {
		h.removed = false
		for _, o := range s.owners {
			o.connect(h)
		}
	})
	s.run(s.upTo(2 * time.Second))
}

// Guards against a task that an owner starts while a run of it goes on at a host that an
// earlier owner has named with its runs: the runs were started, refused, not confirmed or
// ended just before the host became silent, some lists do not fit into the row, and owners
// are killed, stopped in order or replaced without their knowledge.
func TestNoTaskOfAListedHostRunsTwiceInAChainOfOwners(t *testing.T) {
	expired, listed, beside, inherited := 0, 0, 0, 0
	for seed := range uint64(chainSeeds) {
		s := newOwnerChainOf(t, seed, 5, newStep(10, 1200))
		s.failing = true
		s.rowSize = []int{0, 0, 60, 100}[seed%4]
		for range 25 {
			for range s.random.IntN(3) {
				s.disrupt()
				s.run(s.upTo(2 * time.Second))
			}
			s.run(s.upTo(2 * time.Second))
			if s.random.IntN(8) == 0 {
				s.loseReturnedHost()
			}
			if s.random.IntN(2) == 0 {
				s.removeForAWhile()
			}
			if s.random.IntN(2) == 0 {
				s.replaceOwner(s.upTo(1500 * time.Millisecond))
				s.run(s.upTo(3 * time.Second))
			}
		}
		expired += s.expired
		listed += s.listed
		beside += s.beside
		inherited += s.inherited
	}
	t.Logf("%d hosts were given up, rows that were claimed had %d runs, %d orders while an owner waited for a listed host, %d hosts whose runs were told", expired, listed, beside, inherited)
	require.Greater(t, inherited, chainSeeds)
	require.Greater(t, expired, chainSeeds)
	require.Greater(t, listed, chainSeeds)
	require.Greater(t, beside, chainSeeds)
}

// Guards against a list that is not complete: a former owner may have started runs on the
// host after it answered, a job of which it has a run is not known yet, or an end that was
// applied is not stored, without which a successor would start the task again.
func TestRowListsNoRunsOfAHostThatMayHaveOthers(t *testing.T) {
	info := readyHost("a", 4000)
	unlisted := map[string]func(h *harness){
		"former owner acts": func(h *harness) {
			h.core.Recover(FormerOwnersActive)
			h.core.FormerOwnersActUntil(h.now + time.Second)
			h.link(info)
			h.advance(time.Second + formerReportTime - reportInterval)
		},
		"job not known": func(h *harness) {
			h.link(info, msg.RunStatus{Run: runID("later", 0, 0, 1)})
		},
		"end not stored": func(h *harness) {
			h.link(info)
			h.storeBatch()
			h.core.Submit(newSpec("j", newStep(2, 1000)))
			h.process()
			require.Len(t, h.started, 2)
			h.reportEnd(h.startedOn("a"), workload.EndDone, "")
		},
	}
	for name, prepare := range unlisted {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.core.Recover(FormerOwnersEnded)
			prepare(h)
			h.core.Unlinked("a")
			delete(h.linked, "a")
			h.advance(endingLeasesAfter + 100*time.Millisecond)
			list := h.storeRow()
			require.Len(t, list, 1)
			require.False(t, list[0].Listed)
		})
	}
	h := newHarness(t, 2)
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(time.Second)
	h.link(info)
	h.advance(time.Second + formerReportTime + reportInterval)
	h.core.Unlinked("a")
	delete(h.linked, "a")
	h.advance(endingLeasesAfter + 100*time.Millisecond)
	list := h.storeRow()
	require.Len(t, list, 1)
	require.True(t, list[0].Listed, "no former owner acts any more")
}

// Guards against a host that an owner which stops in order has not named yet: the next
// owner would wait for it from its own beginning, with all restored tasks.
func TestReleaseNamesSilentHostsAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Recover(FormerOwnersEnded)
	h.link(readyHost("a", 4000))
	h.link(readyHost("b", 4000))
	h.core.Submit(listedRunsSpec())
	h.process()
	h.storeBatch()
	h.core.Unlinked("a")
	require.Empty(t, h.storeRow())
	h.core.Release()
	list := h.storeRow()
	require.Len(t, list, 1)
	require.Equal(t, workload.EndingLease{Host: "a", Remaining: LeaseExpiry, Listed: true, Runs: []workload.RunID{h.startedOn("a")}}, list[0])
}

// Guards against a listed run whose host comes back: it goes on if the host has it, and its
// task runs again if not. A job that becomes known later waits as others do.
func TestListedRunIsReconciledWithTheInventoryOfItsHost(t *testing.T) {
	info := readyHost("a", 4000)
	for _, goesOn := range []bool{true, false} {
		former, row := newSilentHost(t)
		onA := former.startedOn("a")
		h := newHarness(t, 2)
		h.core.InheritEndingLeases(row)
		h.core.ExpectHost("a")
		h.core.Recover(FormerOwnersEnded)
		h.link(readyHost("c", 4000))
		h.core.Restore(listedRunsSpec(), nil)
		h.process()
		require.Len(t, h.started, 1)
		require.NotContains(t, []workload.TaskID{onA.Task}, h.startedOn("c").Task)
		h.core.Linked(info)
		require.Empty(t, h.storeRow())
		var runs []msg.RunStatus
		if goesOn {
			runs = []msg.RunStatus{{Run: onA}}
		}
		h.link(info, runs...)
		h.advance(10 * time.Second)
		if goesOn {
			require.Len(t, h.started, 1)
			require.Empty(t, h.stopped)
		} else {
			require.Len(t, h.started, 2)
		}
	}
}

// Guards against a host that was lost right before its owner stops in order: the next owner
// would wait for it from its own beginning, with all restored tasks. A report that arrives
// late extends no lease there.
func TestReleaseNamesHostsWhoseReportIsLate(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Recover(FormerOwnersEnded)
	h.link(readyHost("a", 4000))
	h.link(readyHost("b", 4000))
	h.core.Submit(listedRunsSpec())
	h.process()
	h.storeBatch()
	h.advance(time.Second)
	grantedAt := h.now
	h.noReports["a"] = true
	h.advance(time.Second)
	h.core.Release()
	list := h.storeRow()
	require.Len(t, list, 1)
	require.Equal(t, workload.EndingLease{Host: "a", Remaining: LeaseExpiry - (h.now - grantedAt), Listed: true, Runs: []workload.RunID{h.startedOn("a")}}, list[0])
	h.sent["a"] = nil
	h.noReports["a"] = false
	h.report()
	h.process()
	require.Empty(t, h.sent["a"])
}
