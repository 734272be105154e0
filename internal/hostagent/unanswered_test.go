package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// grant answers the messages that were sent since the former call as an owner that is
// linked does, and returns the number of reports among them.
func (h *harness) grant() (reports int) {
	sent := h.sends
	h.sends = nil
	for _, m := range sent {
		switch m := m.(type) {
		case *msg.RunsProgress:
			reports++
			h.core.Received(ownerLink, &msg.LeaseGrant{Epoch: 1, StartedAtMS: m.StartedAtMS, ClockMS: m.ClockMS})
		case *msg.HostInventory:
			h.core.Received(ownerLink, &msg.InventoryAccepted{Epoch: 1, Number: m.Number, ClockMS: m.ClockMS})
		}
	}
	h.collect()
	return reports
}

// serve advances the time while the owner grants and the backend server announces
// itself. poll is called every 100 ms. It returns after how long the runs were given up,
// or d, and the time of the last report.
func (h *harness) serve(d time.Duration, poll func()) (givenUpAfter, lastReport time.Duration) {
	const step = 100 * time.Millisecond
	for past := time.Duration(0); past < d; past += step {
		if len(h.core.runs) == 0 {
			return past, lastReport
		}
		if past%announcementInterval == 0 {
			h.announce(1, workload.HostReady, uint64(h.clockMS()))
		}
		poll()
		h.advance(step)
		if h.grant() > 0 {
			lastReport = past + step
		}
	}
	return d, lastReport
}

// maxGiveUp is the longest time from the newest answer to a poll to the end of its runs
// at the agent: the lease on a clock that is 2% slow, and the interval of the ticks.
const maxGiveUp = 5*time.Second + 5*time.Second/driftDivisor + 2*tickInterval

// Guards against runs that are kept for ever because the owner grants leases for reports
// that the agent makes from memory: the backend server hangs or answers each poll with
// an error, or the agent's polls are stuck.
func TestRunsOfABackendServerThatAnswersNoPollAreGivenUp(t *testing.T) {
	fail := func(err error) func(h *harness) {
		return func(h *harness) {
			h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{}, err)
			h.collect()
		}
	}
	for name, poll := range map[string]func(h *harness){
		"no answer":        fail(runner.ErrOutcomeUnknown),
		"refused as busy":  fail(runner.ErrUnavailable),
		"refused as wrong": fail(runner.ErrInvalid),
		"fenced": func(h *harness) {
			h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{ClockMS: h.clockMS()}, runner.ErrFenced)
			h.collect()
		},
		"stuck": func(*harness) {},
		"other calls are answered": func(h *harness) {
			fail(runner.ErrOutcomeUnknown)(h)
			h.core.Received(ownerLink, &msg.StopRuns{Epoch: 1, Runs: []workload.RunID{runID(0)}})
			for _, c := range h.core.Calls() {
				h.answer(c, h.clockMS(), nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := running(t)
			h.grant()
			after, lastReport := h.serve(20*time.Second, func() { poll(h) })
			require.LessOrEqual(t, after, maxGiveUp)
			require.GreaterOrEqual(t, after, 5*time.Second, "the backend server may have the lease of a poll that was not answered")
			require.LessOrEqual(t, lastReport, maxPollAge+2*tickInterval, "the owner must not be told of runs that nobody has seen")
			require.Equal(t, workload.HostUnavailable, h.core.Host().State)
		})
	}
}

// Guards against runs that are given up although their backend server answers again
// while they have a lease. An answer takes 100 ms.
func TestRunsAreKeptWhenTheBackendServerAnswersWithinTheirLease(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 3 * time.Second, 4500 * time.Millisecond, 4700 * time.Millisecond} {
		h := running(t)
		h.grant()
		silentUntil := h.now + silence
		serverLeaseMS := h.core.sentLeaseMS
		var poll Poll // in flight
		var sentAt time.Duration
		send := func() {
			poll, sentAt = h.core.NextPoll(), h.now
			if h.now >= silentUntil {
				require.Less(t, h.clockMS(), serverLeaseMS, "silence of %v", silence)
				serverLeaseMS = max(serverLeaseMS, poll.Request.LeaseMS)
			}
		}
		send()
		after, _ := h.serve(20*time.Second, func() {
			if h.now < silentUntil || sentAt < silentUntil {
				h.core.PollAnswered(poll, runner.PollResponse{}, runner.ErrOutcomeUnknown)
				send()
				return
			}
			if h.now < sentAt+poll.Request.Wait {
				return // it delays its answer
			}
			h.core.PollAnswered(poll, runner.PollResponse{ClockMS: h.clockMS(), StartedAtMS: 1, Runs: []msg.RunStatus{{Run: runID(0)}}}, nil)
			h.collect()
			send()
		})
		require.Equal(t, 20*time.Second, after, "silence of %v", silence)
	}
}

// Guards against runs that are kept for ever by an agent that was started again, and
// whose backend server hangs before it has received a lease of the new process.
func TestRunsOfAFormerAgentProcessAreGivenUp(t *testing.T) {
	h := newHarness(t)
	h.core.Announced(runner.Announcement{Sequence: 1, ClockMS: h.clockMS(), Host: workload.Host{Instance: "i", StartedAtMS: 1, Service: "desk", State: workload.HostReady}})
	h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{ClockMS: h.clockMS(), StartedAtMS: 1, Runs: []msg.RunStatus{{Run: runID(0)}}}, nil)
	h.collect()
	answered := h.now
	fail := func() { h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{}, runner.ErrOutcomeUnknown) }
	for len(h.core.runs) > 0 && h.now < 10*time.Second {
		fail()
		h.advance(100 * time.Millisecond)
	}
	require.GreaterOrEqual(t, h.now-answered, 5*time.Second, "the former process may have extended the lease just before")
	require.LessOrEqual(t, h.now-answered, maxGiveUp)
	h.claim(ownerLink, 1)
	require.Empty(t, h.lastInventory().Runs)
}
