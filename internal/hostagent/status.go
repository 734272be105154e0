package hostagent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
)

// Status is the state of the agent, for its metrics.
type Status struct {
	Epoch       uint64        // highest observed epoch
	Entries     int           // linked entries
	Obeys       OwnerRelation // how far the agent and its owner have come
	Incarnation chart.State   // of charts/incarnation.scxml, in the order of the chart
	Polled      bool          // the present incarnation has answered a poll
	PollAge     time.Duration // since its newest answer to a poll
	LeaseLeft   time.Duration // remaining time of the owner's lease; 0: none
	Runs        int
}

// OwnerRelation says how far an agent and its owner have come.
type OwnerRelation uint8

// Relations of an agent to its owner.
const (
	WithoutOwner     OwnerRelation = iota
	InventoryUnsent                // the owner has claimed the host; its backend server has to answer first
	InventoryUnread                // the owner has not accepted the inventory
	InventoryApplied               // the owner starts runs and grants leases
)

// Status returns the state of the agent.
func (c *Core) Status() Status {
	s := Status{
		Epoch: c.epoch, Entries: len(c.entries), Obeys: c.ownerRelation(), Incarnation: c.incarnation.state,
		LeaseLeft: max(0, c.leaseLeft()), Runs: len(c.runs),
	}
	if c.polledMS != 0 {
		s.Polled, s.PollAge = true, c.now-c.polledAt
	}
	return s
}

func (c *Core) ownerRelation() OwnerRelation {
	switch {
	case c.owner == 0:
		return WithoutOwner
	case c.inventoryAccepted:
		return InventoryApplied
	case c.inventorySent:
		return InventoryUnread
	}
	return InventoryUnsent
}
