package jobdaemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension of the host that is noticed.
const minSuspension = 500 * time.Millisecond

// hostClock notices that the host was suspended, which the monotonic clock does not
// show. It compares the wall clock, which costs no system call, and looks closer only
// after a jump.
type hostClock struct {
	startedAt  time.Time     // 0: not started
	wallOffset time.Duration // of the wall clock from the monotonic one
	suspended  time.Duration // how long the host has been suspended
}

// suspendedSinceLastCall returns how long the host was suspended since the last call; 0:
// not, or too briefly to be noticed.
func (c *hostClock) suspendedSinceLastCall() time.Duration {
	now := time.Now()
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	return c.observe(time.Duration(now.UnixNano()), now.Sub(c.startedAt), timeSuspended)
}

// observe applies the times of the wall clock and of the monotonic one. suspended
// returns how long the host has been suspended; if that is not known, each jump of the
// wall clock counts as a suspension.
func (c *hostClock) observe(wall, monotonic time.Duration, suspended func() (time.Duration, bool)) time.Duration {
	offset := wall - monotonic
	first := c.wallOffset == 0
	jump := (offset - c.wallOffset).Abs()
	if !first && jump < minSuspension {
		return 0
	}
	c.wallOffset = offset
	total, known := suspended()
	before := c.suspended
	c.suspended = total
	switch {
	case first:
		return 0
	case !known:
		return jump
	case total-before >= minSuspension:
		return total - before
	}
	return 0
}

// timeSuspended returns how long the host has been suspended since it started.
func timeSuspended() (d time.Duration, known bool) {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}
