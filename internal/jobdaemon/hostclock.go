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

// suspendedSinceLastCall reports whether the host was suspended since the last call.
func (c *hostClock) suspendedSinceLastCall() bool {
	now := time.Now()
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	return c.observe(time.Duration(now.UnixNano()), now.Sub(c.startedAt), timeSuspended)
}

// observe applies the times of the wall clock and of the monotonic one. suspended
// returns how long the host has been suspended; if that is not known, each jump of the
// wall clock counts as a suspension.
func (c *hostClock) observe(wall, monotonic time.Duration, suspended func() (time.Duration, bool)) bool {
	offset := wall - monotonic
	first := c.wallOffset == 0
	if !first && (offset-c.wallOffset).Abs() < minSuspension {
		return false
	}
	c.wallOffset = offset
	total, known := suspended()
	before := c.suspended
	c.suspended = total
	return !first && (!known || total-before >= minSuspension)
}

// timeSuspended returns how long the host has been suspended since it started.
func timeSuspended() (d time.Duration, known bool) {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}
