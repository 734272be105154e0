package control

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// States of charts/cell.scxml.
const (
	stWatching chart.State = iota
	stClaiming
	stOwning
	stHolding
)

// Events of charts/cell.scxml.
const (
	evChanged chart.Event = iota
	evVacant
	evHeartbeatExpired
	evClaimed
	evFenced
	evHeartbeatWritten
)

// witnesses is the number of unchanged observations, one second apart, that a
// claim needs: an outage of the table must not look like a silent owner.
const minUnchangedObservations = 5

// cell is the state of the ownership of a cell.
type cell struct {
	state        chart.State
	deadline     time.Duration // of the state's timeout; 0 when it has none
	owner        rows.CellEpoch
	epochVersion storage.Revision
	beatVersion  storage.Revision
	unchanged    int // observations since the last change or outage
	observing    bool
	observeAt    time.Duration
	beating      bool
	beatAt       time.Duration
	counter      uint64
	claimSent    time.Duration
	lastBeat     time.Duration // when the last successful heartbeat was sent

	core *Core // set during a step
}

// CellBinding binds charts/cell.scxml. It is exported for the checks that
// explore the chart.
func CellBinding() chart.Binding[cell] {
	return chart.Binding[cell]{
		Chart:  "cell",
		States: []string{"watching", "claiming", "owning", "holding"},
		Events: []string{"changed", "vacant", "heartbeatExpired", "claimed", "fenced", "heartbeatWritten"},
		Guards: map[string]func(*cell) bool{
			"ownerSilent": func(l *cell) bool { return l.unchanged >= minUnchangedObservations },
		},
		Actions: map[string]func(*cell){
			"claim":         func(l *cell) { l.core.claim() },
			"load":          func(l *cell) { l.core.load() },
			"hold":          func(l *cell) { l.core.log(event.CellHolding, map[string]any{"epoch": uint64(l.owner.Epoch)}) },
			"resume":        func(l *cell) { l.core.resume() },
			"dropOwnership": func(l *cell) { l.core.dropOwnership() },
		},
		Delays: map[string]time.Duration{
			"ownerExpiry": lease.OwnerExpiry, "holdAfter": lease.StopPlacingAfter, "holdBound": lease.LongRenewalLimit,
		},
	}
}

// stepCell feeds an event to the chart. The timeouts of an owner count from
// the sending of its last successful heartbeat.
func (c *Core) stepCell(e chart.Event) bool {
	l := &c.cell
	l.core = c
	if !cellChart.Step(l, &l.state, e) {
		return false
	}
	from := c.now
	if c.incumbent() {
		from = l.lastBeat
	}
	l.deadline = 0
	if d, _, ok := cellChart.Timeout(l.state); ok {
		l.deadline = from + d
	}
	return true
}

func (c *Core) cellTimers() {
	l := &c.cell
	// Twice at most: an owner that was paused for long passes through holding.
	for range 2 {
		if l.deadline > 0 && l.deadline <= c.now {
			c.stepCell(evHeartbeatExpired)
		}
	}
	switch {
	case l.state == stWatching && !l.observing && l.observeAt <= c.now:
		l.observing = true
		l.observeAt = c.now + observeEvery
		c.emit(Observe{})
	case c.incumbent() && !l.beating && l.beatAt <= c.now:
		l.beating = true
		l.counter++
		l.beatAt = c.now + lease.HeartbeatInterval
		c.emit(WriteHeartbeat{Heartbeat: c.beatRow(), Fence: l.epochVersion, Sent: c.now})
	}
}

func (c *Core) onObserved(e Observed) {
	l := &c.cell
	l.observing = false
	if l.state != stWatching {
		return
	}
	changed := e.EpochVersion != l.epochVersion || e.HeartbeatVersion != l.beatVersion
	switch {
	case e.Err != nil:
		l.unchanged = 0
		return
	case !changed:
		l.unchanged++
	}
	l.owner, l.epochVersion, l.beatVersion = e.Epoch, e.EpochVersion, e.HeartbeatVersion
	if e.EpochVersion == 0 {
		c.stepCell(evVacant)
	} else if changed {
		l.unchanged = 0
		c.stepCell(evChanged)
	}
}

func (c *Core) claim() {
	l := &c.cell
	l.claimSent = c.now
	l.owner = rows.CellEpoch{Epoch: l.owner.Epoch + 1, Owner: c.opts.Entry, Boot: c.opts.Boot, Address: c.opts.Address}
	c.emit(Claim{Epoch: l.owner, Version: l.epochVersion})
}

func (c *Core) onClaimed(e Claimed) {
	l := &c.cell
	if !e.Won {
		l.unchanged = 0
		c.stepCell(evFenced)
		return
	}
	l.epochVersion, l.lastBeat = e.Version, l.claimSent
	l.beatAt = c.now
	c.stepCell(evClaimed)
	c.cellTimers() // holds at once if the answer came late
}

// load starts with the rows of the predecessor.
func (c *Core) load() {
	c.log(event.CellClaimed, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.reset()
	c.sweepAt, c.renewAt, c.scanAt = c.now+sweepEvery, c.now, c.now
	c.scan()
}

func (c *Core) onBeaten(e HeartbeatWritten) {
	l := &c.cell
	l.beating = false
	switch {
	case !c.incumbent():
	case e.Fence != l.epochVersion: // of an earlier ownership
	case e.Fenced:
		c.stepCell(evFenced)
	case e.OK:
		l.lastBeat = max(l.lastBeat, e.Sent)
		// An answer that took longer than the timeout proves nothing about now.
		if c.now-e.Sent < lease.StopPlacingAfter {
			c.stepCell(evHeartbeatWritten)
		}
	}
}

// resume reports what changed while the owner could not place.
func (c *Core) resume() {
	c.log(event.CellResumed, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.planning = true
	for _, p := range c.sortedPeers() {
		c.stepPeer(p, evOwnershipConfirmed)
	}
}

// forget drops what only the owner may use.
func (c *Core) dropOwnership() {
	c.log(event.CellLost, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.cell.unchanged = 0
	c.cell.observeAt = c.now
	for _, p := range c.sortedPeers() {
		c.stepPeer(p, evOwnershipLost)
		if p.state == stUnlinked {
			delete(c.peers, p.worker.ID)
		}
	}
	c.reset()
}

// onPaused makes the ownership count as lapsed until a heartbeat is written.
func (c *Core) onPaused() {
	c.cell.unchanged = 0
	if c.cell.state != stOwning {
		return
	}
	c.log(event.ControlPaused, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.stepCell(evHeartbeatExpired)
	c.cell.beatAt = c.now
}

// ttl is the length of a renewal for a kind of work: none after its hold bound.
func (c *Core) ttl(long bool) time.Duration {
	if c.now-c.cell.lastBeat >= lease.RenewalLimitOf(long) {
		return 0
	}
	return lease.TTL
}

// Epoch returns the highest epoch known of the cell, and whether this entry
// acts as its owner.
func (c *Core) Epoch() (epoch model.Epoch, owner bool) { return c.cell.owner.Epoch, c.incumbent() }
