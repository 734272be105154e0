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
	scanInterval    = 250 * time.Millisecond // lets urgent work start within 1.4 s
	sweepInterval   = 500 * time.Millisecond // resolution of the timeouts of attempts
	maxSleep        = time.Second            // bounds the time until a pause of the process is noticed
	planInterval    = 20 * time.Millisecond  // bounds the rate of the writer's transactions
)

// Options describe a controller. Start sets Planner and Health when they are
// nil; the core has exclusive use of both.
type Options struct {
	Cell    model.Cell
	Entry   model.EntryID
	Boot    model.Boot
	Address string // where agents reach the entry
	Planner Planner
	Health  *health.Tracker // nil: a core trusts every worker
}

// Planner decides where waiting jobs run. place.Planner implements it.
type Planner interface {
	Plan(s place.Snapshot) place.Plan
	Explain(s place.Snapshot, job model.JobID) []place.Explanation
}

// Core makes the decisions for one cell that an entry contends for or owns.
// Step feeds it an event and returns the effects; it does no input or output
// and starts no goroutine.
type Core struct {
	opts           Options
	now            time.Duration
	effects        []Effect
	cell           cellState
	peers          map[model.WorkerID]*peer
	jobs           map[model.JobID]*job // that have not ended
	pending        map[model.JobID]*job // the subset in the phase pending
	config         Configuration
	rules          *place.Rules
	ledger         *place.Ledger
	batch          batch
	capacityClaims map[model.JobID]capacityClaim // capacity that evictions free for urgent jobs

	loaded         bool                // all job rows were read since the cell was claimed
	scanning       bool                // a Scan is unanswered
	scannedThrough storage.Revision    // newest revision that a scan covered
	planNeeded     bool                // something changed that may let a waiting job be placed
	finishedCounts map[model.Phase]int // ended jobs by their final phase
	// evictions counts the evictions since the cell was claimed.
	evictions map[evictionKey]int

	interference *interfere.Controller

	// Times at which the timers are due.
	scanAt, sweepAt, renewAt, planAt, throttleAt time.Duration
}

// NewCore returns the core of a controller. It starts by watching the owner of
// the cell.
func NewCore(opts Options) *Core {
	c := &Core{opts: opts, peers: map[model.WorkerID]*peer{}, cell: cellState{deadline: lease.OwnerExpiry}}
	c.rules, _ = place.CompileRules(nil)
	c.interference = interfere.New(interfere.Options{})
	c.resetJobs()
	return c
}

// resetJobs drops the state of all jobs and the claims on agents.
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

// Step runs the timers that are due at now and then handles the event. The
// caller carries out the effects in order; they are valid until the next step.
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

// NextTick returns the time at which the next timer is due. A timer whose work
// waits for an answer does not count, so the time is later than the last step.
func (c *Core) NextTick() time.Duration {
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

// mayPlan reports whether a plan may place jobs, once planAt is reached.
func (c *Core) mayPlan() bool {
	return c.cell.state == stOwning && c.loaded && c.planNeeded && !c.batch.full()
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(e event.Event, fields map[string]any) {
	fields["cell"] = c.opts.Cell
	c.emit(Log{e, fields})
}

// isOwner reports whether this entry acts as the owner of the cell: it owns
// the cell, or it holds until its next heartbeat is written.
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

// startWork makes a plan if one is due and starts the next transaction.
func (c *Core) startWork() {
	if c.mayPlan() && c.planAt <= c.now {
		c.planAt = c.now + planInterval
		c.plan()
	}
	c.flush()
}

// sweep does the periodic work of an owner: it runs the timeouts of the health
// tracker, of peers and of attempts, throttles tasks, drains workers, abandons
// the attempts whose lease has certainly expired, and removes peers that have
// been unlinked for peerRetention.
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
		c.scan() // the rows were read before this entry claimed the cell
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
