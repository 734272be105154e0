package hostagent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// endsFrom returns ends of the numbers from first on.
func endsFrom(first, count int) []msg.RunEnd {
	var ends []msg.RunEnd
	for n := first; n < first+count; n++ {
		ends = append(ends, msg.RunEnd{Number: uint64(n), Run: runID(n), Reason: workload.EndDone})
	}
	return ends
}

// beginWith lets a backend server begin whose answer to the first poll lists ends and runs.
// An announced one is known by its announcement.
func (h *harness) beginWith(announced bool, runs []msg.RunStatus, ends ...msg.RunEnd) {
	if announced {
		h.core.Announced(runner.Announcement{Host: workload.Host{Instance: "i", StartedAtMS: 1, Service: "desk", State: workload.HostReady}, Sequence: 1, ClockMS: h.clockMS()})
	} else {
		h.core.ask(runner.Announcement{Host: workload.Host{Instance: "i", StartedAtMS: 1, State: workload.HostUnavailable}})
	}
	poll := h.core.NextPoll()
	require.NotNil(h.t, poll.Candidate)
	h.core.PollAnswered(poll, runner.PollResponse{ClockMS: h.clockMS(), StartedAtMS: 1, Runs: runs, Ended: ends}, nil)
	h.collect()
}

func (h *harness) acknowledgeEnds(last uint64) {
	h.core.Received(ownerLink, &msg.EndsAcknowledged{Epoch: 1, Instance: "i", StartedAtMS: 1, LastNumber: last})
	h.collect()
}

// Guards against an inventory of a new process of the agent that passes for complete
// although the answer of the backend server had no room for all ends.
func TestInventorySaysThatMoreEndsFollow(t *testing.T) {
	for _, announced := range []bool{true, false} {
		for _, ends := range []int{0, maxEndsPerPoll - 1, maxEndsPerPoll, maxEndsPerPoll + 1} {
			t.Run(fmt.Sprintf("announced: %v, %d ends", announced, ends), func(t *testing.T) {
				h := newHarness(t)
				h.claim(ownerLink, 1)
				all := endsFrom(1, ends)
				first := all[:min(ends, maxEndsPerPoll)]
				h.beginWith(announced, nil, first...)
				sent := h.inventories()
				require.Len(t, sent, 1)
				require.Equal(t, len(first) == maxEndsPerPoll, sent[0].MoreEnds)
				if !sent[0].MoreEnds {
					return
				}
				h.acceptInventory(ownerLink, 1)
				h.answerPoll(nil, first...)
				require.Len(t, h.inventories(), 1, "the ends are not acknowledged yet")
				h.acknowledgeEnds(maxEndsPerPoll)
				require.EqualValues(t, maxEndsPerPoll, h.core.NextPoll().Request.Acknowledged)
				h.answerPoll(nil, all[maxEndsPerPoll:]...)
				sent = h.inventories()
				require.Len(t, sent, 2)
				require.False(t, sent[1].MoreEnds)
				require.Len(t, sent[1].Ended, ends-maxEndsPerPoll)
				require.Greater(t, sent[1].Number, sent[0].Number)
				h.start(ownerLink, 1, 9000, 1)
				require.Zero(t, h.startCalls(), "the owner has not accepted the complete inventory")
			})
		}
	}
}

// Guards against an inventory that passes for complete because the agent has read several
// answers, each of which had more ends than it could list.
func TestEachFullAnswerLeavesTheInventoryIncomplete(t *testing.T) {
	h := newHarness(t)
	h.claim(ownerLink, 1)
	h.beginWith(true, []msg.RunStatus{{Run: runID(7000)}}, endsFrom(1, maxEndsPerPoll)...)
	h.acceptInventory(ownerLink, 1)
	for page := 1; page < 4; page++ {
		h.acknowledgeEnds(uint64(page * maxEndsPerPoll))
		h.answerPoll([]msg.RunStatus{{Run: runID(7000)}}, endsFrom(page*maxEndsPerPoll+1, maxEndsPerPoll)...)
	}
	h.claim(ownerLink, 1) // a new owner may claim meanwhile
	sent := h.inventories()
	require.True(t, sent[len(sent)-1].MoreEnds)
	require.Len(t, sent[len(sent)-1].Runs, 1)
	h.acceptInventory(ownerLink, 1)
	h.acknowledgeEnds(4 * maxEndsPerPoll)
	h.answerPoll(nil, endsFrom(4*maxEndsPerPoll+1, 1)...)
	sent = h.inventories()
	require.False(t, sent[len(sent)-1].MoreEnds)
	require.Empty(t, sent[len(sent)-1].Runs, "the run ended between two answers")
}

// Guards against an inventory that hides the end of a backend server while ends are missing:
// its runs are over, whether they are listed or not.
func TestInventoryOfAnEndedIncarnationIsComplete(t *testing.T) {
	h := newHarness(t)
	h.claim(ownerLink, 1)
	h.beginWith(true, nil, endsFrom(1, maxEndsPerPoll)...)
	h.core.Deregistered("i", 1)
	h.collect()
	sent := h.inventories()
	require.Equal(t, workload.HostUnavailable, sent[len(sent)-1].Host.State)
	require.False(t, sent[len(sent)-1].MoreEnds)
}
