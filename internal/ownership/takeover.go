package ownership

import (
	"slices"
	"time"
)

const (
	// takeoverWindow is how long a change of the owner is remembered.
	takeoverWindow = 10 * time.Second
	// maxOwnerTimeout bounds the timeout after which an unlinked owner is replaced.
	maxOwnerTimeout = 4 * time.Second
)

// takeovers holds the times at which the epoch became higher, the oldest first.
type takeovers []time.Duration

func (t *takeovers) add(now time.Duration) {
	*t = append(t.after(now-takeoverWindow), now)
}

// after returns the times after a given one.
func (t *takeovers) after(start time.Duration) takeovers {
	i, _ := slices.BinarySearch(*t, start+1)
	return (*t)[i:]
}

// observeEpoch raises the highest known epoch. The first epoch that an entry learns of
// is not a change of the owner.
func (c *Core) observeEpoch(epoch uint64) {
	if epoch <= c.maxEpoch {
		return
	}
	if c.maxEpoch > 0 {
		c.takeovers.add(c.now)
	}
	c.maxEpoch = epoch
}

// absenceTimeout returns how long the owner may be unlinked before it is replaced. It
// doubles with each change of the owner after the first within takeoverWindow: an
// owner that takes over reads all jobs and accepts links, and if that keeps it busy
// for longer than its peers wait, replacing it makes the next owner as busy.
func (c *Core) absenceTimeout() time.Duration {
	timeout := ownerTimeout
	for n := len(c.takeovers.after(c.now - takeoverWindow)); n > 1 && timeout < maxOwnerTimeout; n-- {
		timeout *= 2
	}
	return timeout
}
