package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// list lets the backend server answer polls that list the run for d. The owner answers
// nothing.
func (h *harness) list(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
		h.advance(100 * time.Millisecond)
	}
}

// Guards against runs whose leases nobody extends any more while their owner takes them
// for active: the answer to the inventory was lost, or the owner ignored the inventory,
// and it was sent once only.
func TestInventoryThatIsNotAcceptedIsSentAgain(t *testing.T) {
	h := newHarness(t)
	h.announce(1, workload.HostReady, 1)
	h.claim(ownerLink, 1)
	h.answerPoll(nil)
	require.Len(t, h.inventories(), 1)
	h.list(ownerAnswerTimeout + 200*time.Millisecond)
	require.Len(t, h.inventories(), 2)
	require.Len(t, h.lastInventory().Runs, 1)
	h.acceptInventory(ownerLink, 1)
	h.start(ownerLink, 1, 1, 100)
	require.Equal(t, 1, h.startCalls())
}

// Guards against reports that the owner ignores for good, because it has the state of
// another incarnation of the host: the inventory corrects it.
func TestInventoryIsSentAgainWhenReportsAreNotGranted(t *testing.T) {
	h := running(t)
	h.grant()
	h.list(ownerAnswerTimeout + reportInterval + 200*time.Millisecond)
	require.Len(t, h.inventories(), 1)
	h.acceptInventory(ownerLink, 1)
	h.list(reportInterval)
	require.NotZero(t, h.grant())
	h.sends = nil
	for range 20 { // an owner that grants gets no inventory
		h.list(reportInterval)
		require.Empty(t, h.inventories())
		h.grant()
	}
}

// Guards against inventories that are repeated for ever by an agent whose backend server
// is gone: it sends no reports, so nothing is granted.
func TestAcceptedInventoryOfAnUnavailableHostIsNotRepeated(t *testing.T) {
	h := running(t)
	h.core.Deregistered("i", 1)
	h.collect()
	require.NotNil(t, h.lastInventory())
	h.acceptInventory(ownerLink, 1)
	h.sends = nil
	h.advance(30 * time.Second)
	require.Empty(t, h.inventories())
}
