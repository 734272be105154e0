package taskagent

import (
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
)

const (
	workerTTL     = lease.WorkerTTL
	renewInterval = lease.RenewInterval
	listInterval  = time.Second      // the end of a task is noticed after at most this time
	usageInterval = 10 * time.Second // reported usage is at least this old, so shorter intervals add nothing
	maxAttempts   = 65536            // including ended attempts whose records are kept
)

// Core makes the decisions for the task attempts of one host. Step takes an
// event and returns effects. Core does no input or output, starts no
// goroutine and is used by one goroutine only.
type Core struct {
	worker     model.Worker
	cell       model.Cell
	now        time.Duration
	epoch      model.Epoch
	controller model.EntryID // entry whose command carried the current epoch
	lease      lease.Holder
	attempts   map[model.AttemptID]*attempt
	links      map[model.EntryID]bool
	machine    *chart.Machine[attempt]
	effects    []Effect

	// confirmBy is set after a pause: attempts are not stopped for lack of a
	// lease before this time, so that a renewal can confirm the lease.
	confirmBy    time.Duration
	listInFlight bool
	listReceived bool // since the start of the agent
	nextListAt   time.Duration
	nextRenewAt  time.Duration
	nextUsageAt  time.Duration
	listSentAt   time.Duration // when the most recent list call was made
	answeredAt   time.Duration // when the worker answered last
}

// NewCore returns the core of the agent of a worker in a cell.
func NewCore(worker model.Worker, cell model.Cell) *Core {
	return &Core{
		worker: worker, cell: cell, machine: attemptChart,
		attempts: map[model.AttemptID]*attempt{}, links: map[model.EntryID]bool{},
	}
}

// Step runs the timers that are due at now and then handles the event. The
// caller carries out the effects in order; the slice is valid until the next
// call.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.now, c.effects = now, nil
	if _, paused := e.(Paused); paused {
		c.onPaused()
	}
	c.runTimers()
	switch e := e.(type) {
	case LinkUp:
		c.links[e.Entry] = true
		c.sendInventory(e.Entry)
	case LinkDown:
		delete(c.links, e.Entry)
	case Received:
		c.onMessage(e.Entry, e.Msg)
	case CallResult:
		c.onCallResult(e)
	case ListResult:
		c.onListResult(e)
	}
	return c.effects
}

// NextTick returns when the next timer is due.
func (c *Core) NextTick() time.Duration {
	next := min(c.nextListAt, c.nextRenewAt, c.nextUsageAt)
	for _, a := range c.attempts {
		if a.deadline > 0 {
			next = min(next, a.deadline)
		}
		if a.state == stRunning {
			next = min(next, a.expiresAt(c))
		}
	}
	return next
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// stepAttempt applies an event to the chart of an attempt and sets the deadline
// of its new state. It reports whether the chart has a transition for it.
func (c *Core) stepAttempt(a *attempt, e chart.Event) bool {
	a.core = c
	before := a.state
	if !c.machine.Step(a, &a.state, e) {
		return false
	}
	if a.state != before {
		a.stateChangedAt = c.now
	}
	if a.state != before || e == evRetry {
		a.deadline = 0
		if d, _, ok := c.machine.Timeout(a.state); ok {
			a.deadline = c.now + d
		}
	}
	if c.machine.Final(a.state) {
		delete(c.attempts, a.id)
	}
	return true
}

// sortedAttempts returns the attempts by job and number, so that the order of
// effects is reproducible.
func (c *Core) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(c.attempts))
	for _, a := range c.attempts {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].id, list[j].id
		return a.Job < b.Job || a.Job == b.Job && a.Number < b.Number
	})
	return list
}

func (c *Core) runTimers() {
	c.expireLeases()
	c.loseSilentAttempts()
	for _, a := range c.sortedAttempts() {
		if a.deadline > 0 && a.deadline <= c.now {
			c.stepAttempt(a, evRetry)
		}
	}
	if c.nextRenewAt <= c.now {
		c.nextRenewAt = c.now + renewInterval
		for _, a := range c.sortedAttempts() {
			c.stepAttempt(a, evRenew)
		}
	}
	if c.nextListAt <= c.now {
		c.nextListAt = c.now + listInterval
		c.listTasks()
	}
	if c.nextUsageAt <= c.now {
		c.nextUsageAt = c.now + usageInterval
		c.reportUsage()
	}
}

func (c *Core) listTasks() {
	if c.listInFlight || c.listReceived && len(c.attempts) == 0 {
		return
	}
	c.listInFlight, c.listSentAt = true, c.now
	c.emit(CallList{})
}

func (c *Core) expireLeases() {
	expired := 0
	for _, a := range c.sortedAttempts() {
		if a.state == stRunning && a.expiresAt(c) <= c.now {
			c.stepAttempt(a, evExpire)
			expired++
		}
	}
	if expired > 0 {
		c.emit(Log{event.TaskLeaseExpired, map[string]any{"attempts": expired, "epoch": uint64(c.epoch)}})
	}
}

// onPaused treats the lease as expired, because it may have ended during the
// pause: no attempt is started and no worker's lease is renewed until the
// controller confirms the lease. Without a confirmation the attempts are
// stopped after workerTTL, when the worker's own leases have ended anyway.
func (c *Core) onPaused() {
	if len(c.attempts) > 0 {
		c.emit(Log{event.TaskAgentPaused, map[string]any{"attempts": len(c.attempts)}})
	}
	if c.lease.Valid(c.now, false) || c.lease.Valid(c.now, true) {
		c.confirmBy = c.now + workerTTL
	}
	c.lease.Invalidate()
	c.sendInventory(c.controller)
}

// sendInventory sends the list of attempts to an entry. It sends nothing
// before the first list of the worker: the controller would read an empty
// inventory as the loss of all attempts.
func (c *Core) sendInventory(to model.EntryID) {
	if c.listReceived && c.links[to] {
		c.emit(Send{to, c.inventory()})
	}
}

// send sends a message to the controller of the cell. It is dropped when there
// is no link to it.
func (c *Core) send(m msg.Control) {
	if c.links[c.controller] {
		c.emit(Send{c.controller, m})
	}
}
