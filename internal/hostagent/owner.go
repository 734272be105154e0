package hostagent

import (
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Received applies a message from an entry.
func (c *Core) Received(from LinkID, m msg.Control) {
	switch m := m.(type) {
	case *msg.OwnerClaim:
		c.claimed(from, m)
	case *msg.InventoryAccepted:
		if c.owns(from, m.Epoch) {
			c.applyInventoryAccepted(m)
		}
	case *msg.StartRuns:
		c.startRuns(from, m)
	case *msg.StopRuns:
		if c.owns(from, m.Epoch) {
			c.stopRuns(m)
		}
	case *msg.LeaseGrant:
		if c.owns(from, m.Epoch) && m.StartedAtMS == c.host.StartedAtMS {
			c.ownerAnswerDue = 0
			c.extendLease(m.ClockMS)
			c.throttler.setCoefficients(m.Interference)
		}
	case *msg.EndsAcknowledged:
		if m.Instance == c.host.Instance && m.StartedAtMS == c.host.StartedAtMS {
			c.endsAcknowledged(m.LastNumber)
		}
	}
}

// EpochObserved applies the epoch in an entry's hello or claim. A higher epoch
// replaces the present owner.
func (c *Core) EpochObserved(epoch uint64) {
	if epoch > c.epoch {
		c.leaveOwner("an owner of a higher epoch is known")
		c.epoch = epoch
	}
}

// Linked records the name of the entry at a new link.
func (c *Core) Linked(link LinkID, entry string) { c.entries[link] = entry }

// Unlinked records that a link has ended.
func (c *Core) Unlinked(link LinkID) {
	if link == c.owner {
		c.leaveOwner("its link has ended")
	}
	delete(c.entries, link)
}

// leaveOwner ends the relation to the present owner, if there is one.
func (c *Core) leaveOwner(reason string) {
	if c.owner != 0 {
		c.addDecision(Decision{Kind: OwnerLeft, Entry: c.entries[c.owner], Detail: reason, LeaseLeft: c.leaseLeft(), Runs: len(c.runs)})
	}
	c.owner = 0
	c.discardInventory()
}

// discardInventory makes the next call of sendInventory send a new inventory.
func (c *Core) discardInventory() {
	c.inventorySent, c.inventoryAccepted, c.ownerAnswerDue = false, false, 0
}

// awaitOwner expects an answer of the owner, unless one is awaited already.
func (c *Core) awaitOwner() {
	if c.ownerAnswerDue == 0 {
		c.ownerAnswerDue = c.now + ownerAnswerTimeout
	}
}

// repeatInventory sends the inventory again if an answer of the owner is overdue. The
// answer may be lost, or the owner ignores the reports because it has the state of
// another incarnation.
func (c *Core) repeatInventory() {
	if c.ownerAnswerDue != 0 && c.now >= c.ownerAnswerDue {
		c.flushChanges()
		c.discardInventory()
		c.sendInventory()
	}
}

// owns reports whether a message comes from the present owner, and logs it if
// not.
func (c *Core) owns(from LinkID, epoch uint64) bool {
	if epoch == c.epoch && from == c.owner {
		return true
	}
	reason := "it has not claimed the host on this link"
	switch {
	case epoch < c.epoch:
		reason = reasonHigherEpoch
	case epoch > c.epoch:
		reason = "its epoch was not claimed"
	}
	c.refuseOwner(from, epoch, reason)
	return false
}

const reasonHigherEpoch = "a higher epoch is known"

func (c *Core) refuseOwner(from LinkID, epoch uint64, reason string) {
	c.addDecision(Decision{Kind: OwnerRefused, Entry: c.entries[from], SenderEpoch: epoch, Detail: reason})
}

// claimed applies a claim. Its sender becomes the owner unless a higher epoch has
// been observed.
func (c *Core) claimed(from LinkID, m *msg.OwnerClaim) {
	if m.Owner != "" {
		c.EpochObserved(m.Epoch) // sent by an entry that is not the owner itself
		return
	}
	if m.Epoch < c.epoch {
		c.refuseOwner(from, m.Epoch, reasonHigherEpoch)
		return
	}
	c.EpochObserved(m.Epoch)
	c.owner = from
	c.discardInventory()
	c.addDecision(Decision{Kind: OwnerAdopted, Entry: c.entries[from], LeaseLeft: c.leaseLeft(), Runs: len(c.runs)})
	c.sendInventory()
}

// sendInventory sends the inventory to the owner if it has not been sent, once
// the backend server has answered a poll or is unavailable.
func (c *Core) sendInventory() {
	known := c.host.Instance != "" && (c.polled || c.host.State == workload.HostUnavailable)
	if c.owner == 0 || c.inventorySent || !known {
		return
	}
	c.inventorySent = true
	c.inventories++
	c.changed = msg.RunsChanged{}
	m := &msg.HostInventory{Epoch: c.epoch, Number: c.inventories, Host: c.host, ClockMS: c.clock.lowerBound(c.now), Ended: append([]msg.RunEnd(nil), c.unacknowledged...),
		MoreEnds: c.incarnation.state == incarnationPresent && !c.allListed}
	for _, r := range c.sorted() {
		m.Runs = append(m.Runs, r.status())
	}
	c.sends = append(c.sends, Send{c.owner, m})
	c.awaitOwner()
}

// applyInventoryAccepted sets the sizes of runs that a former process of the
// agent started, and allows starts if the owner has accepted the newest
// inventory. Starts that the owner sent before it received that inventory are
// refused, because the owner takes runs that the inventory does not list for
// lost and starts their tasks elsewhere. The answer to a former inventory extends no
// lease: it may have the clock of a former incarnation of the backend server.
func (c *Core) applyInventoryAccepted(m *msg.InventoryAccepted) {
	for _, s := range m.Sizes {
		if r, ok := c.runs[s.Run]; ok {
			c.used = c.used.Sub(r.size.Charge).Add(s.Charge)
			r.size = s
		}
	}
	if c.inventorySent && (m.Number == 0 || m.Number == c.inventories) {
		c.inventoryAccepted, c.ownerAnswerDue = true, 0
		c.extendLease(m.ClockMS)
	}
}

func (c *Core) startRuns(from LinkID, m *msg.StartRuns) {
	for _, s := range m.Starts {
		if reason := c.refusalReason(from, m, &s); reason != "" {
			c.addDecision(Decision{Kind: StartRefused, Run: s.Size.Run, Detail: reason, Entry: c.entries[from], SenderEpoch: m.Epoch})
			if from == c.owner {
				c.changed.Refused = append(c.changed.Refused, s.Size.Run)
			}
			continue
		}
		r := c.addRun(s.Size)
		c.addDecision(Decision{Kind: RunSent, Run: r.id, Entry: c.entries[from], LeaseLeft: c.leaseLeft()})
		c.addCall(Call{SendBefore: c.now + maxStartWait, Start: &runner.StartRequest{
			Run: r.id, Specification: s.Specification, Checkpoint: s.Checkpoint, LeaseMS: c.leaseMS(),
		}})
	}
}

// refusalReason returns the reason to refuse a start, or "".
func (c *Core) refusalReason(from LinkID, m *msg.StartRuns, s *msg.RunStart) string {
	_, known := c.runs[s.Size.Run]
	switch {
	case !c.owns(from, m.Epoch):
		return "owner has been replaced"
	case !c.inventoryAccepted:
		return "owner has not accepted the inventory yet"
	case m.Instance != c.host.Instance || m.StartedAtMS != c.host.StartedAtMS:
		return "start is for another incarnation of the backend server"
	case !c.present():
		return "backend server has ended"
	case c.askingSameID():
		return "another incarnation of the backend server may have started"
	case c.host.State != workload.HostReady:
		return "backend server is " + c.host.State.String()
	case known:
		return "run is already on the host"
	case c.leaseMS() == 0:
		return "lease of the owner has expired"
	case !s.Size.Charge.Fits(c.host.Capacity.Sub(c.used)):
		return "charge exceeds the free resources of the host"
	}
	return ""
}

// stopRuns stops runs. It reports runs as refused that are not on the host and
// have no unacknowledged end.
func (c *Core) stopRuns(m *msg.StopRuns) {
	for _, id := range m.Runs {
		if r, ok := c.runs[id]; ok {
			r.step(evStop)
			continue
		}
		if !c.hasEnd(id) {
			c.changed.Refused = append(c.changed.Refused, id)
		}
	}
}

func (c *Core) hasEnd(id workload.RunID) bool {
	for _, e := range c.unacknowledged {
		if e.Run == id {
			return true
		}
	}
	return false
}

func (c *Core) endsAcknowledged(lastNumber uint64) {
	c.acknowledged = max(c.acknowledged, lastNumber)
	keep := c.unacknowledged[:0]
	for _, e := range c.unacknowledged {
		if e.Number > c.acknowledged {
			keep = append(keep, e)
		}
	}
	c.unacknowledged = keep
}

// Answered applies the answer to a call that Calls returned.
func (c *Core) Answered(a Answer) {
	if !c.isPresent(a.Call.Target.Instance, a.Call.startedAtMS) {
		if a.Call.Start != nil && c.incarnation.state == incarnationClosing {
			c.startAnsweredLate(a)
		}
		return
	}
	c.answered(a.ClockMS, a.Err)
	if a.Call.Poll != nil && a.Call.Target.Token == c.settlingPoll {
		c.settlingPoll = 0
	}
	switch {
	case a.Call.Stop != nil:
		if r, ok := c.runs[*a.Call.Stop]; ok {
			r.stopCalled = false
		}
	case a.Call.Start != nil:
		c.startAnswered(a)
	case a.Call.Throttle != nil:
		c.throttleAnswered(a)
	case a.Call.Poll != nil && a.Err == nil:
		c.applyPoll(a.Call.Target, a.Response)
	}
	c.checkCrash(a.Err)
}

func (c *Core) startAnswered(a Answer) {
	r, ok := c.runs[a.Call.Start.Run]
	if !ok {
		return
	}
	r.startAnswerMS = a.ClockMS
	switch {
	case a.Err == nil:
		r.step(evAccepted)
	case errors.Is(a.Err, runner.ErrOutcomeUnknown):
		r.step(evUnanswered)
	case errors.Is(a.Err, runner.ErrFenced):
		r.step(evUnanswered) // answered raised the token; a poll shows whether the run is running
	default:
		c.addDecision(Decision{Kind: RunRefused, Run: r.id, Detail: a.Err.Error()})
		r.step(evRejected)
	}
}
