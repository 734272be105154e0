package jobdaemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const testOwnerLink hostagent.LinkID = 1

// testHost is an agent with its backend server, and the messages in transit
// between the agent and the owner, in order.
type testHost struct {
	name     workload.HostName
	agent    *hostagent.Core
	now      time.Duration
	sequence uint64 // of the last announcement
	toAgent  []msg.Control
	toOwner  []msg.Control
	running  map[workload.RunID]bool // on the backend server
}

// handover is an owner of the jobs with the agents of two hosts.
type handover struct {
	owner *jobs.Core
	hosts []*testHost
}

func newHandover(tasks int) *handover {
	w := &handover{owner: jobs.New(1, 0)}
	for i := range 2 {
		h := &testHost{name: workload.HostName(fmt.Sprintf("host-%d", i)), running: map[workload.RunID]bool{}}
		h.agent = hostagent.New(hostagent.Config{Name: h.name, OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1})
		w.hosts = append(w.hosts, h)
		w.owner.ExpectHost(h.name)
		h.announce()
		w.link(h)
	}
	w.owner.Submit(workload.Job{ID: "j", Queue: "q", Service: "desk", MaxAttempts: 100, TargetSlowdown: 2, TargetLatency: time.Second, Steps: []workload.Step{
		{Count: tasks, Need: workload.Resources{MilliCPU: 100, MemoryMB: 1}, Estimate: time.Second},
	}})
	return w
}

// announce registers the backend server at its agent and answers a poll.
func (h *testHost) announce() {
	h.sequence++
	h.agent.Announced(runner.Announcement{Sequence: h.sequence, ClockMS: h.now.Milliseconds(), Host: workload.Host{
		Instance: workload.Instance("i-" + h.name), StartedAtMS: 1, Service: "desk", State: workload.HostReady,
		Capacity: workload.Resources{MilliCPU: 1000, MemoryMB: 100},
	}})
	p := h.agent.NextPoll()
	h.agent.PollAnswered(p, runner.PollResponse{ClockMS: h.now.Milliseconds(), StartedAtMS: p.StartedAtMS}, nil)
	h.collect()
}

// collect executes the calls of the agent and puts its messages in transit.
func (h *testHost) collect() {
	for _, s := range h.agent.Sends() {
		h.toOwner = append(h.toOwner, s.Message)
	}
	for _, c := range h.agent.Calls() {
		switch {
		case c.Start != nil:
			h.running[c.Start.Run] = true
		case c.Stop != nil:
			delete(h.running, *c.Stop)
		}
		h.agent.Answered(hostagent.Answer{Call: c, ClockMS: h.now.Milliseconds()})
	}
	for _, s := range h.agent.Sends() {
		h.toOwner = append(h.toOwner, s.Message)
	}
	h.agent.Decisions()
}

// lapse stops the answers of the backend server until every lease has expired,
// which ends its runs, and then lets it announce itself again.
func (h *testHost) lapse() {
	h.now += 20 * time.Second
	h.agent.Advance(h.now)
	h.running = map[workload.RunID]bool{}
	h.agent.Tick()
	h.collect()
	h.announce()
}

// link tells the owner that the agent is linked. The owner claims the host.
func (w *handover) link(h *testHost) {
	w.owner.Linked(h.agent.Host())
	w.collect()
}

// collect plans and puts the owner's messages in transit.
func (w *handover) collect() {
	w.owner.Plan()
	for _, m := range w.owner.Messages() {
		for _, h := range w.hosts {
			if h.name == m.Host {
				h.toAgent = append(h.toAgent, m.Message)
			}
		}
	}
	w.owner.Phases()
	w.owner.Decisions()
}

// deliverToAgent delivers the oldest message to the agent.
func (w *handover) deliverToAgent(h *testHost) {
	if len(h.toAgent) == 0 {
		return
	}
	m := h.toAgent[0]
	h.toAgent = h.toAgent[1:]
	h.agent.Received(testOwnerLink, m)
	h.collect()
}

// deliverToOwner delivers the oldest message to the owner.
func (w *handover) deliverToOwner(h *testHost) {
	if len(h.toOwner) == 0 {
		return
	}
	m := h.toOwner[0]
	h.toOwner = h.toOwner[1:]
	switch m := m.(type) {
	case *msg.HostAnnounced:
		w.owner.Announced(m.Host)
	case *msg.HostInventory:
		w.owner.Inventory(m)
	case *msg.RunsChanged:
		w.owner.RunsChanged(h.name, m)
	case *msg.RunsProgress:
		w.owner.RunsProgress(h.name, m)
	}
	w.collect()
}

// runningTwice returns a task that has two runs at the same time.
func (w *handover) runningTwice() (workload.TaskID, bool) {
	runs := map[workload.TaskID]int{}
	for _, h := range w.hosts {
		for r := range h.running {
			if runs[r.Task]++; runs[r.Task] > 1 {
				return r.Task, true
			}
		}
	}
	return workload.TaskID{}, false
}

// Guards against a task that runs twice at the same time because the owner
// claims a host again while the answer to its first claim is in transit: the
// second inventory predates the starts that follow the first, so the owner
// takes these runs for lost, and the agent executes the starts all the same.
func TestStartsBeforeTheNewestInventoryIsAcceptedAreRefused(t *testing.T) {
	w := newHandover(1)
	h := w.hosts[0]
	w.link(h)
	for len(h.toAgent) > 0 {
		w.deliverToAgent(h)
	}
	for len(h.toOwner) > 0 {
		w.deliverToOwner(h)
	}
	for len(h.toAgent) > 0 {
		w.deliverToAgent(h)
	}
	_, twice := w.runningTwice()
	require.False(t, twice)
	require.Len(t, h.running, 1)
}

// Guards against a task that runs twice at the same time for any order of
// claims, deliveries and lapses of the leases.
func TestTaskDoesNotRunTwiceWhenHostsAreClaimedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHandover(rapid.IntRange(1, 4).Draw(t, "tasks"))
		host := func(t *rapid.T) *testHost { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"link":             func(t *rapid.T) { w.link(host(t)) },
			"deliver to agent": func(t *rapid.T) { w.deliverToAgent(host(t)) },
			"deliver to owner": func(t *rapid.T) { w.deliverToOwner(host(t)) },
			"lapse":            func(t *rapid.T) { host(t).lapse() },
			"": func(t *rapid.T) {
				if task, twice := w.runningTwice(); twice {
					t.Fatalf("task %+v runs twice", task)
				}
			},
		})
	})
}
