package hostagent

import "time"

// extendLease extends the owner's lease to OwnerLease after clockMS, a time of
// the backend server's clock that this agent sent.
func (c *Core) extendLease(clockMS int64) {
	if c.grantedBeforeSuspension(clockMS) {
		return
	}
	c.leaseEndMS = max(c.leaseEndMS, clockMS+c.cfg.OwnerLease.Milliseconds())
}

// leaseLeft returns the remaining time of the owner's lease: 0 if none was granted,
// negative if it has expired.
func (c *Core) leaseLeft() time.Duration {
	if c.leaseEndMS == 0 {
		return 0
	}
	return time.Duration(c.leaseEndMS-c.clock.lowerBound(c.now)) * time.Millisecond
}

// leaseMS returns the end of the lease for a call, in milliseconds of the backend
// server's clock, or 0 if it would have expired or the backend server is silent. It is
// at most RunLease after the newest clock in an answer to a poll: a backend server that
// does not say what runs there gets no later lease, whatever the owner grants, so the
// end of its runs is known. It records the end in sentLeaseMS.
func (c *Core) leaseMS() int64 {
	if c.silent() {
		return 0
	}
	end := min(c.leaseEndMS, c.polledMS+c.cfg.RunLease.Milliseconds())
	if end <= c.clock.lowerBound(c.now) {
		return 0
	}
	c.sentLeaseMS = max(c.sentLeaseMS, end)
	return end
}

// maxPollAge is the age of the newest answer to a poll above which the agent does not
// report the runs any more, and takes them for ended when their leases have expired. A
// poll that is not answered fails earlier, and the next one may take the rest.
const maxPollAge = 1500 * time.Millisecond

// pollOutdated reports whether the newest answer to a poll is older than maxPollAge.
func (c *Core) pollOutdated() bool {
	return c.clock.lowerBound(c.now) > c.polledMS+maxPollAge.Milliseconds()
}

// lastLeaseMS returns the latest end of a lease that the backend server may have: of this
// process of the agent or of a former one.
func (c *Core) lastLeaseMS() int64 { return max(c.sentLeaseMS, c.formerLeaseMS) }

// leasesExpiredInSilence reports whether the runs have ended because no call that the
// backend server may have received extends their lease any more, and its lists do not
// show it. If it answers polls, the lists show which runs have ended, also after the
// last grant of an owner has expired.
func (c *Core) leasesExpiredInSilence() bool {
	return c.incarnation.state == incarnationPresent &&
		c.clock.lowerBound(c.now) > c.lastLeaseMS() && c.pollOutdated()
}
