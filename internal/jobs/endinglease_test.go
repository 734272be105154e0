package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// storeRow writes and commits the next batch, and returns the list in the owner's row.
func (h *harness) storeRow() []workload.EndingLease {
	row := h.core.NextBatch().EndingLeases
	h.core.BatchCommitted()
	h.process()
	return workload.ParseEndingLeases(row)
}

// accepted reports whether an inventory of the host was accepted since the last call.
func (h *harness) accepted(name workload.HostName) bool {
	accepted := false
	for _, m := range h.sent[name] {
		if _, ok := m.(*msg.InventoryAccepted); ok {
			accepted = true
		}
	}
	h.sent[name] = nil
	return accepted
}

// Guards against a row that names no silent host, one whose link was reset, or a time that
// has passed, which a successor would wait for again.
func TestRowNamesSilentHostsWithTheRestOfTheirLeases(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.link(readyHost("b", 4000))
	h.storeRow()
	h.core.Unlinked("a")
	h.core.Unlinked("b")
	h.advance(endingLeasesAfter / 2)
	require.Empty(t, h.storeRow())
	h.link(readyHost("b", 4000))
	h.advance(endingLeasesAfter)
	pending, _ := h.core.Pending()
	require.True(t, pending)
	list := h.storeRow()
	require.Len(t, list, 1)
	require.EqualValues(t, "a", list[0].Host)
	require.Equal(t, LeaseExpiry-h.now, list[0].Remaining)

	writes := 0
	for ; h.now < LeaseExpiry+2*time.Second; h.advance(100 * time.Millisecond) {
		if pending, _ := h.core.Pending(); pending {
			list = h.storeRow()
			writes++
		}
		require.LessOrEqual(t, list[0].Remaining-max(0, LeaseExpiry-h.now), endingLeasesStep+200*time.Millisecond)
	}
	require.Zero(t, list[0].Remaining)
	t.Logf("%d further writes", writes)
	require.InDelta(t, LeaseExpiry/endingLeasesStep, writes, 2)
	h.advance(hostRetention)
	h.storeRow()
	pending, _ = h.core.Pending()
	require.False(t, pending)
	require.Empty(t, h.storeRow(), "the host has left the stored list")
}

// Guards against leases that an owner extends while its row, or a write that may take
// effect, says that none are extended: a successor would start the tasks again too early.
func TestNoLeaseIsExtendedWhileARowMayNameTheHost(t *testing.T) {
	info := readyHost("a", 4000)
	for name, write := range map[string]func(h *harness) (finish func()){
		"stored": func(h *harness) func() {
			h.storeRow()
			return func() {}
		},
		"in flight": func(h *harness) func() {
			h.core.NextBatch()
			return h.core.BatchCommitted
		},
		"not stored": func(h *harness) func() { // an attempt of it may take effect
			h.core.NextBatch()
			h.core.BatchFailed()
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.link(info)
			h.storeRow()
			h.core.Unlinked("a")
			h.advance(2 * endingLeasesAfter)
			finish := write(h)
			h.sent["a"] = nil
			h.core.Linked(info)
			h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
			h.process()
			require.False(t, h.accepted("a"))
			finish()
			h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
			h.process()
			require.False(t, h.accepted("a"))
			pending, urgent := h.core.Pending()
			require.True(t, pending)
			require.True(t, urgent)
			require.Empty(t, h.core.NextBatch().EndingLeases)
			h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
			h.process()
			require.False(t, h.accepted("a"), "the write is in flight")
			h.core.BatchCommitted()
			h.process()
			require.IsType(t, &msg.OwnerClaim{}, h.sent["a"][len(h.sent["a"])-1], "the host is claimed at once")
			h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
			h.process()
			require.True(t, h.accepted("a"))
		})
	}
}

// Guards against a host that a slow write keeps in the row for ever, because its agent was
// linked longer ago than the owner waits for an answer.
func TestHostThatAnswersIsOmittedHoweverSlowTheWritesAre(t *testing.T) {
	h := newHarness(t, 1)
	info := readyHost("a", 4000)
	h.link(info)
	h.storeRow()
	h.core.Unlinked("a")
	h.advance(2 * endingLeasesAfter)
	h.core.NextBatch()
	h.core.Linked(info)
	for range 10 {
		h.advance(claimRetry)
		h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
	}
	h.core.BatchCommitted()
	require.Empty(t, h.storeRow())
}

// Guards against an owner that counts the leases of a host from its own beginning although
// the row of its predecessor says when they end, and against one that counts on that after
// it has granted a lease, or for a host that the row does not name.
func TestInheritedLeasesEndByTheRow(t *testing.T) {
	for _, former := range []FormerOwners{FormerOwnersActive, FormerOwnersEnded} {
		h := newHarness(t, 2)
		h.core.InheritEndingLeases("b:3000 gone:100")
		h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
		h.core.ExpectHost("b")
		h.core.Recover(former)
		h.core.FormerOwnersActUntil(10 * time.Second)
		h.link(readyHost("a", 4000))
		h.advance(2900 * time.Millisecond)
		require.Empty(t, h.started, "the restored job waits for the host")
		h.advance(300 * time.Millisecond)
		require.Len(t, h.started, 1)
	}

	h := newHarness(t, 2)
	h.core.InheritEndingLeases("b:3000")
	h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	h.core.ExpectHost("b")
	h.core.ExpectHost("c")
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(2 * time.Second)
	h.link(readyHost("a", 4000))
	h.core.Linked(readyHost("b", 4000))
	require.Empty(t, h.storeRow(), "b is linked, and c is named after 1 s")
	h.link(readyHost("b", 4000), msg.RunStatus{Run: runID("j", 0, 0, 1)})
	h.core.Unlinked("b")
	h.advance(2*time.Second + LeaseExpiry - 200*time.Millisecond)
	require.Empty(t, h.started)
	h.advance(400 * time.Millisecond)
	require.Len(t, h.started, 1)
}

// Guards against a row that names hosts while the table service does not answer: the owner
// could not take them back, and their runs would end in an outage.
func TestRowNamesNoHostsBeforeTheStoreHasAnswered(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.storeRow()
	h.core.Unlinked("a")
	h.core.NotReplacedUntil(h.now)
	h.advance(storeProvenTime + time.Second)
	pending, _ := h.core.Pending()
	require.True(t, pending)
	require.Empty(t, h.storeRow())
	h.core.NotReplacedUntil(h.now)
	h.advance(100 * time.Millisecond)
	pending, _ = h.core.Pending()
	require.True(t, pending, "the next write follows at once")
	require.Len(t, h.storeRow(), 1)
}

// Guards against a row that says that former owners may be active only because a host has
// not answered for which the row has the rest of its leases: its successor would wait for
// all hosts from its own beginning.
func TestOwnerIsSettledOnceTheRowHasAllWaits(t *testing.T) {
	h := newHarness(t, 2)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(2 * time.Second)
	h.advance(1500 * time.Millisecond)
	h.storeRow()
	require.False(t, h.core.Settled(), "a former owner acts")
	h.advance(time.Second)
	require.True(t, h.core.Settled())

	h = newHarness(t, 2)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(2 * time.Second)
	h.advance(2500 * time.Millisecond)
	require.False(t, h.core.Settled(), "the row does not name the host")
	h.storeRow()
	require.True(t, h.core.Settled())
}

// Guards against a row that grows with the number of silent hosts, and against one that
// omits those that would wait longest for nothing.
func TestRowNamesTheLeasesThatEndFirst(t *testing.T) {
	h := newHarness(t, 1)
	const hosts = 700
	for i := range hosts {
		h.link(readyHost(fmt.Sprintf("host-%020d", i), 4000))
	}
	h.storeRow()
	for i := range hosts {
		name := workload.HostName(fmt.Sprintf("host-%020d", i))
		h.core.RunsProgress(name, &msg.RunsProgress{Epoch: 1, Instance: "i-" + workload.Instance(name), StartedAtMS: 1})
		h.core.Unlinked(name)
		if i%100 == 99 {
			h.advance(100 * time.Millisecond)
		}
	}
	h.advance(endingLeasesAfter)
	b := h.core.NextBatch()
	require.LessOrEqual(t, len(b.EndingLeases), maxEndingLeasesBytes)
	list := workload.ParseEndingLeases(b.EndingLeases)
	require.Greater(t, len(list), 200)
	require.EqualValues(t, "host-00000000000000000000", list[0].Host)
	h.core.BatchCommitted()
	pending, _ := h.core.Pending()
	require.False(t, pending, "what does not fit is not tried at once again")
}
