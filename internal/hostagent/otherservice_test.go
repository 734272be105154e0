package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// testBeat is the interval of the announcements of a backend server.
const testBeat = 1500 * time.Millisecond

// advancePolled lets the time pass while the backend server answers polls.
func (h *harness) advancePolled(d time.Duration) {
	h.advance(d)
	h.answerPoll(nil)
}

func (h *harness) announceService(s workload.Service, state workload.HostState, sequence uint64) {
	h.core.Announced(runner.Announcement{
		Host: workload.Host{
			Instance: "i", StartedAtMS: 1, Service: s, State: state, Capacity: workload.Resources{MilliCPU: 2000, MemoryMB: 100},
		},
		Sequence: sequence, ClockMS: h.clockMS(),
	})
	h.collect()
}

// Guards against announcements of another sender that name a service which the backend
// server has not: the owner stopped all runs of the sound host.
func TestAnnouncedServiceOfAnotherSenderIsNotApplied(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	for i := range uint64(5) {
		h.advancePolled(testBeat / 2)
		for n := range uint64(3) {
			h.announceService("other", workload.HostDraining, 1000+10*i+n)
		}
		require.Equal(t, workload.Service("desk"), h.core.Host().Service)
		require.Equal(t, workload.HostReady, h.core.Host().State)
		h.advancePolled(testBeat / 2)
		h.announceService("desk", workload.HostReady, 2+i)
	}
	h.advancePolled(testBeat)
	h.announceService("desk", workload.HostDraining, 10)
	require.Equal(t, workload.HostDraining, h.core.Host().State, "its own announcement is applied")
}

// Guards against a backend server that offers another service, or whose first announcement
// was that of another sender, and is taken for one of the former service for ever.
func TestServiceThatABackendServerGoesOnAnnouncingIsApplied(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	applied := time.Duration(0)
	for sequence := uint64(2); h.core.Host().Service != "other"; sequence++ {
		h.advancePolled(testBeat)
		applied += testBeat
		require.LessOrEqual(t, applied, serviceChangeTime+2*testBeat)
		h.announceService("other", workload.HostReady, sequence)
	}
	h.advancePolled(testBeat)
	h.announceService("desk", workload.HostReady, 20)
	require.Equal(t, workload.Service("other"), h.core.Host().Service)
}
