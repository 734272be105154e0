package control

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/health"
	"github.com/bambooscale/bambooscale/internal/policy/interfere"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	observeInterval = time.Second
	scanInterval    = 250 * time.Millisecond // urgent work starts within 1.4 s
	sweepInterval   = 500 * time.Millisecond // resolution of the attempts' timeouts
	maxSleep        = time.Second            // bounds how late a pause is noticed
	planInterval    = 20 * time.Millisecond  // bounds the transactions of a writer
)

// Options describe a controller. Planner and Health belong to its core; Start
// fills them in.
type Options struct {
	Cell    model.Cell
	Entry   model.EntryID
	Boot    model.Boot
	Address string // where agents reach the entry
	Planner Planner
	Health  *health.Tracker // nil: every worker is trusted
}

// Planner decides where waiting jobs run; place.Planner is one.
type Planner interface {
	Plan(s place.Snapshot) place.Plan
	Explain(s place.Snapshot, job model.JobID) []place.Explanation
}

// Core decides for one cell that an entry contends for or owns. It is stepped
// with events and returns effects; it does no input or output and has no
// goroutine.
type Core struct {
	opts           Options
	now            time.Duration
	effects        []Effect
	cell           cellState
	peers          map[model.WorkerID]*peer
	jobs           map[model.JobID]*job // that are not over
	pending        map[model.JobID]*job // of these, the ones that wait for a place
	config         Configuration
	rules          *place.Rules
	ledger         *place.Ledger
	batch          batch
	capacityClaims map[model.JobID]capacityClaim // room that evictions make for urgent jobs

	loaded         bool // the job rows were read completely at this epoch
	scanning       bool
	scannedThrough storage.Revision
	planNeeded     bool                // something changed that a plan may use
	finishedCounts map[model.Phase]int // jobs that are over
	// evictions counts by team and class since the cell was claimed.
	evictions map[evictionKey]int

	interference *interfere.Controller

	scanAt, sweepAt, renewAt, planAt, throttleAt time.Duration
}

// NewCore returns the core of a controller that watches its cell.
func NewCore(opts Options) *Core {
	c := &Core{opts: opts, peers: map[model.WorkerID]*peer{}, cell: cellState{deadline: lease.OwnerExpiry}}
	c.rules, _ = place.CompileRules(nil)
	c.interference = interfere.New(interfere.Options{})
	c.resetJobs()
	return c
}

// reset drops what is known of jobs.
func (c *Core) resetJobs() {
	c.jobs, c.pending, c.finishedCounts = map[model.JobID]*job{}, map[model.JobID]*job{}, map[model.Phase]int{}
	c.evictions = map[evictionKey]int{}
	c.ledger = place.NewLedger()
	c.capacityClaims = map[model.JobID]capacityClaim{}
	c.loaded, c.scannedThrough, c.planNeeded = false, 0, false
	c.batch.reset()
	for _, p := range c.sortedPeers() {
		p.resetClaim()
		c.setWorker(p)
	}
}

// Step handles an event at now, after every timer that was due. The effects
// are to be carried out in order and are valid until the next step.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.now, c.effects = now, nil
	if _, paused := e.(Paused); paused {
		c.onPaused()
	}
	c.runTimers()
	switch e := e.(type) {
	case PeerUp:
		c.onPeerUp(e)
	case PeerDown:
		c.onPeerDown(e.Worker)
	case Received:
		c.receive(e.Worker, e.Msg)
	case Configured:
		c.configure(e.Config)
	case EvictRequested:
		c.evict(e.Job, e.Reason)
	case ScanRequested:
		if c.isOwner() {
			c.scan()
		}
	default:
		c.onStore(e)
	}
	c.startWork()
	return c.effects
}

func (c *Core) onStore(e Event) {
	switch e := e.(type) {
	case Observed:
		c.onObserved(e)
	case Claimed:
		c.onClaimed(e)
	case HeartbeatWritten:
		c.onHeartbeatWritten(e)
	case Scanned:
		c.onScanned(e)
	case Committed:
		c.onCommitted(e)
	case Rejected:
		c.onRejected(e)
	}
}

// Next returns when the next timer is due. It is later than the last step: a
// timer whose work waits for an answer is left out until the answer came.
func (c *Core) Next() time.Duration {
	next := c.now + maxSleep
	due := func(at time.Duration, armed bool) {
		if armed {
			next = min(next, at)
		}
	}
	due(c.cell.deadline, c.cell.deadline > 0)
	due(c.cell.observeAt, c.cell.state == stWatching && !c.cell.observing)
	if !c.isOwner() {
		return next
	}
	due(c.cell.heartbeatAt, !c.cell.writingHeartbeat)
	due(c.scanAt, !c.scanning)
	due(c.sweepAt, true)
	due(c.renewAt, true)
	due(c.planAt, c.mayPlan())
	return next
}

// mayPlan reports whether a round would place something if it were due.
func (c *Core) mayPlan() bool {
	return c.cell.state == stOwning && c.loaded && c.planNeeded && !c.batch.full()
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(e event.Event, fields map[string]any) {
	fields["cell"] = c.opts.Cell
	c.emit(Log{e, fields})
}

// incumbent reports whether this entry acts as the owner of the cell.
func (c *Core) isOwner() bool { return c.cell.state == stOwning || c.cell.state == stHolding }

func (c *Core) runTimers() {
	c.cellTimers()
	if !c.isOwner() {
		return
	}
	if c.scanAt <= c.now {
		c.scan()
	}
	if c.sweepAt <= c.now {
		c.sweepAt = c.now + sweepInterval
		c.sweep()
	}
	if c.renewAt <= c.now {
		c.renewAt = c.now + lease.RenewInterval
		for _, p := range c.sortedPeers() {
			c.renew(p)
		}
	}
}

// work starts what the step made possible.
func (c *Core) startWork() {
	if c.mayPlan() && c.planAt <= c.now {
		c.planAt = c.now + planInterval
		c.plan()
	}
	c.flush()
}

// sweep runs the timeouts of peers and attempts and gives up the attempts
// whose lease has certainly expired.
func (c *Core) sweep() {
	c.tickHealth()
	c.throttle()
	c.drain()
	for _, p := range c.sortedPeers() {
		if p.deadline > 0 && p.deadline <= c.now {
			c.stepPeer(p, evRetry)
		}
		if p.state == stUnlinked && p.chargedAttempts == 0 && c.now-p.unlinkedAt > peerRetention {
			delete(c.peers, p.worker.ID)
			c.ledger.RemoveWorker(p.worker.ID)
		}
	}
	expired := func(j *job) bool {
		return c.peers[j.attempt.worker].grants.Until(j.row.Spec.LongRunning) <= c.now
	}
	due := func(j *job) bool {
		a := &j.attempt
		return a.live && (a.deadline > 0 && a.deadline <= c.now || expired(j))
	}
	for _, j := range selectJobs(c.jobs, due) {
		if expired(j) {
			c.stepAttempt(j, evExpire)
		} else {
			c.stepAttempt(j, evAttemptTimeout)
		}
	}
}

func (c *Core) scan() {
	if c.scanning {
		return
	}
	c.scanAt = c.now + scanInterval
	c.scanning = true
	c.emit(Scan{Fence: c.cell.epochVersion, After: c.scannedThrough})
}

func (c *Core) onScanned(e Scanned) {
	c.scanning = false
	switch {
	case !c.isOwner():
		return
	case e.Fence != c.cell.epochVersion:
		c.scan() // the rows were read before we claimed the cell
		return
	case e.Err != nil:
		c.scanAt = c.now + time.Second
		return
	}
	for _, r := range e.Rows {
		c.onRow(r)
	}
	c.scannedThrough = e.Through
	if !c.loaded {
		c.loaded = true
		c.planNeeded = true
		for _, p := range c.sortedPeers() {
			c.stepPeer(p, evOwnershipConfirmed)
		}
	}
}

func (c *Core) heartbeatRow() rows.CellHeartbeat {
	return rows.CellHeartbeat{Owner: c.opts.Entry, Boot: c.opts.Boot, Counter: c.cell.counter}
}
