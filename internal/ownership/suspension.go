package ownership

import "time"

const (
	// maxGap is the time between two steps of a process from which on its peers may
	// have ended their links with it. It is below their limit of silence (1.2 s).
	maxGap = time.Second
	// suspensionRetention is how long after a suspension an entry that does not own the
	// jobs may still hold links which its peers have ended. It is above their limit of
	// silence (1.2 s).
	suspensionRetention = 2 * time.Second
)

// suspension is the last time in which the process, or its host, did not run.
type suspension struct {
	steppedAt time.Duration       // time of the last step; 0: none
	until     time.Duration       // when it ended; 0: never
	linked    map[string]struct{} // entries that were linked then and have not been linked anew
}

// concerns reports whether the links at a time, or later, may have ended in the
// suspension without notice.
func (s *suspension) concerns(at time.Duration) bool {
	return s.until != 0 && at-s.until < suspensionRetention
}

// noticeGap notices that the process did not run between its last step and this one.
func (c *Core) noticeGap(now time.Duration) {
	if last := c.suspension.steppedAt; last != 0 && now-last >= maxGap {
		c.Suspended(0, now)
	}
	c.suspension.steppedAt = now
}

// Suspended records that the host was suspended until now, for a time that its monotonic
// clock does not count. The clocks of successors do.
func (c *Core) Suspended(uncounted, now time.Duration) {
	c.now = now
	c.claimSentAt -= uncounted
	c.permission.confirmedAt -= uncounted
	c.suspension.until = now
	c.suspension.linked = make(map[string]struct{}, len(c.linked))
	for name := range c.linked {
		c.suspension.linked[name] = struct{}{}
	}
	if c.Owns() {
		c.permission.suspended(now, c.suspension.linked)
	}
}
