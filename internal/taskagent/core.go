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
	workerTTL   = lease.WorkerTTL
	renewEvery  = lease.RenewInterval
	listEvery   = time.Second      // bounds how late the end of a task is noticed
	usageEvery  = 10 * time.Second // the platform's usage lags by at least that much
	maxAttempts = 65536            // attempts remembered, kept ones included
)

// Core decides for the task attempts of one host. It is stepped with events
// and returns effects; it does no input or output and has no goroutine.
type Core struct {
	worker   model.Worker
	cell     model.Cell
	now      time.Duration
	epoch    model.Epoch
	owner    model.EntryID // whose commands carried the epoch
	lease    lease.Holder
	attempts map[model.AttemptID]*attempt
	links    map[model.EntryID]bool
	machine  *chart.Machine[attempt]
	effects  []Effect

	// confirmBy is set after a pause: until then tasks wait for a renewal that
	// confirms the lease before they are stopped.
	confirmBy time.Duration
	listing   bool // a list call is under way
	adopted   bool // the first list of this incarnation has arrived
	listAt    time.Duration
	renewAt   time.Duration
	usageAt   time.Duration
	listFrom  time.Duration // when the list call under way was made
}

// NewCore returns the core of the agent of a worker in a cell.
func NewCore(worker model.Worker, cell model.Cell) *Core {
	return &Core{
		worker: worker, cell: cell, machine: attemptChart,
		attempts: map[model.AttemptID]*attempt{}, links: map[model.EntryID]bool{},
	}
}

// Step handles an event at now, after every timer that was due. The effects
// are to be carried out in order and are valid until the next step.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.now, c.effects = now, nil
	if _, paused := e.(Paused); paused {
		c.onPaused()
	}
	c.timers()
	switch e := e.(type) {
	case LinkUp:
		c.links[e.Entry] = true
		c.sendInventory(e.Entry)
	case LinkDown:
		delete(c.links, e.Entry)
	case Received:
		c.receive(e.Entry, e.Msg)
	case CallResult:
		c.onAnswer(e)
	case ListResult:
		c.onListed(e)
	}
	return c.effects
}

// NextTick returns when the next timer is due.
func (c *Core) NextTick() time.Duration {
	next := min(c.listAt, c.renewAt, c.usageAt)
	for _, h := range c.attempts {
		if h.deadline > 0 {
			next = min(next, h.deadline)
		}
		if h.state == stRunning {
			next = min(next, h.expiresAt(c))
		}
	}
	return next
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// step feeds an event to the chart of an attempt and arms its timeout.
func (c *Core) step(h *attempt, e chart.Event) bool {
	h.core = c
	before := h.state
	if !c.machine.Step(h, &h.state, e) {
		return false
	}
	if h.state != before {
		h.changedAt = c.now
	}
	if h.state != before || e == evRetry {
		h.deadline = 0
		if d, _, ok := c.machine.Timeout(h.state); ok {
			h.deadline = c.now + d
		}
	}
	if c.machine.Final(h.state) {
		delete(c.attempts, h.id)
	}
	return true
}

// sorted returns the attempts in a fixed order, so that effects are
// reproducible.
func (c *Core) sorted() []*attempt {
	list := make([]*attempt, 0, len(c.attempts))
	for _, h := range c.attempts {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].id, list[j].id
		return a.Job < b.Job || a.Job == b.Job && a.Number < b.Number
	})
	return list
}

func (c *Core) timers() {
	c.expireLeases()
	for _, h := range c.sorted() {
		if h.deadline > 0 && h.deadline <= c.now {
			c.step(h, evRetry)
		}
	}
	if c.renewAt <= c.now {
		c.renewAt = c.now + renewEvery
		for _, h := range c.sorted() {
			c.step(h, evRenew)
		}
	}
	if c.listAt <= c.now {
		c.listAt = c.now + listEvery
		c.list()
	}
	if c.usageAt <= c.now {
		c.usageAt = c.now + usageEvery
		c.reportUsage()
	}
}

func (c *Core) list() {
	if c.listing || c.adopted && len(c.attempts) == 0 {
		return
	}
	c.listing, c.listFrom = true, c.now
	c.emit(CallList{})
}

func (c *Core) expireLeases() {
	expired := 0
	for _, h := range c.sorted() {
		if h.state == stRunning && h.expiresAt(c) <= c.now {
			c.step(h, evExpire)
			expired++
		}
	}
	if expired > 0 {
		c.emit(Log{event.TaskLeaseExpired, map[string]any{"attempts": expired, "epoch": uint64(c.epoch)}})
	}
}

// onPaused makes the lease count as expired: nothing is started and no
// worker's lease is renewed until the controller confirms it. An unconfirmed
// attempt is stopped after the worker's own lease has ended anyway.
func (c *Core) onPaused() {
	if len(c.attempts) > 0 {
		c.emit(Log{event.TaskAgentPaused, map[string]any{"attempts": len(c.attempts)}})
	}
	if c.lease.Valid(c.now, false) || c.lease.Valid(c.now, true) {
		c.confirmBy = c.now + workerTTL
	}
	c.lease.Invalidate()
	c.sendInventory(c.owner)
}

// sendInventory lists the attempts to an entry. Before the worker's first list
// the inventory is not known, and an empty one would be taken for a loss.
func (c *Core) sendInventory(to model.EntryID) {
	if c.adopted && c.links[to] {
		c.emit(Send{to, c.inventory()})
	}
}

// send addresses the owner of the cell, if there is a link to it.
func (c *Core) send(m msg.Control) {
	if c.links[c.owner] {
		c.emit(Send{c.owner, m})
	}
}
