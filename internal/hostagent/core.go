// Package hostagent makes the decisions of the agent of a host. It rejects
// starts that exceed the host's free resources, rejects commands of owners
// that have been replaced, extends the lease of the runs, throttles best-effort
// runs, and finds out whether an unanswered start took effect. It does no input
// or output: it receives events and returns messages and calls to the backend
// server.
package hostagent

import (
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Config holds the settings of a Core.
type Config struct {
	Name       workload.HostName
	DataCentre workload.DataCentre
	// OwnerLease is how long runs may continue after the owner last granted
	// the lease.
	OwnerLease time.Duration
	// RunLease is the lease of the runs at the backend server, from its newest
	// answer to a poll on. The agent extends it, so it bounds how long the runs
	// outlive a crash of the agent, and how long a silent backend server keeps
	// its tasks.
	RunLease time.Duration
	// Token is the first fencing token. It is higher than the tokens of former
	// processes of the agent; see FirstToken.
	Token uint64
}

// LinkID identifies a link to an entry. Zero means no link.
type LinkID uint64

// Send is a message for one link or for all links.
type Send struct {
	Link    LinkID // 0: all links
	Message msg.Control
}

// Call is a request to the backend server. Exactly one of the pointers is set.
type Call struct {
	Target   runner.Target
	Start    *runner.StartRequest
	Stop     *workload.RunID
	Throttle *ThrottleCall
	Poll     *runner.PollRequest
	// SendBefore is the time of the core from which on the call is not sent. It is
	// then answered with runner.ErrNotSent. 0: no limit.
	SendBefore  time.Duration
	startedAtMS int64 // incarnation of the backend server that is called
}

// maxStartWait is how long a start may wait for calls that the backend server does
// not answer. It is half of the shortest time (2 s) after which nothing may start on
// a host that has announced that it drains, and leaves urgent work time for another
// host.
const maxStartWait = time.Second

// ThrottleCall sets the CPU limit of a run.
type ThrottleCall struct {
	Run     workload.RunID
	Percent int // of full speed; 0 pauses the run
}

// Answer is the outcome of a Call.
type Answer struct {
	Call     Call
	ClockMS  int64               // clock of the backend server; 0: unknown
	Response runner.PollResponse // of a poll
	Err      error
}

// Decision is a decision that is logged. Fields that do not apply to its kind are
// zero.
type Decision struct {
	Kind        DecisionKind
	Run         workload.RunID
	Detail      string
	Epoch       uint64        // highest epoch that the agent had observed
	Entry       string        // name of the entry that the decision is about
	SenderEpoch uint64        // of a message that was refused
	LeaseLeft   time.Duration // remaining time of the owner's lease; negative: expired
	Runs        int           // number of runs on the host
	Throttle    ThrottleChange
}

// ThrottleChange is a changed CPU limit of a best-effort run.
type ThrottleChange struct {
	Percent  int     // of full speed; 0 pauses the run
	MaxRatio float64 // highest ratio of latency to target of a serving task on the host
	Image    string
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	OwnerAdopted   DecisionKind = iota
	OwnerLeft                   // Detail is why the agent has no owner any more; Entry is the former one
	OwnerRefused                // a message was ignored because its sender is not the owner; Detail is the reason
	RunSent                     // the start of a run that Entry ordered is sent to the backend server
	StartRefused                // the agent refused a start; Detail is the reason
	RunRefused                  // the backend server refused a start, or a run is no longer listed and no end was reported
	RunUnconfirmed              // a start was not answered
	IncarnationStarted
	IncarnationEnded   // Detail is the reason
	AnnouncementDenied // the incarnation in Detail was not found at the address of the backend server
	RunThrottled
)

// Core is the state of the agent of one host. It must be used by one goroutine
// only.
type Core struct {
	cfg Config
	now time.Duration

	host         workload.Host
	incarnation  incarnation
	candidates   []*candidate // the first is asked for next
	announcement uint64       // sequence number of the newest announcement
	announcedMS  int64        // the backend server's clock in the newest announcement

	epoch             uint64            // highest observed epoch
	owner             LinkID            // 0: none
	entries           map[LinkID]string // names of the linked entries, for the log
	inventoryAccepted bool              // the owner has the newest inventory, so it may start runs
	inventorySent     bool
	inventories       uint64        // number of the newest inventory; a process begins above those of former processes
	ownerAnswerDue    time.Duration // when the answer of the owner to an inventory or a report is overdue; 0: none is awaited

	token          uint64
	runs           map[workload.RunID]*run
	used           workload.Resources // charge of the runs
	unacknowledged []msg.RunEnd       // ends that the owner has not acknowledged
	lastEnd        uint64             // number of the last end received
	acknowledged   uint64             // number of the last end that the owner has stored
	// allListed is set when a poll response of the present incarnation has shown its last
	// ends. Until then the incarnation may have ended runs of former processes of the agent
	// that the agent does not know.
	allListed bool

	clock              clock
	polled             bool          // this incarnation has answered a poll
	polledMS           int64         // clock of the newest poll response
	polledAt           time.Duration // when it arrived
	pollIgnored        bool          // the newest poll response was ignored
	answersSlowly      bool          // the newest answer to a poll took longer than answerTime
	failedPolls        int           // consecutive polls of the present incarnation that were not answered, or rejected
	leaseEndMS         int64         // end of the owner's lease, in the backend server's clock
	sentLeaseMS        int64         // latest end of a lease that a call carried, in the same clock
	formerLeaseMS      int64         // latest end of a lease of a former process of the agent, in the same clock
	suspension         suspension
	connectionRefusals int    // consecutive refused connections
	callFailed         bool   // a call was not answered since the last answered poll
	askPresentNext     bool   // the last poll asked for a candidate, and the answer did not decide about it
	settlingPoll       uint64 // token of the newest poll for unanswered starts that is queued or in flight; 0: none
	nextReport         time.Duration
	throttler          throttler

	sends     []Send
	calls     []Call
	decisions []Decision
	changed   msg.RunsChanged // changes to report to the owner
}

// New returns the Core of a host whose backend server has not announced itself
// yet.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, throttler: newThrottler(), token: cfg.Token, inventories: cfg.Token, runs: map[workload.RunID]*run{}, entries: map[LinkID]string{},
		incarnation: incarnation{state: incarnationChart.Initial()}, host: workload.Host{Name: cfg.Name, DataCentre: cfg.DataCentre}}
}

// Advance sets the current time. The caller must call it before each event.
func (c *Core) Advance(now time.Duration) { c.now = now }

// Epoch returns the highest epoch of an owner that the agent has observed.
func (c *Core) Epoch() uint64 { return c.epoch }

// Host returns the last known state of the host and its backend server.
func (c *Core) Host() workload.Host { return c.host }

// Sends returns the messages that were added since the previous call of Sends.
func (c *Core) Sends() []Send {
	c.flushChanges()
	out := c.sends
	c.sends = nil
	return out
}

// Calls returns the requests that were added since the previous call of Calls.
func (c *Core) Calls() []Call {
	out := c.calls
	c.calls = nil
	return out
}

// Decisions returns the decisions that were made since the previous call of
// Decisions.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

func (c *Core) addDecision(d Decision) {
	d.Epoch = c.epoch
	c.decisions = append(c.decisions, d)
}

func (c *Core) target() runner.Target {
	return runner.Target{Instance: c.host.Instance, Token: c.token}
}

func (c *Core) addCall(call Call) {
	call.Target, call.startedAtMS = c.target(), c.host.StartedAtMS
	c.calls = append(c.calls, call)
}

const (
	tickInterval = 100 * time.Millisecond
	// reportInterval is the interval at which the agent reports the progress
	// of the runs. The owner answers each report by a lease grant.
	reportInterval = 500 * time.Millisecond
	// ownerAnswerTimeout is the time for the owner's answer to an inventory or a report.
	// It leaves time for two more inventories before the owner's lease expires.
	ownerAnswerTimeout = 2 * time.Second
)

// NextTick returns the time at which Tick should be called next.
func (c *Core) NextTick() time.Duration { return c.now + tickInterval }

// Tick applies expired timeouts and sends the report of the runs if it is due.
func (c *Core) Tick() {
	for _, r := range c.sorted() {
		r.tick()
	}
	c.expireCandidates()
	if c.incarnation.timeoutAt != 0 && c.now >= c.incarnation.timeoutAt {
		c.stepIncarnation(evCloseTimeout)
	}
	c.stopAfterSuspension()
	if c.leasesExpiredInSilence() {
		c.stepIncarnation(evSilent)
	}
	c.repeatInventory()
	c.report()
}

// report sends the status of the runs to the owner at most once per
// reportInterval. The owner answers by a lease grant. What the backend server has not
// confirmed for maxPollAge is not reported.
func (c *Core) report() {
	if c.owner == 0 || !c.inventoryAccepted || c.now < c.nextReport || c.host.State == workload.HostUnavailable || !c.present() || c.pollOutdated() {
		return
	}
	c.nextReport = c.now + reportInterval
	m := &msg.RunsProgress{Epoch: c.epoch, Instance: c.host.Instance, StartedAtMS: c.host.StartedAtMS, ClockMS: c.clock.lowerBound(c.now)}
	for _, r := range c.sorted() {
		m.Runs = append(m.Runs, r.status())
	}
	c.sends = append(c.sends, Send{c.owner, m})
	c.awaitOwner()
}

// flushChanges sends the collected changes of the runs to the owner in one
// message. They are discarded if the inventory was not sent to an owner yet.
func (c *Core) flushChanges() {
	m := c.changed
	c.changed = msg.RunsChanged{}
	if c.owner == 0 || !c.inventorySent || len(m.Started)+len(m.Refused)+len(m.Unconfirmed)+len(m.Ended) == 0 {
		return // the next inventory contains the changes
	}
	m.Epoch, m.Instance, m.StartedAtMS = c.epoch, c.host.Instance, c.host.StartedAtMS
	c.sends = append(c.sends, Send{c.owner, &m})
}

// sorted returns the runs in order of arrival.
func (c *Core) sorted() []*run {
	list := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].sequence < list[k].sequence })
	return list
}

// Token returns the highest fencing token that the core has used.
func (c *Core) Token() uint64 { return c.token }
