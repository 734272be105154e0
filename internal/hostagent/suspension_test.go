package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// running lets a run start under a lease of the owner.
func running(t *testing.T) *harness {
	h := newHarness(t)
	h.prepare()
	h.start(ownerLink, 1, 0, 100)
	h.answer(h.lastCall(), h.clockMS(), nil)
	h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
	h.core.NextPoll() // carries a lease of 5 s
	h.calls = nil
	return h
}

func (h *harness) stops() (n int) {
	for _, c := range h.calls {
		if c.Stop != nil {
			n++
		}
	}
	return n
}

// Guards against a run that goes on beside the next one of its task on another host: its
// host was suspended with its backend server, whose lease clock stood still, while the
// owner's lease expired.
func TestRunsAreStoppedWhenTheOwnersLeaseExpiredDuringASuspension(t *testing.T) {
	h := running(t)
	h.core.Suspended(6 * time.Second)
	h.collect()
	require.Equal(t, 1, h.stops(), "before anything else is done")
	require.Zero(t, h.core.NextPoll().Request.LeaseMS)
}

// Guards against a run that goes on for the rest of a lease that was sent before a short
// suspension, and against grants of the time before it.
func TestLeaseEndsEarlierByASuspension(t *testing.T) {
	const suspended = 3 * time.Second
	h := running(t)
	before := h.clockMS()
	h.core.Suspended(suspended)
	h.core.Received(ownerLink, &msg.LeaseGrant{Epoch: 1, StartedAtMS: 1, ClockMS: before})
	h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
	leaseEnd := before + (h.core.cfg.OwnerLease - suspended).Milliseconds()
	require.Equal(t, leaseEnd, h.core.NextPoll().Request.LeaseMS)
	h.advance(h.core.cfg.OwnerLease - suspended - 100*time.Millisecond)
	require.Zero(t, h.stops())
	h.advance(200 * time.Millisecond)
	require.Equal(t, 1, h.stops(), "the backend server keeps the run for 2 s more")
}

// Guards against runs that are stopped although the owner has extended their lease after
// the suspension.
func TestRunsGoOnWhenTheLeaseIsExtendedAfterASuspension(t *testing.T) {
	h := running(t)
	h.core.Suspended(3 * time.Second)
	h.advance(500 * time.Millisecond)
	h.core.Received(ownerLink, &msg.LeaseGrant{Epoch: 1, StartedAtMS: 1, ClockMS: h.core.clock.lowerBound(h.now)})
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
	}
	require.Zero(t, h.stops())
}

// Guards against runs that are stopped too early because the suspension is counted twice:
// the backend server was not suspended, and its clock has counted the time.
func TestSuspensionThatTheBackendServerCountsIsNotCountedTwice(t *testing.T) {
	const suspended = 3 * time.Second
	h := running(t)
	leaseEnd := h.clockMS() + h.core.cfg.OwnerLease.Milliseconds()
	h.core.Suspended(suspended)
	poll := h.core.NextPoll()
	clockMS := h.clockMS() + suspended.Milliseconds()
	h.core.PollAnswered(poll, runner.PollResponse{ClockMS: clockMS, StartedAtMS: 1, Runs: []msg.RunStatus{{Run: runID(0)}}}, nil)
	require.Equal(t, leaseEnd, h.core.NextPoll().Request.LeaseMS)
	h.collect()
	require.Zero(t, h.stops())
	require.Equal(t, workload.HostReady, h.core.Host().State)
}
