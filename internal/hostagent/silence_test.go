package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const announcementInterval = 1500 * time.Millisecond

// announcedStates returns the states of the host that were announced to the entries.
func (h *harness) announcedStates() []workload.HostState {
	var list []workload.HostState
	for _, m := range h.sends {
		if a, ok := m.(*msg.HostAnnounced); ok {
			list = append(list, a.Host.State)
		}
	}
	return list
}

// live advances the time while the backend server announces itself. poll is called
// every 100 ms.
func (h *harness) live(d time.Duration, poll func()) {
	const step = 100 * time.Millisecond
	for past := time.Duration(0); past < d; past += step {
		if past%announcementInterval == 0 {
			h.announce(1, workload.HostReady, uint64(h.clockMS()))
		}
		poll()
		h.advance(step)
	}
}

// Guards against a host that is announced as unavailable and available in turn for as
// long as no owner extends its leases, although its backend server answers every poll
// and lists what runs.
func TestHostWithoutOwnerStaysAvailableWhileItsBackendServerAnswers(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.start(ownerLink, 1, 0, 100)
	h.answer(h.lastCall(), h.clockMS(), nil)
	h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
	h.core.Unlinked(ownerLink)
	h.sends = nil
	leaseEndMS := h.core.sentLeaseMS
	h.live(20*time.Second, func() {
		if h.clockMS() <= h.core.sentLeaseMS {
			leaseEndMS = h.core.sentLeaseMS
			h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
		} else {
			h.answerPoll(nil, msg.RunEnd{Number: 1, Run: runID(0), Reason: workload.EndLeaseExpired})
		}
	})
	require.Equal(t, leaseEndMS, h.core.sentLeaseMS)
	require.Empty(t, h.announcedStates())

	const nextLink LinkID = 2
	h.claim(nextLink, 2)
	inventory := h.lastInventory()
	require.NotNil(t, inventory)
	require.Equal(t, workload.HostReady, inventory.Host.State)
	require.Empty(t, inventory.Runs)
	require.Len(t, inventory.Ended, 1)
}

// Guards against an end of the runs for each announcement of a backend server that
// answers no poll, and against a host that is offered for placement meanwhile.
func TestSilentBackendServerEndsOnceAndReturnsWhenItAnswers(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.start(ownerLink, 1, 0, 100)
	h.answer(h.lastCall(), h.clockMS(), nil)
	h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
	late := h.core.NextPoll()
	lateClockMS := h.clockMS()
	h.core.Unlinked(ownerLink)
	h.sends = nil
	h.live(20*time.Second, func() {
		h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{}, runner.ErrOutcomeUnknown)
	})
	require.Equal(t, []workload.HostState{workload.HostUnavailable}, h.announcedStates())

	h.core.PollAnswered(late, runner.PollResponse{ClockMS: lateClockMS, StartedAtMS: 1, Runs: []msg.RunStatus{{Run: runID(0)}}}, nil)
	h.collect()
	require.Equal(t, workload.HostUnavailable, h.core.Host().State, "the answer is older than the end of the leases")

	const nextLink LinkID = 2
	h.claim(nextLink, 2)
	require.Empty(t, h.lastInventory().Runs)
	h.acceptInventory(nextLink, 2)
	h.start(nextLink, 2, 1, 100)
	require.Equal(t, []workload.RunID{runID(1)}, h.refused())

	h.sends = nil
	h.answerPoll(nil, msg.RunEnd{Number: 1, Run: runID(0), Reason: workload.EndLeaseExpired})
	require.Equal(t, []workload.HostState{workload.HostReady}, h.announcedStates())
	inventory := h.lastInventory()
	require.NotNil(t, inventory, "the owner learns what runs there together with its return")
	require.Len(t, inventory.Ended, 1)
}
