package jobs

import "time"

// PermitLeases sets whether the owner may extend leases. Another entry may have
// replaced an owner that may not. The caller does not call Plan meanwhile.
func (c *Core) PermitLeases(may bool) { c.leasesBarred = !may }

// FormerOwnersActUntil sets until when former owners may extend the leases of hosts
// that have not answered this one. It has an effect during a recovery, unless the
// former owners have ended.
func (c *Core) FormerOwnersActUntil(at time.Duration) {
	if c.recoveryDeadline == 0 || c.formerOwners == FormerOwnersEnded {
		return
	}
	at = max(at, c.now)
	c.recoveryDeadline = at + maxRecovery
	for _, h := range c.hostsByName {
		if h.adopted || h.state != hostSilent && h.state != hostClaiming {
			continue
		}
		h.lastGrantAt = at
		if h.state == hostSilent {
			h.restartTimeout()
			h.schedule()
		}
	}
}
