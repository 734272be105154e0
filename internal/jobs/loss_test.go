package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
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

// inventory answers a claim with an inventory without runs.
func (h *harness) inventory(info workload.Host) {
	h.core.Announced(info)
	h.core.Inventory(&msg.HostInventory{Epoch: h.core.epoch, Host: info})
}

// Guards against a log in which an owner that gave up runs by their leases looks like
// one whose agents reported that they had ended.
func TestLostRunsAreLoggedWithTheCause(t *testing.T) {
	for cause, lose := range map[LossCause]func(h *harness){
		LostUnlisted: func(h *harness) { h.inventory(readyHost("a", 1000)) },
		LostUnavailable: func(h *harness) {
			info := readyHost("a", 1000)
			info.State = workload.HostUnavailable
			h.inventory(info)
		},
		LostIncarnationEnded: func(h *harness) {
			info := readyHost("a", 1000)
			info.StartedAtMS = 2
			h.inventory(info)
		},
		LostLeaseExpired: func(h *harness) {
			h.core.Unlinked("a")
			h.core.Advance(h.now+LeaseExpiry, 0)
			h.core.Tick()
		},
	} {
		t.Run(string(cause), func(t *testing.T) {
			h := newHarness(t, 1)
			h.link(readyHost("a", 1000))
			h.core.Submit(newSpec("j", newStep(1, 100)))
			h.process()
			lost := h.decisions(RunEnded, func() { lose(h) })
			require.Len(t, lost, 1)
			require.Equal(t, "lost", lost[0].Detail)
			require.Equal(t, cause, lost[0].Cause)
		})
	}
}

// Guards against an owner that gives up the runs of a host without a line that says
// how long ago it granted their leases and how long the host has been unlinked.
func TestExpiredLeasesAreLoggedWithTheLastGrant(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 1000))
	h.core.Submit(newSpec("j", newStep(2, 100)))
	h.process()
	h.noReports["a"] = true // the last grant is the answer to the inventory
	h.advance(time.Second)
	h.core.Unlinked("a")
	require.Equal(t, 1, h.core.Status().Hosts.Silent)
	expired := h.decisions(LeasesExpired, func() {
		h.now += LeaseExpiry
		h.core.Advance(h.now, 0)
		h.core.Tick()
	})
	require.Equal(t, []Decision{{Kind: LeasesExpired, Host: "a", Detail: "granted", Age: time.Second + LeaseExpiry, Unlinked: LeaseExpiry, Runs: 2}}, expired)
	require.Zero(t, h.core.Status().Hosts.Silent)

	h.core.ExpectHost("b")
	expired = h.decisions(LeasesExpired, func() {
		h.now += LeaseExpiry
		h.core.Advance(h.now, 0)
		h.core.Tick()
	})
	require.Equal(t, []Decision{{Kind: LeasesExpired, Host: "b", Detail: "assumed", Age: LeaseExpiry, Unlinked: LeaseExpiry}}, expired)
}
