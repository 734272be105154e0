package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// pollAnswer answers the next poll with a start time and runs.
func (h *harness) pollAnswer(startedAtMS int64, runs ...msg.RunStatus) Poll {
	poll := h.core.NextPoll()
	h.core.PollAnswered(poll, runner.PollResponse{ClockMS: h.clockMS(), StartedAtMS: startedAtMS, Runs: runs}, nil)
	h.collect()
	return poll
}

// lastInventory returns the newest inventory after the last announcement of the host.
func (h *harness) lastInventory() *msg.HostInventory {
	for i := len(h.sends) - 1; i >= 0; i-- {
		switch m := h.sends[i].(type) {
		case *msg.HostInventory:
			return m
		case *msg.HostAnnounced:
			return nil
		}
	}
	return nil
}

// Guards against a second run of a task whose start has reached the next incarnation
// of the same id: the owner learns of the new incarnation together with its runs.
func TestNextIncarnationIsAnnouncedWithItsRuns(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.start(ownerLink, 1, 0, 100)
	call := h.lastCall()
	h.answer(call, h.clockMS(), nil) // carried out by the next incarnation
	h.sends = nil
	h.pollAnswer(2, msg.RunStatus{Run: runID(0)})
	require.Empty(t, h.sends, "the owner must not learn of the end before the runs are known")
	h.start(ownerLink, 1, 1, 100)
	require.Equal(t, []workload.RunID{runID(1)}, h.refused(), "nothing starts before the incarnation is confirmed")

	poll := h.pollAnswer(2, msg.RunStatus{Run: runID(0)})
	require.Greater(t, poll.Target.Token, call.Target.Token, "a later start with the former token must not take effect")
	require.Zero(t, poll.Request.Acknowledged)
	require.EqualValues(t, 2, h.core.Host().StartedAtMS)
	inventory := h.lastInventory()
	require.NotNil(t, inventory)
	require.Len(t, inventory.Runs, 1)
	require.Equal(t, runID(0), inventory.Runs[0].Run)

	// Its first announcement makes it available again.
	h.announce(2, workload.HostReady, 1)
	require.Equal(t, workload.HostReady, h.core.Host().State)
}

// Guards against a start that is in flight when its backend server is found to have
// ended, and reaches the next incarnation after the owner was told that it is lost.
func TestEndIsReportedAfterTheOutcomeOfAllStarts(t *testing.T) {
	refuse := func(h *harness) {
		for range maxConnectionRefusals {
			h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{}, runner.ErrNotListening)
			h.collect()
		}
	}
	inFlight := func() (*harness, Call) {
		h := newHarness(t)
		h.prepare()
		h.start(ownerLink, 1, 0, 100)
		h.sends = nil
		refuse(h)
		require.Empty(t, h.sends)
		return h, h.lastCall()
	}
	for name, err := range map[string]error{"refused": runner.ErrNotListening, "not sent": runner.ErrNotSent} {
		t.Run(name, func(t *testing.T) {
			h, call := inFlight()
			h.answer(call, 0, err)
			require.Equal(t, []workload.RunID{runID(0)}, h.refused())
			require.Equal(t, workload.HostUnavailable, h.core.Host().State)
		})
	}
	t.Run("reached the next incarnation", func(t *testing.T) {
		h, call := inFlight()
		h.answer(call, 1000, nil)
		require.Equal(t, workload.HostReady, h.core.Host().State, "the next incarnation is asked first")
		h.pollAnswer(2, msg.RunStatus{Run: runID(0)})
		require.Len(t, h.lastInventory().Runs, 1)
	})
	t.Run("nobody answers any more", func(t *testing.T) {
		h, call := inFlight()
		h.answer(call, 1000, nil)
		refuse(h)
		require.Equal(t, workload.HostUnavailable, h.core.Host().State)
		require.Empty(t, h.lastInventory().Runs)
	})
	t.Run("silence beside another writer", func(t *testing.T) {
		h, call := inFlight()
		h.answer(call, 0, runner.ErrOutcomeUnknown)
		for i := range 300 { // announcements that are denied must not postpone the end
			h.core.Announced(runner.Announcement{Host: workload.Host{Instance: "other", StartedAtMS: 9}})
			poll := h.core.NextPoll()
			err := runner.ErrOutcomeUnknown
			if poll.Target.Instance == "other" {
				err = runner.ErrOtherIncarnation
			}
			h.core.PollAnswered(poll, runner.PollResponse{}, err)
			h.advance(100 * time.Millisecond)
			if time.Duration(i)*100*time.Millisecond < h.core.cfg.OwnerLease {
				require.Equal(t, workload.HostReady, h.core.Host().State, "its run may go on")
			}
		}
		require.Equal(t, workload.HostUnavailable, h.core.Host().State)
	})
	t.Run("silence", func(t *testing.T) {
		h, call := inFlight()
		h.answer(call, 0, runner.ErrOutcomeUnknown)
		h.advance(h.core.cfg.OwnerLease)
		require.Equal(t, workload.HostReady, h.core.Host().State, "its run may go on until the longest lease expires")
		h.advance(2 * h.core.cfg.OwnerLease)
		require.Equal(t, workload.HostUnavailable, h.core.Host().State)
	})
}

// Guards against ends that nobody has read and that are deleted by an acknowledgement
// that was meant for the former incarnation.
func TestNothingIsAcknowledgedAfterAnUnansweredCall(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.answerPoll(nil, msg.RunEnd{Number: 7, Run: runID(7)})
	h.core.Received(ownerLink, &msg.EndsAcknowledged{Epoch: 1, Instance: "i", StartedAtMS: 1, LastNumber: 7})
	require.EqualValues(t, 7, h.core.NextPoll().Request.Acknowledged)
	h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{}, runner.ErrOutcomeUnknown)
	require.Zero(t, h.core.NextPoll().Request.Acknowledged)
	h.answerPoll(nil)
	require.EqualValues(t, 7, h.core.NextPoll().Request.Acknowledged)
}

// Guards against a backend server that is unusable for good because it was taken for
// ended while it lives.
func TestEndedIncarnationThatAnswersBeginsAgain(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.core.Deregistered("i", 0)
	h.collect()
	require.False(t, h.core.CanCall())
	h.core.Announced(runner.Announcement{Sequence: 2, Host: workload.Host{Instance: "i", StartedAtMS: 1, Service: "desk", State: workload.HostReady}})
	h.pollAnswer(1)
	require.True(t, h.core.CanCall())
	require.Equal(t, workload.HostReady, h.core.Host().State)
}

// Guards against a late announcement of a former incarnation, which nobody answers
// for.
func TestAnnouncementThatIsNotConfirmedIsDropped(t *testing.T) {
	late := runner.Announcement{Sequence: 9, Host: workload.Host{Instance: "i", StartedAtMS: 1, Service: "desk", State: workload.HostReady}}
	for name, c := range map[string]struct {
		startedAtMS int64
		err         error
		ended       bool
	}{
		"another one answers":   {startedAtMS: 2},
		"another id answers":    {err: runner.ErrOtherIncarnation},
		"nobody listens":        {err: runner.ErrNotListening, ended: true},
		"nobody answers at all": {err: runner.ErrOutcomeUnknown, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.announce(2, workload.HostReady, 1)
			if c.ended {
				h.core.Deregistered("i", 0)
				h.collect()
			}
			h.core.Announced(late)
			for range 100 {
				poll := h.core.NextPoll()
				if !h.core.CanCall() || poll.Candidate == nil {
					break
				}
				h.core.PollAnswered(poll, runner.PollResponse{StartedAtMS: c.startedAtMS}, c.err)
				h.advance(pollRetryInterval)
			}
			require.EqualValues(t, 2, h.core.Host().StartedAtMS)
			require.Equal(t, !c.ended, h.core.CanCall())
			require.Equal(t, c.ended, h.core.Host().State == workload.HostUnavailable)
		})
	}
}

// Guards against the runs of an incarnation that are given up because a former one of the
// same id deregisters: an agent that was paused may read the report last.
func TestReportThatAFormerIncarnationLeavesIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.announce(2, workload.HostReady, 1)
	require.EqualValues(t, 2, h.core.Host().StartedAtMS)
	h.core.Deregistered("i", 1)
	h.collect()
	require.Equal(t, workload.HostReady, h.core.Host().State)
	require.True(t, h.core.CanCall())
	h.core.Deregistered("i", 2)
	h.collect()
	require.Equal(t, workload.HostUnavailable, h.core.Host().State)
}

// Guards against runs whose lease is extended for as long as the former incarnation had
// lived: its clock, in the answer to an inventory that was sent before the present one
// began, was taken for a time on the present clock.
func TestAnswerToAnInventoryOfAFormerIncarnationExtendsNoLease(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.advance(30 * time.Second)
	h.claim(ownerLink, 1)
	sent := h.inventories()
	former := sent[len(sent)-1]
	h.core.Announced(runner.Announcement{Sequence: 1, ClockMS: 100, Host: workload.Host{Instance: "i", StartedAtMS: 2, Service: "desk", State: workload.HostReady}})
	poll := h.core.NextPoll()
	require.NotNil(t, poll.Candidate)
	h.core.PollAnswered(poll, runner.PollResponse{ClockMS: 100, StartedAtMS: 2}, nil)
	h.collect()
	require.EqualValues(t, 2, h.core.Host().StartedAtMS)
	h.core.Received(ownerLink, &msg.InventoryAccepted{Epoch: 1, Number: former.Number, ClockMS: former.ClockMS})
	h.collect()
	require.Zero(t, h.core.NextPoll().Request.LeaseMS)
}
