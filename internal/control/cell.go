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
type cellState struct {
	state                 chart.State
	deadline              time.Duration // of the state's timeout; 0 when it has none
	owner                 rows.CellEpoch
	epochVersion          storage.Revision
	heartbeatVersion      storage.Revision
	unchangedObservations int // observations since the last change or outage
	observing             bool
	observeAt             time.Duration
	writingHeartbeat      bool
	heartbeatAt           time.Duration
	counter               uint64
	claimSentAt           time.Duration
	lastHeartbeatAt       time.Duration // when the last successful heartbeat was sent

	core *Core // set during a step
}

// CellBinding binds charts/cell.scxml. It is exported for the checks that
// explore the chart.
func CellBinding() chart.Binding[cellState] {
	return chart.Binding[cellState]{
		Chart:  "cell",
		States: []string{"watching", "claiming", "owning", "holding"},
		Events: []string{"changed", "vacant", "heartbeatExpired", "claimed", "fenced", "heartbeatWritten"},
		Guards: map[string]func(*cellState) bool{
			"ownerSilent": func(cell *cellState) bool { return cell.unchangedObservations >= minUnchangedObservations },
		},
		Actions: map[string]func(*cellState){
			"claim": func(cell *cellState) { cell.core.claimCell() },
			"load":  func(cell *cellState) { cell.core.loadCell() },
			"hold": func(cell *cellState) {
				cell.core.log(event.CellHolding, map[string]any{"epoch": uint64(cell.owner.Epoch)})
			},
			"resume":        func(cell *cellState) { cell.core.resumeOwnership() },
			"dropOwnership": func(cell *cellState) { cell.core.dropOwnership() },
		},
		Delays: map[string]time.Duration{
			"ownerExpiry": lease.OwnerExpiry, "holdAfter": lease.StopPlacingAfter, "holdBound": lease.LongRenewalLimit,
		},
	}
}

// stepCell feeds an event to the chart. The timeouts of an owner count from
// the sending of its last successful heartbeat.
func (c *Core) stepCell(e chart.Event) bool {
	cell := &c.cell
	cell.core = c
	if !cellChart.Step(cell, &cell.state, e) {
		return false
	}
	from := c.now
	if c.isOwner() {
		from = cell.lastHeartbeatAt
	}
	cell.deadline = 0
	if d, _, ok := cellChart.Timeout(cell.state); ok {
		cell.deadline = from + d
	}
	return true
}

func (c *Core) cellTimers() {
	cell := &c.cell
	// Twice at most: an owner that was paused for long passes through holding.
	for range 2 {
		if cell.deadline > 0 && cell.deadline <= c.now {
			c.stepCell(evHeartbeatExpired)
		}
	}
	switch {
	case cell.state == stWatching && !cell.observing && cell.observeAt <= c.now:
		cell.observing = true
		cell.observeAt = c.now + observeInterval
		c.emit(Observe{})
	case c.isOwner() && !cell.writingHeartbeat && cell.heartbeatAt <= c.now:
		cell.writingHeartbeat = true
		cell.counter++
		cell.heartbeatAt = c.now + lease.HeartbeatInterval
		c.emit(WriteHeartbeat{Heartbeat: c.heartbeatRow(), Fence: cell.epochVersion, Sent: c.now})
	}
}

func (c *Core) onObserved(e Observed) {
	cell := &c.cell
	cell.observing = false
	if cell.state != stWatching {
		return
	}
	changed := e.EpochVersion != cell.epochVersion || e.HeartbeatVersion != cell.heartbeatVersion
	switch {
	case e.Err != nil:
		cell.unchangedObservations = 0
		return
	case !changed:
		cell.unchangedObservations++
	}
	cell.owner, cell.epochVersion, cell.heartbeatVersion = e.Epoch, e.EpochVersion, e.HeartbeatVersion
	if e.EpochVersion == 0 {
		c.stepCell(evVacant)
	} else if changed {
		cell.unchangedObservations = 0
		c.stepCell(evChanged)
	}
}

func (c *Core) claimCell() {
	cell := &c.cell
	cell.claimSentAt = c.now
	cell.owner = rows.CellEpoch{Epoch: cell.owner.Epoch + 1, Owner: c.opts.Entry, Boot: c.opts.Boot, Address: c.opts.Address}
	c.emit(Claim{Epoch: cell.owner, Version: cell.epochVersion})
}

func (c *Core) onClaimed(e Claimed) {
	cell := &c.cell
	if !e.Won {
		cell.unchangedObservations = 0
		c.stepCell(evFenced)
		return
	}
	cell.epochVersion, cell.lastHeartbeatAt = e.Version, cell.claimSentAt
	cell.heartbeatAt = c.now
	c.stepCell(evClaimed)
	c.cellTimers() // holds at once if the answer came late
}

// load starts with the rows of the predecessor.
func (c *Core) loadCell() {
	c.log(event.CellClaimed, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.resetJobs()
	c.sweepAt, c.renewAt, c.scanAt = c.now+sweepInterval, c.now, c.now
	c.scan()
}

func (c *Core) onHeartbeatWritten(e HeartbeatWritten) {
	cell := &c.cell
	cell.writingHeartbeat = false
	switch {
	case !c.isOwner():
	case e.Fence != cell.epochVersion: // of an earlier ownership
	case e.Fenced:
		c.stepCell(evFenced)
	case e.OK:
		cell.lastHeartbeatAt = max(cell.lastHeartbeatAt, e.Sent)
		// An answer that took longer than the timeout proves nothing about now.
		if c.now-e.Sent < lease.StopPlacingAfter {
			c.stepCell(evHeartbeatWritten)
		}
	}
}

// resume reports what changed while the owner could not place.
func (c *Core) resumeOwnership() {
	c.log(event.CellResumed, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.planNeeded = true
	for _, p := range c.sortedPeers() {
		c.stepPeer(p, evOwnershipConfirmed)
	}
}

// forget drops what only the owner may use.
func (c *Core) dropOwnership() {
	c.log(event.CellLost, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.cell.unchangedObservations = 0
	c.cell.observeAt = c.now
	for _, p := range c.sortedPeers() {
		c.stepPeer(p, evOwnershipLost)
		if p.state == stUnlinked {
			delete(c.peers, p.worker.ID)
		}
	}
	c.resetJobs()
}

// onPaused makes the ownership count as lapsed until a heartbeat is written.
func (c *Core) onPaused() {
	c.cell.unchangedObservations = 0
	if c.cell.state != stOwning {
		return
	}
	c.log(event.ControlPaused, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.stepCell(evHeartbeatExpired)
	c.cell.heartbeatAt = c.now
}

// ttl is the length of a renewal for a kind of work: none after its hold bound.
func (c *Core) leaseTTL(long bool) time.Duration {
	if c.now-c.cell.lastHeartbeatAt >= lease.RenewalLimitOf(long) {
		return 0
	}
	return lease.TTL
}

// Epoch returns the highest epoch known of the cell, and whether this entry
// acts as its owner.
func (c *Core) Epoch() (epoch model.Epoch, owner bool) { return c.cell.owner.Epoch, c.isOwner() }
