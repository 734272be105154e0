package hostagent

import "time"

// clock computes a lower bound of the backend server's clock from the last time
// that the backend server sent.
type clock struct {
	ms         int64 // clock of the backend server at receivedAt
	receivedAt time.Duration
}

// driftDivisor bounds the drift of the backend server's clock: it is slower
// than this host's by at most 1/driftDivisor.
const driftDivisor = 50

func (c *clock) set(ms int64, now time.Duration) {
	if ms > c.lowerBound(now) {
		c.ms, c.receivedAt = ms, now
	}
}

// upperBound returns an upper bound, but for the time that the last answer took.
func (c *clock) upperBound(now time.Duration) int64 {
	return c.ms + (now - c.receivedAt).Milliseconds()
}

func (c *clock) lowerBound(now time.Duration) int64 {
	elapsed := now - c.receivedAt
	return c.ms + (elapsed - elapsed/driftDivisor).Milliseconds()
}
