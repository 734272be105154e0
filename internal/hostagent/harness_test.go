package hostagent

import (
	"testing"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const ownerLink LinkID = 1

// harness drives a Core and acts as its owner and its backend server.
type harness struct {
	t     *testing.T
	core  *Core
	now   time.Duration
	sends []msg.Control
	calls []Call
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, core: New(Config{Name: "a", OwnerLease: 6 * time.Second, RunLease: 5 * time.Second, Token: 100})}
}

func (h *harness) collect() {
	for _, s := range h.core.Sends() {
		h.sends = append(h.sends, s.Message)
	}
	h.calls = append(h.calls, h.core.Calls()...)
	h.core.Decisions()
}

func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 50 * time.Millisecond
		h.core.Advance(h.now)
		h.core.Tick()
		h.collect()
	}
}

// clockMS is the backend server's clock, which runs at full speed.
func (h *harness) clockMS() int64 { return 1000 + h.now.Milliseconds() }

func (h *harness) announce(startedAtMS int64, state workload.HostState, sequence uint64) {
	h.core.Announced(runner.Announcement{
		Host: workload.Host{
			Instance: "i", StartedAtMS: startedAtMS, Service: "desk", State: state, Capacity: workload.Resources{MilliCPU: 2000, MemoryMB: 100},
		},
		Sequence: sequence, ClockMS: h.clockMS(),
	})
	h.collect()
	h.confirm()
}

// confirm answers the poll that asks for the announced incarnation, unless it has
// begun.
func (h *harness) confirm() {
	if poll := h.core.NextPoll(); poll.Candidate != nil && poll.StartedAtMS >= h.core.Host().StartedAtMS {
		h.core.PollAnswered(poll, runner.PollResponse{ClockMS: h.clockMS(), StartedAtMS: poll.StartedAtMS}, nil)
		h.collect()
	}
}

// answerPoll answers the next poll of the backend server.
func (h *harness) answerPoll(runs []msg.RunStatus, ends ...msg.RunEnd) {
	poll := h.core.NextPoll()
	h.core.PollAnswered(poll, runner.PollResponse{ClockMS: h.clockMS(), StartedAtMS: poll.StartedAtMS, Runs: runs, Ended: ends}, nil)
	h.collect()
}

// prepare lets an owner of epoch 1 accept the inventory, so that it may start
// runs.
func (h *harness) prepare() {
	h.announce(1, workload.HostReady, 1)
	h.claim(ownerLink, 1)
	h.answerPoll(nil)
	h.acceptInventory(ownerLink, 1)
}

func (h *harness) claim(from LinkID, epoch uint64) {
	h.core.Received(from, &msg.OwnerClaim{Epoch: epoch})
	h.collect()
}

// acceptInventory answers the newest inventory as the owner does.
func (h *harness) acceptInventory(from LinkID, epoch uint64) {
	sent := h.inventories()
	newest := sent[len(sent)-1]
	h.core.Received(from, &msg.InventoryAccepted{Epoch: epoch, Number: newest.Number, ClockMS: newest.ClockMS})
	h.collect()
}

func runID(index int) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: "j", Index: index}, Number: 1}
}

func (h *harness) start(from LinkID, epoch uint64, index int, cpu int64) {
	h.core.Received(from, &msg.StartRuns{Epoch: epoch, Instance: "i", StartedAtMS: h.core.Host().StartedAtMS, Starts: []msg.RunStart{{
		Size: msg.RunSize{Run: runID(index), Charge: workload.Resources{MilliCPU: cpu}},
	}}})
	h.collect()
}

func (h *harness) startCalls() int {
	n := 0
	for _, c := range h.calls {
		if c.Start != nil {
			n++
		}
	}
	return n
}

func (h *harness) answer(c Call, clockMS int64, err error) {
	h.core.Answered(Answer{Call: c, ClockMS: clockMS, Err: err})
	h.collect()
}

func (h *harness) lastCall() Call { return h.calls[len(h.calls)-1] }

// refused returns the runs that were reported to the owner as refused.
func (h *harness) refused() []workload.RunID {
	var list []workload.RunID
	for _, m := range h.sends {
		if c, ok := m.(*msg.RunsChanged); ok {
			list = append(list, c.Refused...)
		}
	}
	return list
}

// inventories returns the inventories that were sent.
func (h *harness) inventories() []*msg.HostInventory {
	var list []*msg.HostInventory
	for _, m := range h.sends {
		if i, ok := m.(*msg.HostInventory); ok {
			list = append(list, i)
		}
	}
	return list
}
