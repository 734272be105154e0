package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// acknowledged returns the number of the last end that was acknowledged to a host.
func (h *harness) acknowledged(name workload.HostName) uint64 {
	last := uint64(0)
	for _, m := range h.sent[name] {
		if m, ok := m.(*msg.EndsAcknowledged); ok {
			last = max(last, m.LastNumber)
		}
	}
	return last
}

// Guards against a start after an end as done that was acknowledged: the run was given
// up while its host was silent, and its end arrives when the next run has been ordered
// and may start at any moment.
func TestLateEndIsAcknowledgedWhenTheNextRunCannotStart(t *testing.T) {
	for name, settle := range map[string]func(h *harness, next workload.RunID){
		"refused": func(h *harness, next workload.RunID) {
			h.core.RunsChanged("b", &msg.RunsChanged{Epoch: 1, Instance: "i-b", StartedAtMS: 1, Refused: []workload.RunID{next}})
		},
		"known to have started": func(h *harness, next workload.RunID) {
			h.core.RunsChanged("b", &msg.RunsChanged{Epoch: 1, Instance: "i-b", StartedAtMS: 1, Started: []workload.RunID{next}})
		},
		"lost": func(h *harness, _ workload.RunID) { h.crash("b") },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.link(readyHost("a", 4000))
			h.core.Submit(newSpec("j", newStep(1, 1000)))
			h.process()
			first := runID("j", 0, 0, 1)
			require.Contains(t, h.started, first)
			h.core.Unlinked("a")
			h.link(readyHost("b", 4000))
			h.advance(LeaseExpiry + LeaseExpiry/10)
			next := runID("j", 0, 0, 2)
			require.Equal(t, workload.HostName("b"), h.started[next])

			h.core.Linked(readyHost("a", 4000))
			h.core.Inventory(&msg.HostInventory{
				Epoch: 1, Host: readyHost("a", 4000), Ended: []msg.RunEnd{{Number: 1, Run: first, Reason: workload.EndDone}},
			})
			h.process()
			require.True(t, h.stopped[next])
			h.storeBatch()
			require.Equal(t, workload.Completed, h.lastPhase("j"))
			require.Zero(t, h.acknowledged("a"), "run 2 may still start")

			settle(h, next)
			h.process()
			h.storeBatch()
			require.EqualValues(t, 1, h.acknowledged("a"))
			require.Empty(t, h.core.heldEnds)
		})
	}
}
