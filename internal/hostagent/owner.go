package hostagent

import (
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Received takes a message from an entry.
func (c *Core) Received(from LinkID, m msg.Control) {
	switch m := m.(type) {
	case *msg.OwnerClaim:
		c.claimed(from, m)
	case *msg.InventoryAccepted:
		if c.owns(from, m.Epoch) {
			c.inventoryTaken(m)
		}
	case *msg.StartRuns:
		c.startRuns(from, m)
	case *msg.StopRuns:
		if c.owns(from, m.Epoch) {
			c.stopRuns(m)
		}
	case *msg.LeaseGrant:
		if c.owns(from, m.Epoch) && m.StartedAtMS == c.host.StartedAtMS {
			c.grant(m.ClockMS)
			c.pacer.learned(m.Interference)
		}
	case *msg.EndsAcknowledged:
		if m.Instance == c.host.Instance && m.StartedAtMS == c.host.StartedAtMS {
			c.endsTaken(m.LastNumber)
		}
	}
}

// grant extends the owner's lease from a clock that this guard sent.
func (c *Core) grant(clockMS int64) {
	c.leaseEnd = max(c.leaseEnd, clockMS+c.cfg.OwnerLease.Milliseconds())
}

// Met takes the epoch that an entry names in its hello.
func (c *Core) Met(epoch uint64) {
	if epoch > c.epoch {
		c.epoch = epoch
		c.owner, c.told, c.taken = 0, false, false
	}
}

// Unlinked says that a link has ended.
func (c *Core) Unlinked(link LinkID) {
	if link == c.owner {
		c.owner, c.told, c.taken = 0, false, false
	}
}

func (c *Core) owns(from LinkID, epoch uint64) bool {
	if epoch == c.epoch && from == c.owner {
		return true
	}
	c.note(Decision{Kind: OwnerRefused})
	return false
}

func (c *Core) claimed(from LinkID, m *msg.OwnerClaim) {
	if m.Owner != "" {
		c.Met(m.Epoch) // another entry tells of the owner
		return
	}
	if m.Epoch < c.epoch {
		c.note(Decision{Kind: OwnerRefused})
		return
	}
	c.Met(m.Epoch)
	c.owner, c.told, c.taken = from, false, false
	c.note(Decision{Kind: OwnerAdopted})
	c.tell()
}

// tell sends the inventory as soon as it is known.
func (c *Core) tell() {
	known := c.host.Instance != "" && (c.listed || c.host.State == workload.HostUnavailable)
	if c.owner == 0 || c.told || !known {
		return
	}
	c.told = true
	c.changed = msg.RunsChanged{}
	m := &msg.HostInventory{Epoch: c.epoch, Host: c.host, ClockMS: c.clock.least(c.now), Ended: append([]msg.RunEnd(nil), c.ends...)}
	for _, r := range c.sorted() {
		m.Runs = append(m.Runs, r.status())
	}
	c.sends = append(c.sends, Send{c.owner, m})
}

func (c *Core) inventoryTaken(m *msg.InventoryAccepted) {
	for _, s := range m.Sizes {
		if r, ok := c.runs[s.Run]; ok {
			c.used = c.used.Sub(r.size.Charge).Add(s.Charge)
			r.size = s
		}
	}
	c.taken = c.told
	c.grant(m.ClockMS)
}

func (c *Core) startRuns(from LinkID, m *msg.StartRuns) {
	for _, s := range m.Starts {
		if why := c.against(from, m, &s); why != "" {
			c.note(Decision{Kind: RunRefused, Run: s.Size.Run, Detail: why})
			if from == c.owner {
				c.changed.Refused = append(c.changed.Refused, s.Size.Run)
			}
			continue
		}
		r := c.hold(s.Size)
		c.call(Call{Start: &runner.StartRequest{Run: r.id, Specification: s.Specification, Checkpoint: s.Checkpoint, LeaseMS: c.leaseMS()}})
	}
}

// against returns why a start is refused, or nothing.
func (c *Core) against(from LinkID, m *msg.StartRuns, s *msg.RunStart) string {
	_, twice := c.runs[s.Size.Run]
	switch {
	case !c.owns(from, m.Epoch):
		return "owner has been replaced"
	case !c.taken:
		return "inventory is under way"
	case m.Instance != c.host.Instance || m.StartedAtMS != c.host.StartedAtMS:
		return "meant for another life of the backend server"
	case c.host.State != workload.HostReady:
		return "backend server is " + c.host.State.String()
	case twice:
		return "run is known"
	case c.leaseMS() == 0:
		return "no lease is granted"
	case !s.Size.Charge.Fits(c.host.Capacity.Sub(c.used)):
		return "no room"
	}
	return ""
}

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
	for _, e := range c.ends {
		if e.Run == id {
			return true
		}
	}
	return false
}

func (c *Core) endsTaken(upto uint64) {
	c.cursor = max(c.cursor, upto)
	keep := c.ends[:0]
	for _, e := range c.ends {
		if e.Number > c.cursor {
			keep = append(keep, e)
		}
	}
	c.ends = keep
}

// Answered takes the answer to a call.
func (c *Core) Answered(a Answer) {
	c.answered(a.Call.startedAtMS, a.ClockMS, a.Err)
	if a.Call.startedAtMS != c.host.StartedAtMS || c.ended {
		return
	}
	switch {
	case a.Call.Start != nil:
		c.startAnswered(a)
	case a.Call.Pace != nil:
		c.paceAnswered(a)
	case a.Call.Look != nil && a.Err == nil:
		c.list(a.Call.Target, a.Listing)
	}
}

func (c *Core) startAnswered(a Answer) {
	r, ok := c.runs[a.Call.Start.Run]
	if !ok {
		return
	}
	r.acceptMS = a.ClockMS
	switch {
	case a.Err == nil:
		r.step(evAccepted)
	case errors.Is(a.Err, runner.ErrOutcomeUnknown):
		r.step(evUnanswered)
	case errors.Is(a.Err, runner.ErrFenced):
		r.step(evUnanswered) // the token was raised; look whether it runs
	default:
		c.note(Decision{Kind: RunRefused, Run: r.id, Detail: a.Err.Error()})
		r.step(evRejected)
	}
}
