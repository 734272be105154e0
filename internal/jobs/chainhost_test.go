package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// chainHost is a host of an ownerChain with its agent and its backend server.
type chainHost struct {
	info     workload.Host
	epoch    uint64
	owner    *chainOwner
	accepted bool
	number   uint64
	leaseEnd time.Duration
	runs     map[workload.RunID]bool
	removed  bool
	ends     []msg.RunEnd // that are not acknowledged
	lastEnd  uint64
	listing  bool // its agent has not listed all ends; see chainpages_test.go
	shown    map[workload.RunID]bool
	ended    func(msg.RunEnd) // is told each end; nil: nobody
}

// chainLink delivers messages in order. Those in transit are lost when it ends.
type chainLink struct {
	ended           bool
	toHost, toOwner time.Duration // when the last message arrives
}

// deliver calls do when a message arrives that is sent now and after the last one.
func (l *chainLink) deliver(s *ownerChain, last *time.Duration, do func()) {
	*last = max(*last, s.now+s.upTo(20*time.Millisecond))
	s.after(*last-s.now, func() {
		if !l.ended {
			do()
		}
	})
}

// disconnect ends the link of an agent. The owner notices it after a delay.
func (o *chainOwner) disconnect(h *chainHost, notice time.Duration) {
	if o.cut[h] {
		return
	}
	o.cut[h], o.links[h].ended = true, true
	if h.owner == o {
		h.owner, h.accepted = nil, false
	}
	o.chain.after(notice, func() {
		if o.cut[h] {
			o.input(func(c *Core) { c.Unlinked(h.info.Name) })
		}
	})
}

func (o *chainOwner) connect(h *chainHost) {
	if !o.cut[h] || h.removed {
		return
	}
	o.cut[h], o.links[h] = false, &chainLink{}
	o.input(func(c *Core) {
		c.Unlinked(h.info.Name)
		if c.ending.named(h.info.Name) {
			o.chain.omitted++
		}
		c.Linked(h.info)
	})
}

// expire ends the runs of the host if its lease has expired.
func (h *chainHost) expire(s *ownerChain) {
	if s.now >= h.leaseEnd {
		clear(h.runs)
		s.leaseExpired(h)
	}
}

// runsUpTo returns the runs that owners up to an epoch have started. A later owner may have
// started others after the leases had ended of which an owner that it replaced learns late.
func (h *chainHost) runsUpTo(epoch uint64) []workload.RunID {
	var list []workload.RunID
	for id := range h.runs {
		if id.Number>>epochShift < epoch {
			list = append(list, id)
		}
	}
	return list
}

// receive applies a message of an owner as an agent does.
func (h *chainHost) receive(o *chainOwner, m msg.Control) {
	s := o.chain
	h.expire(s)
	if claim, ok := m.(*msg.OwnerClaim); ok && !o.cut[h] && claim.Epoch >= h.epoch {
		h.epoch, h.owner, h.accepted = claim.Epoch, o, false
		h.forgetEnds(s)
		h.sendInventory(o)
		return
	}
	if h.owner != o || o.cut[h] {
		return
	}
	switch m := m.(type) {
	case *msg.InventoryAccepted:
		if m.Number == h.number {
			if !h.accepted {
				h.accepted = true
				s.after(0, func() { h.report(o, h.number) })
			}
			h.extend(m.ClockMS)
		}
	case *msg.LeaseGrant:
		h.extend(m.ClockMS)
	case *msg.StartRuns:
		for _, start := range m.Starts {
			h.start(o, start.Size.Run)
		}
	case *msg.StopRuns:
		for _, id := range m.Runs {
			h.end(id, workload.EndStopped)
		}
	case *msg.EndsAcknowledged:
		s.endsAcknowledged(h, m.LastNumber)
		h.ends = slices.DeleteFunc(h.ends, func(e msg.RunEnd) bool { return e.Number <= m.LastNumber })
		h.listNextEnds(o)
	}
}

// sendInventory sends an owner the runs and the ends that the agent knows.
func (h *chainHost) sendInventory(o *chainOwner) {
	s := o.chain
	h.number++
	inventory := &msg.HostInventory{
		Epoch: h.epoch, Number: h.number, Host: h.info, ClockMS: s.now.Milliseconds(), Runs: h.statuses(), Ended: slices.Clone(h.knownEnds(s)), MoreEnds: h.listing,
	}
	for i := range inventory.Runs {
		inventory.Runs[i].Unconfirmed = s.failing && s.random.IntN(4) == 0
	}
	l := o.links[h]
	l.deliver(s, &l.toOwner, func() { o.input(func(c *Core) { c.Inventory(inventory) }) })
}

// start carries out a start, refuses it, or does not know whether it was carried out.
func (h *chainHost) start(o *chainOwner, id workload.RunID) {
	s := o.chain
	if !h.accepted || s.now >= h.leaseEnd {
		return
	}
	outcome := 0
	if s.failing {
		outcome = s.random.IntN(8)
	}
	if outcome == 1 {
		h.tell(o, &msg.RunsChanged{Refused: []workload.RunID{id}})
		return
	}
	h.runs[id] = true
	s.started(h, id)
	switch outcome {
	case 2, 3:
		h.tell(o, &msg.RunsChanged{Started: []workload.RunID{id}})
	case 4:
		h.tell(o, &msg.RunsChanged{Unconfirmed: []workload.RunID{id}})
	}
}

// end ends a run, which the agent reports until the end is acknowledged.
func (h *chainHost) end(id workload.RunID, reason workload.EndReason) {
	if h.runs[id] {
		delete(h.runs, id)
		h.lastEnd++
		e := msg.RunEnd{Number: h.lastEnd, Run: id, Reason: reason}
		h.ends = append(h.ends, e)
		if h.ended != nil {
			h.ended(e)
		}
	}
}

// tell sends the owner a report of changes.
func (h *chainHost) tell(o *chainOwner, m *msg.RunsChanged) {
	m.Epoch, m.Instance, m.StartedAtMS = o.epoch, h.info.Instance, h.info.StartedAtMS
	l := o.links[h]
	l.deliver(o.chain, &l.toOwner, func() { o.input(func(c *Core) { c.RunsChanged(h.info.Name, m) }) })
}

func (h *chainHost) extend(clockMS int64) {
	h.leaseEnd = max(h.leaseEnd, time.Duration(clockMS)*time.Millisecond+LeaseDuration)
}

func (h *chainHost) statuses() []msg.RunStatus {
	var list []msg.RunStatus
	for id := range h.runs {
		list = append(list, msg.RunStatus{Run: id})
	}
	list = append(list, h.unlistedEnds()...)
	slices.SortFunc(list, func(a, b msg.RunStatus) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	return list
}

// report reports the runs to the owner every 500 ms while it is that of the inventory.
func (h *chainHost) report(o *chainOwner, number uint64) {
	s := o.chain
	if h.owner != o || h.number != number || o.ended {
		return
	}
	h.expire(s)
	for _, r := range h.statuses() {
		if s.failing && s.random.IntN(12) == 0 {
			h.end(r.Run, s.endReason())
		}
	}
	if ends := h.knownEnds(s); len(ends) > 0 {
		h.tell(o, &msg.RunsChanged{Ended: slices.Clone(ends)})
	}
	report := &msg.RunsProgress{Epoch: o.epoch, Instance: h.info.Instance, StartedAtMS: h.info.StartedAtMS, ClockMS: s.now.Milliseconds(), Runs: h.statuses()}
	l := o.links[h]
	l.deliver(s, &l.toOwner, func() { o.input(func(c *Core) { c.RunsProgress(h.info.Name, report) }) })
	s.after(500*time.Millisecond, func() { h.report(o, number) })
}
