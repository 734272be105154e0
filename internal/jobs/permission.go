package jobs

import (
	"math"
	"time"
)

// PermitLeases sets whether the owner may extend leases. Another entry may have
// replaced an owner that may not. The caller does not call Plan meanwhile.
func (c *Core) PermitLeases(may bool) { c.leasesBarred = !may }

// neverReplaced is the time of NotReplacedUntil for an owner that has no successor.
const neverReplaced time.Duration = math.MaxInt64

// replacementCheck is the interval at which a lease that has expired is examined again
// while another entry may have extended it.
const replacementCheck = 50 * time.Millisecond

// linkedReplacementCheck replaces replacementCheck for linked hosts, all of which get no
// lease while the owner may not act.
const linkedReplacementCheck = 500 * time.Millisecond

// NotReplacedUntil sets the newest time at which no other entry had replaced the owner.
// A successor may extend the leases of hosts that do not reach this owner, so leases
// that end later have not certainly expired.
func (c *Core) NotReplacedUntil(at time.Duration) { c.notReplacedUntil = at }

// certainlyPassed reports whether a time at which leases end has passed and no other
// entry can have extended them before. If it has passed and that is not known yet, the
// owner's row has to be rewritten.
func (c *Core) certainlyPassed(leaseEnd time.Duration) bool {
	if c.now < leaseEnd {
		return false
	}
	c.confirmAfter = max(c.confirmAfter, leaseEnd)
	return c.notReplacedUntil >= leaseEnd
}

// ConfirmationAwaited reports whether leases have ended since NotReplacedUntil, so that
// a write to the owner's row is needed to show that they were not extended.
func (c *Core) ConfirmationAwaited() bool { return c.notReplacedUntil < c.confirmAfter }

// FormerOwnersActUntil sets until when former owners may extend the leases of hosts that
// this one does not reach. That includes hosts which have answered it: the agent may have
// been started again, and then obeys an owner of a lower epoch if it reaches no other. It
// has no effect if the former owners have ended.
func (c *Core) FormerOwnersActUntil(at time.Duration) {
	if c.formerOwners == FormerOwnersEnded {
		return
	}
	c.formerOwnersActUntil = at
	if c.recoveryDeadline != 0 {
		c.recoveryDeadline = c.formerOwnersActUntil + maxRecovery
	}
	for _, h := range c.hostsByName {
		h.updateTimeout()
		h.schedule()
	}
}

// leaseEnd returns when leases of the host that this owner, or a former one, may have
// granted have ended, if the host is unlinked or has not sent its inventory.
func (h *host) leaseEnd() time.Duration {
	end := max(h.lastGrantAt, h.core.formerOwnersActUntil) + LeaseExpiry
	if inherited, ok := h.inheritedEnd(); ok {
		return min(end, inherited)
	}
	return end
}
