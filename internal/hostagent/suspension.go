package hostagent

import "time"

// suspension is a time in which the host did not run. The monotonic clock does not count
// it, and neither does that of a backend server which was suspended too. The owner's
// clock does, so the owner's lease ends earlier by that time.
type suspension struct {
	atMS      int64         // the backend server's clock when it was noticed; 0: none
	uncertain time.Duration // by which the lease was shortened; 0 once the backend server has shown whether its clock stood still
}

// Suspended records that the host was suspended for d until now. Without a lease of an
// owner there is none to shorten.
func (c *Core) Suspended(d time.Duration) {
	if c.leaseEndMS == 0 {
		return
	}
	c.leaseEndMS -= d.Milliseconds()
	c.suspension = suspension{atMS: c.clock.lowerBound(c.now), uncertain: c.suspension.uncertain + d}
	c.stopAfterSuspension()
}

// clockAfterSuspension applies the clock of an answer. If it has advanced during the
// suspension, the backend server was not suspended, and its lease needs no correction.
func (c *Core) clockAfterSuspension(clockMS int64) {
	d := c.suspension.uncertain
	if d == 0 || clockMS <= c.suspension.atMS {
		return
	}
	c.suspension.uncertain = 0
	if clockMS-c.clock.upperBound(c.now) >= (d / 2).Milliseconds() {
		c.leaseEndMS += d.Milliseconds()
	}
}

// grantedBeforeSuspension reports whether a grant answers a report of the time before
// the last suspension. The owner counts it from before the suspension, so it does not
// extend the lease.
func (c *Core) grantedBeforeSuspension(clockMS int64) bool {
	return c.suspension.atMS != 0 && clockMS <= c.suspension.atMS
}

// stopAfterSuspension stops all runs when the owner's lease has expired while the
// backend server, whose clock stood still, keeps them for longer.
func (c *Core) stopAfterSuspension() {
	if !c.present() || c.sentLeaseMS <= c.leaseEndMS || c.clock.upperBound(c.now) < c.leaseEndMS {
		return
	}
	for _, r := range c.sorted() {
		r.step(evStop)
	}
}
