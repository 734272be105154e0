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

// minUnchangedObservations is the number of unchanged observations, one second
// apart, before an entry claims a cell that has an owner. Without it, an outage
// of the table service would look like a silent owner.
const minUnchangedObservations = 5

// cellState is the state of the ownership of a cell.
type cellState struct {
	state                 chart.State
	deadline              time.Duration    // of the state's timeout; 0 when it has none
	owner                 rows.CellEpoch   // newest known epoch row
	epochVersion          storage.Revision // 0: no epoch row is known
	heartbeatVersion      storage.Revision // as last observed
	unchangedObservations int              // since the last change or outage
	observing             bool             // an Observe is unanswered
	observeAt             time.Duration
	writingHeartbeat      bool // a WriteHeartbeat is unanswered
	heartbeatAt           time.Duration
	counter               uint64 // of the newest heartbeat
	claimSentAt           time.Duration
	lastHeartbeatAt       time.Duration // when the last successful heartbeat was sent

	core *Core // set during a step
}

// CellBinding binds charts/cell.scxml to its guards, actions and timeouts.
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

// stepCell feeds an event to the chart and reports whether the chart has a
// transition for it. The timeouts of an owner count from the time at which its
// last successful heartbeat was sent.
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

// cellTimers handles the timeout of the cell's state and starts the next
// observation or heartbeat when it is due.
func (c *Core) cellTimers() {
	cell := &c.cell
	// Two timeouts can be due: after a long pause an owner passes through
	// holding to watching.
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

// claimCell requests the next epoch of the cell for this entry.
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
	c.cellTimers() // starts to hold at once if the answer came late
}

// loadCell starts the ownership: it reads the job rows of the earlier owner.
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
	case e.Fence != cell.epochVersion: // the heartbeat was of an earlier ownership
	case e.Fenced:
		c.stepCell(evFenced)
	case e.OK:
		cell.lastHeartbeatAt = max(cell.lastHeartbeatAt, e.Sent)
		// An answer that took longer than the timeout does not show that the
		// heartbeat can be written now.
		if c.now-e.Sent < lease.StopPlacingAfter {
			c.stepCell(evHeartbeatWritten)
		}
	}
}

// resumeOwnership lets the owner place jobs and claim agents again, now that
// its heartbeat is written.
func (c *Core) resumeOwnership() {
	c.log(event.CellResumed, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.planNeeded = true
	for _, p := range c.sortedPeers() {
		c.stepPeer(p, evOwnershipConfirmed)
	}
}

// dropOwnership drops the state that only the owner may use.
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

// onPaused makes an owner hold until its heartbeat is written, since another
// entry may have claimed the cell during the pause of the process.
func (c *Core) onPaused() {
	c.cell.unchangedObservations = 0
	if c.cell.state != stOwning {
		return
	}
	c.log(event.ControlPaused, map[string]any{"epoch": uint64(c.cell.owner.Epoch)})
	c.stepCell(evHeartbeatExpired)
	c.cell.heartbeatAt = c.now
}

// leaseTTL returns the length of a lease renewal for long-running or other
// work. It is 0 once the renewal limit of that kind of work has passed.
func (c *Core) leaseTTL(long bool) time.Duration {
	if c.now-c.cell.lastHeartbeatAt >= lease.RenewalLimitOf(long) {
		return 0
	}
	return lease.TTL
}

// Epoch returns the highest epoch known of the cell, and whether this entry
// acts as its owner.
func (c *Core) Epoch() (epoch model.Epoch, owner bool) { return c.cell.owner.Epoch, c.isOwner() }
