// Package jobs decides for the owner of the jobs: which task starts on which
// host, what the end of a run means, and what is stored. It does no input or
// output: events come in, messages to agents, phases for callers and rows to
// store come out. The lifecycles of jobs, runs and hosts are charts.
package jobs

import (
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// LeaseTime is how long everything on a host may run after the owner's last
// grant, and Lapse is when it has ended for certain: the host's clock may be
// 2% slow.
const (
	LeaseDuration = 6 * time.Second
	LeaseExpiry   = LeaseDuration + LeaseDuration/50 + 300*time.Millisecond
)

// HostMessage is a message for the agent of a host.
type HostMessage struct {
	Host    workload.HostName
	Message msg.Control
}

// Decision is a log line.
type Decision struct {
	Kind   DecisionKind
	Job    workload.JobID
	Run    workload.RunID
	Host   workload.HostName
	Detail string
	Age    time.Duration // of the input that decided it
}

// DecisionKind says what was decided.
type DecisionKind uint8

// Kinds of decisions.
const (
	JobAdmitted DecisionKind = iota
	JobEnded
	RunOrdered
	RunEnded
	RunStopped
	HostChanged
	TaskUnplaced
)

// Core is the state of an owner. It belongs to one goroutine.
type Core struct {
	epoch  uint64
	now    time.Duration
	wallMS int64 // Unix milliseconds, for rows

	hosts      map[workload.HostName]*host
	jobs       map[workload.JobID]*job
	cancelled  map[workload.JobID]time.Duration // of jobs that are not known yet
	ready      map[*task]struct{}
	planNeeded bool // something changed that may let a task start

	contention           *contention.Model
	interferenceStoredAt time.Duration // when they were last put into a batch

	hostList         hostList
	dirty            map[*job]struct{}
	removals         []workload.JobID
	pendingBatch     *Batch
	recoveryDeadline time.Duration // recovered tasks whose runs are unknown start after it

	messages  []HostMessage
	phases    []msg.JobPhase
	decisions []Decision
}

// New returns the core of an owner that has just claimed the jobs with epoch.
func New(epoch uint64, now time.Duration) *Core {
	return &Core{
		epoch: epoch, now: now, hosts: map[workload.HostName]*host{}, jobs: map[workload.JobID]*job{},
		cancelled: map[workload.JobID]time.Duration{}, ready: map[*task]struct{}{},
		contention: contention.NewModel(), hostList: hostList{stored: map[workload.HostName]bool{}}, dirty: map[*job]struct{}{},
	}
}

// Epoch returns the epoch of the ownership.
func (c *Core) Epoch() uint64 { return c.epoch }

// Advance sets the time. Call it before each event.
func (c *Core) Advance(now time.Duration, wallMS int64) { c.now, c.wallMS = now, wallMS }

// Messages returns the messages for agents since the last call.
func (c *Core) Messages() []HostMessage {
	out := c.messages
	c.messages = nil
	return out
}

// Phases returns the changes for callers since the last call.
func (c *Core) Phases() []msg.JobPhase {
	out := c.phases
	c.phases = nil
	return out
}

// Decisions returns the log lines since the last call.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

// AllPhases returns the phase of every job.
func (c *Core) AllPhases() []msg.JobPhase {
	list := make([]msg.JobPhase, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j.visiblePhase())
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

func (c *Core) send(h *host, m msg.Control) {
	c.messages = append(c.messages, HostMessage{h.info.Name, m})
}

func (c *Core) addDecision(d Decision) { c.decisions = append(c.decisions, d) }

// tickInterval is how often timeouts are looked for.
const tickInterval = 100 * time.Millisecond

// NextTick is when Tick should be called.
func (c *Core) NextTick() time.Duration { return c.now + tickInterval }

// Tick applies due timeouts.
func (c *Core) Tick() {
	for _, h := range c.hosts {
		h.tick()
	}
	for _, j := range c.jobs {
		if j.removeAt != 0 && c.now >= j.removeAt {
			c.remove(j)
		}
	}
	c.contention.DropIdleGroups(c.now)
	for id, at := range c.cancelled {
		if c.now-at > cancellationRetention {
			delete(c.cancelled, id)
		}
	}
	if c.recoveryDeadline != 0 && c.now >= c.recoveryDeadline {
		c.recoveryDeadline = 0
		c.planNeeded = true
	}
}

// keepCancelled is how long a cancellation waits for its job's row.
const cancellationRetention = time.Minute

// sortedHosts returns the hosts in the order of their names, so that equal
// inputs give equal plans.
func (c *Core) sortedHosts() []*host {
	list := make([]*host, 0, len(c.hosts))
	for _, h := range c.hosts {
		list = append(list, h)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].info.Name < list[k].info.Name })
	return list
}
