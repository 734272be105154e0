package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against metrics from which an agent that has not heard of its backend server
// since it started cannot be told from one that was not claimed.
func TestStatusShowsAnAgentWithoutABackendServer(t *testing.T) {
	h := newHarness(t)
	h.core.Linked(ownerLink, "entry")
	h.advance(time.Second)
	require.Equal(t, Status{Entries: 1}, h.core.Status())
	h.claim(ownerLink, 3)
	h.advance(10 * time.Second)
	require.Equal(t, Status{Epoch: 3, Entries: 1, Obeys: InventoryUnsent, Incarnation: incarnationUnknown}, h.core.Status())
	h.announce(1, workload.HostReady, 1)
	require.Equal(t, InventoryUnread, h.core.Status().Obeys)
	h.acceptInventory(ownerLink, 3)
	h.advance(time.Second)
	require.Equal(t, Status{
		Epoch: 3, Entries: 1, Obeys: InventoryApplied, Incarnation: incarnationPresent, Polled: true, PollAge: time.Second, LeaseLeft: 5020 * time.Millisecond,
	}, h.core.Status())
}

// Guards against metrics from which an agent that reports its runs from memory cannot be
// told from one whose backend server answers.
func TestStatusShowsTheAgeOfTheNewestPoll(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.core.Linked(ownerLink, "entry")
	h.start(ownerLink, 1, 0, 100)
	h.answer(h.lastCall(), h.clockMS(), nil)
	h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
	for range 8 {
		h.advance(500 * time.Millisecond)
		h.core.Received(ownerLink, &msg.LeaseGrant{Epoch: 1, StartedAtMS: 1, ClockMS: h.core.clock.lowerBound(h.now)})
	}
	s := h.core.Status()
	require.Equal(t, 4*time.Second, s.PollAge)
	require.Greater(t, s.LeaseLeft, 5*time.Second)
	require.Equal(t, 1, s.Runs)
	require.Equal(t, InventoryApplied, s.Obeys)
}
