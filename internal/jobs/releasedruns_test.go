package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// newReleasedOwner returns an owner that has released the jobs, with a run on the hosts a
// and b each, and what it tells of them.
func newReleasedOwner(t *testing.T) (*harness, []msg.HostRuns) {
	h := newHarness(t, 1)
	h.core.Recover(FormerOwnersEnded)
	h.link(readyHost("a", 4000))
	h.link(readyHost("b", 4000))
	h.core.Submit(listedRunsSpec())
	h.process()
	require.Len(t, h.started, 2)
	h.storeBatch()
	h.core.Release()
	h.storeBatch()
	return h, h.core.ReleasedRuns()
}

// Guards against a host that is lost at the moment at which the jobs are released, and
// delays tasks that certainly have no run there. The next owner is told before it has read
// the jobs, or during its recovery.
func TestOnlyTheTasksOfAHostLostAtTheReleaseWaitForIt(t *testing.T) {
	for _, late := range []bool{false, true} {
		former, told := newReleasedOwner(t)
		require.Len(t, told, 2)
		onA, onB := former.startedOn("a"), former.startedOn("b")
		h := newHarness(t, 2)
		if !late {
			h.core.InheritRuns(told)
		}
		h.core.Restore(listedRunsSpec(), nil)
		h.core.ExpectHost("a")
		h.core.ExpectHost("b")
		h.core.Recover(FormerOwnersEnded)
		info := readyHost("b", 4000)
		h.linked["b"] = info
		h.core.Linked(info)
		h.core.Inventory(&msg.HostInventory{Epoch: 2, Host: info, Ended: []msg.RunEnd{{Number: 1, Run: onB, Reason: workload.EndFailed}}})
		h.storeHosts()
		h.link(readyHost("c", 4000))
		h.link(readyHost("d", 4000))
		if late {
			h.advance(300 * time.Millisecond)
			require.Empty(t, h.started)
			h.core.InheritRuns(told)
			h.process()
		}
		require.Len(t, h.started, 1, "the task without a run on the lost host")
		for id := range h.started {
			require.Equal(t, onB.Task, id.Task)
		}
		h.advance(LeaseExpiry - 200*time.Millisecond - h.now)
		require.Len(t, h.started, 1, "the run on the lost host may go on")
		h.advance(400 * time.Millisecond)
		require.Len(t, h.started, 2)
		require.NotEmpty(t, onA)
	}
}

// Guards against a host that is used again only after a write, because the row names it as
// soon as the next owner begins.
func TestHostOfReleasedRunsIsNotNamedAtOnce(t *testing.T) {
	_, told := newReleasedOwner(t)
	h := newHarness(t, 2)
	h.core.InheritRuns(told)
	h.core.ExpectHost("a")
	h.core.Recover(FormerOwnersEnded)
	require.Empty(t, h.core.endingLeasesRow())
	h.advance(endingLeasesAfter)
	list := workload.ParseEndingLeases(h.core.endingLeasesRow())
	require.Len(t, list, 1)
	require.True(t, list[0].Listed, "the owner after this one knows its runs too")
}

// Guards against a next owner that takes runs for all runs of a host that may have others.
func TestRunsOfAHostThatMayHaveOthersAreNotReleased(t *testing.T) {
	former, told := newReleasedOwner(t)
	require.Len(t, told, 2)
	former.reportEnd(former.startedOn("a"), workload.EndFailed, "")
	told = former.core.ReleasedRuns()
	require.Len(t, told, 1, "the end is not stored")
	require.Equal(t, workload.HostName("b"), told[0].Host)
	former.core.Unlinked("b")
	require.Empty(t, former.core.ReleasedRuns(), "the row has those of silent hosts")
}

// Guards against what is told of a host that has answered, or that the row names: both are
// newer.
func TestReleasedRunsReplaceNothingThatIsNewer(t *testing.T) {
	_, told := newReleasedOwner(t)
	h := newHarness(t, 2)
	h.core.InheritEndingLeases("a:0")
	h.core.Restore(listedRunsSpec(), nil)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersEnded)
	h.link(readyHost("b", 4000))
	h.core.InheritRuns(told)
	h.process()
	require.Zero(t, h.core.ending.inherited["a"].Remaining)
	require.Empty(t, h.core.ending.listed)
}
