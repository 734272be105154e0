package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// unannounced lets a later incarnation answer that has a run and never announces itself.
func unannounced(t *testing.T) *harness {
	h := running(t)
	h.grant()
	for range 2 {
		h.pollAnswer(2, msg.RunStatus{Run: runID(0)})
	}
	require.EqualValues(t, 2, h.core.Host().StartedAtMS)
	require.Equal(t, workload.HostUnavailable, h.core.Host().State)
	require.Len(t, h.lastInventory().Runs, 1)
	h.grant()
	return h
}

// Guards against a run whose end the owner never learns: the agent ignored the lists of
// an incarnation that had not announced itself.
func TestEndsOfAnIncarnationThatDoesNotAnnounceItselfAreReported(t *testing.T) {
	h := unannounced(t)
	h.advance(100 * time.Millisecond)
	poll := h.core.NextPoll()
	h.core.PollAnswered(poll, runner.PollResponse{
		ClockMS: h.clockMS(), StartedAtMS: 2, Ended: []msg.RunEnd{{Number: 1, Run: runID(0), Reason: workload.EndLeaseExpired}},
	}, nil)
	h.collect()
	require.Len(t, h.sends, 1)
	require.Len(t, h.sends[0].(*msg.RunsChanged).Ended, 1)
	require.Empty(t, h.core.runs)
}

// Guards against a run that is kept for ever: it is on an incarnation that hangs before
// it has announced itself.
func TestRunsOfAnIncarnationThatDoesNotAnnounceItselfAreGivenUp(t *testing.T) {
	h := unannounced(t)
	for since := time.Duration(0); since < maxGiveUp; since += 100 * time.Millisecond {
		h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{}, runner.ErrOutcomeUnknown)
		h.advance(100 * time.Millisecond)
		h.grant()
	}
	require.Empty(t, h.core.runs)
}

// Guards against a lease that expires because all polls ask for a candidate: the backend
// server rejects those as long as another writer announces it.
func TestPresentIncarnationIsPolledWhileCandidatesAreRejected(t *testing.T) {
	for name, err := range map[string]error{"refused": runner.ErrUnavailable, "fenced": runner.ErrFenced, "invalid": runner.ErrInvalid, "unknown": runner.ErrOutcomeUnknown} {
		t.Run(name, func(t *testing.T) {
			h := running(t)
			h.grant()
			for range 100 {
				h.core.Announced(runner.Announcement{Host: workload.Host{Instance: "other", StartedAtMS: 9}})
				if poll := h.core.NextPoll(); poll.Candidate != nil {
					h.core.PollAnswered(poll, runner.PollResponse{}, err)
				} else {
					h.answerPoll([]msg.RunStatus{{Run: runID(0)}})
				}
				h.advance(100 * time.Millisecond)
				h.grant()
			}
			require.Len(t, h.core.runs, 1)
			require.Equal(t, workload.HostReady, h.core.Host().State)
		})
	}
}

// Guards against a queue of calls that fills with polls while the backend server answers
// nothing, behind which stops and starts wait: one poll settles all unanswered starts.
func TestOnePollIsQueuedForAllUnansweredStarts(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	const starts = 8
	for i := range starts {
		h.start(ownerLink, 1, i, 10)
	}
	polls := func() (list []Call) {
		for _, c := range h.calls {
			if c.Poll != nil {
				list = append(list, c)
			}
		}
		return list
	}
	for _, c := range append([]Call(nil), h.calls...) {
		h.answer(c, 0, runner.ErrOutcomeUnknown)
	}
	h.advance(4 * pollRetryInterval)
	require.LessOrEqual(t, len(polls()), starts, "each start raises the token once")
	queued := len(polls())
	h.advance(4 * pollRetryInterval)
	require.Len(t, polls(), queued, "none has been answered")
	for _, c := range polls() {
		h.answer(c, 0, runner.ErrOutcomeUnknown)
	}
	h.advance(2 * pollRetryInterval)
	require.Len(t, polls(), queued+1, "the poll is repeated once after its answer")
	h.core.Answered(Answer{Call: h.lastCall(), ClockMS: h.clockMS(), Response: runner.PollResponse{ClockMS: h.clockMS(), StartedAtMS: 1}})
	h.collect()
	require.Len(t, h.refused(), starts)
}
