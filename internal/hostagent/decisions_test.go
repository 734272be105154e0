package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// decisions applies an event and returns the decisions of a kind that it caused.
func (h *harness) decisions(kind DecisionKind, event func()) []Decision {
	h.core.Decisions()
	event()
	var list []Decision
	for _, d := range h.core.Decisions() {
		if d.Kind == kind {
			list = append(list, d)
		}
	}
	return list
}

// Guards against a log from which it cannot be told who sent a refused command.
func TestRefusedOwnersAreNamedWithTheirEpochAndTheReason(t *testing.T) {
	h := newHarness(t)
	h.core.Linked(ownerLink, "entry-0")
	h.core.Linked(2, "entry-1")
	h.prepare()
	h.claim(ownerLink, 3)
	for reason, m := range map[string]struct {
		from  LinkID
		epoch uint64
	}{
		"a higher epoch is known":                  {2, 2},
		"its epoch was not claimed":                {2, 4},
		"it has not claimed the host on this link": {2, 3},
	} {
		refused := h.decisions(OwnerRefused, func() { h.core.Received(m.from, &msg.LeaseGrant{Epoch: m.epoch}) })
		require.Equal(t, []Decision{{Kind: OwnerRefused, Entry: "entry-1", Epoch: 3, SenderEpoch: m.epoch, Detail: reason}}, refused)
	}
	refused := h.decisions(OwnerRefused, func() { h.core.Received(2, &msg.OwnerClaim{Epoch: 1}) })
	require.Equal(t, []Decision{{Kind: OwnerRefused, Entry: "entry-1", Epoch: 3, SenderEpoch: 1, Detail: "a higher epoch is known"}}, refused)
}

// Guards against an agent that loses its owner without a line that says which one and
// how long the runs on the host may go on.
func TestLossOfTheOwnerIsLoggedWithItsLease(t *testing.T) {
	h := newHarness(t)
	h.core.Linked(ownerLink, "entry-0")
	h.prepare()
	h.start(ownerLink, 1, 1, 100)
	h.advance(time.Second)
	left := h.decisions(OwnerLeft, func() { h.core.Unlinked(ownerLink) })
	require.Len(t, left, 1)
	require.Equal(t, "entry-0", left[0].Entry)
	require.EqualValues(t, 1, left[0].Epoch)
	require.Equal(t, 1, left[0].Runs)
	require.InDelta(t, 5*time.Second, left[0].LeaseLeft, float64(50*time.Millisecond))

	h.core.Linked(2, "entry-1")
	h.claim(2, 2)
	left = h.decisions(OwnerLeft, func() { h.core.EpochObserved(3) })
	require.Len(t, left, 1)
	require.Equal(t, Decision{Kind: OwnerLeft, Entry: "entry-1", Epoch: 2, Runs: 1, LeaseLeft: left[0].LeaseLeft, Detail: "an owner of a higher epoch is known"}, left[0])
}
