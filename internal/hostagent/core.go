// Package hostagent decides for the agent of a host: it guards the host's
// capacity, refuses owners that have been replaced, keeps the lease of what
// runs, and settles what became of orders without an answer. It does no input
// or output: events come in, messages and calls to the backend server come
// out.
package hostagent

import (
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Config holds the settings of a guard.
type Config struct {
	Name       workload.HostName
	DataCentre workload.DataCentre
	// OwnerLease is how long the host works on without the owner's word.
	OwnerLease time.Duration
	// RunLease is the lease of what runs. The agent extends it, so it bounds
	// how long the runs outlive a crash of the agent, and how long a silent
	// backend server keeps its tasks.
	RunLease time.Duration
	Token    uint64 // first fencing token; above those of former processes
}

// LinkID names a link to an entry.
type LinkID uint64

// Send is a message for one link, or for every link.
type Send struct {
	Link    LinkID // 0: every link
	Message msg.Control
}

// Call is an order for the backend server. Exactly one of the pointers is set.
type Call struct {
	Target      runner.Target
	Start       *runner.StartRequest
	Stop        *workload.RunID
	Pace        *PaceCall
	Look        *runner.PollRequest
	startedAtMS int64
}

// PaceCall sets the share at which a run may work.
type PaceCall struct {
	Run     workload.RunID
	Percent int
}

// Answer is the outcome of a call.
type Answer struct {
	Call    Call
	ClockMS int64 // 0: not told
	Listing runner.PollResponse
	Err     error
}

// Decision is a log line.
type Decision struct {
	Kind   DecisionKind
	Run    workload.RunID
	Detail string
	Epoch  uint64
}

// DecisionKind says what was decided.
type DecisionKind uint8

// Kinds of decisions.
const (
	OwnerAdopted DecisionKind = iota
	OwnerRefused
	RunRefused
	RunDoubtful
	LifeBegan
	LifeEnded
	RunPaced
)

// Core is the state of a guard. It belongs to one goroutine.
type Core struct {
	cfg Config
	now time.Duration

	host     workload.Host
	sequence uint64
	ended    bool // this life of the backend server has certainly ended

	epoch uint64
	owner LinkID // 0: none
	taken bool   // the owner has the inventory; starts are allowed
	told  bool   // the inventory was sent

	token    uint64
	runs     map[workload.RunID]*held
	used     workload.Resources
	ends     []msg.RunEnd // not acknowledged by the owner
	endsSeen uint64
	cursor   uint64 // ends up to it are stored by the owner

	clock      clock
	listed     bool  // a listing of this life has arrived
	listedMS   int64 // clock of the newest listing
	leaseEnd   int64 // of the owner's grant, in the backend server's clock
	leaseSent  int64 // the longest lease that a call carried
	refusals   int   // connections refused in a row
	nextReport time.Duration
	pacer      pacer

	sends     []Send
	calls     []Call
	decisions []Decision
	changed   msg.RunsChanged
}

// New returns the guard of a host whose backend server is not known yet.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, pacer: newPacer(), token: cfg.Token, runs: map[workload.RunID]*held{}, host: workload.Host{Name: cfg.Name, DataCentre: cfg.DataCentre}}
}

// Advance sets the time. Call it before each event.
func (c *Core) Advance(now time.Duration) { c.now = now }

// Epoch returns the highest epoch of an owner that the guard knows.
func (c *Core) Epoch() uint64 { return c.epoch }

// Host returns what is known of the backend server.
func (c *Core) Host() workload.Host { return c.host }

// Sends returns the messages since the last call.
func (c *Core) Sends() []Send {
	c.flushChanges()
	out := c.sends
	c.sends = nil
	return out
}

// Calls returns the calls since the last call.
func (c *Core) Calls() []Call {
	out := c.calls
	c.calls = nil
	return out
}

// Decisions returns the log lines since the last call.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

func (c *Core) note(d Decision) {
	d.Epoch = c.epoch
	c.decisions = append(c.decisions, d)
}

func (c *Core) target() runner.Target {
	return runner.Target{Instance: c.host.Instance, Token: c.token}
}

func (c *Core) call(call Call) {
	call.Target, call.startedAtMS = c.target(), c.host.StartedAtMS
	c.calls = append(c.calls, call)
}

// clock estimates the backend server's clock from below.
type clock struct {
	ms int64
	at time.Duration
}

// driftDivisor is the inverse of how much slower the backend server's clock
// may be.
const driftDivisor = 50

func (c *clock) set(ms int64, now time.Duration) {
	if ms > c.least(now) {
		c.ms, c.at = ms, now
	}
}

func (c *clock) least(now time.Duration) int64 {
	elapsed := now - c.at
	return c.ms + (elapsed - elapsed/driftDivisor).Milliseconds()
}

const (
	tickInterval = 100 * time.Millisecond
	// reportInterval is how often the owner hears of the runs' progress and
	// grants the lease.
	reportInterval = 500 * time.Millisecond
)

// NextTick is when Tick should be called.
func (c *Core) NextTick() time.Duration { return c.now + tickInterval }

// Tick applies due timeouts.
func (c *Core) Tick() {
	for _, r := range c.sorted() {
		r.tick()
	}
	if c.host.Instance != "" && !c.ended && c.leaseSent > 0 && c.clock.least(c.now) > c.leaseSent && c.host.State != workload.HostUnavailable {
		c.endLife("its leases have lapsed without an answer")
	}
	c.report()
}

// report tells the owner of the runs, for a new grant of the lease.
func (c *Core) report() {
	if c.owner == 0 || !c.taken || c.now < c.nextReport || c.host.State == workload.HostUnavailable {
		return
	}
	c.nextReport = c.now + reportInterval
	m := &msg.RunsProgress{Epoch: c.epoch, Instance: c.host.Instance, StartedAtMS: c.host.StartedAtMS, ClockMS: c.clock.least(c.now)}
	for _, r := range c.sorted() {
		m.Runs = append(m.Runs, r.status())
	}
	c.sends = append(c.sends, Send{c.owner, m})
}

// flushChanges sends what changed to the owner in one message.
func (c *Core) flushChanges() {
	m := c.changed
	c.changed = msg.RunsChanged{}
	if c.owner == 0 || !c.told || len(m.Started)+len(m.Refused)+len(m.Ended) == 0 {
		return // the next inventory tells
	}
	m.Epoch, m.Instance, m.StartedAtMS = c.epoch, c.host.Instance, c.host.StartedAtMS
	c.sends = append(c.sends, Send{c.owner, &m})
}

func (c *Core) sorted() []*held {
	list := make([]*held, 0, len(c.runs))
	for _, r := range c.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].sequence < list[k].sequence })
	return list
}
