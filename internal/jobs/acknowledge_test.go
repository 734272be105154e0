package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against ends that an agent keeps until the next end on its host, which may never
// come: their acknowledgement was lost with the link. Meanwhile the agent polls every
// 50 ms, and the backend server lists them in each answer.
func TestEndsAreAcknowledgedAgainAfterAnInventory(t *testing.T) {
	h := newHarness(t, 1)
	host := readyHost("a", 2000)
	h.link(host)
	h.core.Submit(newSpec("j", newStep(2, 1000)))
	h.process()
	require.Len(t, h.started, 2)
	for run := range h.started {
		h.reportEnd(run, workload.EndDone, "")
	}
	h.storeBatch()
	h.core.Unlinked("a")
	h.sent["a"] = nil

	h.core.Linked(host)
	var ended []msg.RunEnd
	for run := range h.started {
		ended = append(ended, msg.RunEnd{Number: uint64(len(ended)) + 1, Run: run, Reason: workload.EndDone})
	}
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Number: 2, Host: host, Ended: ended})
	h.process()
	require.Contains(t, h.sent["a"], msg.Control(&msg.EndsAcknowledged{Epoch: 1, Instance: "i-a", StartedAtMS: 1, LastNumber: 2}))

	h.sent["a"] = nil
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Number: 3, Host: host})
	h.process()
	for _, m := range h.sent["a"] {
		_, acknowledges := m.(*msg.EndsAcknowledged)
		require.False(t, acknowledges, "nothing waits for an acknowledgement")
	}
}
