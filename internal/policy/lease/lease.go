// Package lease holds the time arithmetic of leases and of cell ownership.
// Points in time are durations on the monotonic clock of one process. Those of
// different processes are never compared.
package lease

import "time"

// Durations of leases and of ownership.
const (
	TTL               = 30 * time.Second // lease of all attempts of a cell on an agent
	RenewInterval     = 5 * time.Second
	WorkerTTL         = 15 * time.Second // the worker's lease of one task
	HeartbeatInterval = 2 * time.Second  // between two heartbeats that the owner of a cell writes
	StopPlacingAfter  = 4 * time.Second  // after the last written heartbeat the owner starts no more attempts
	OwnerExpiry       = 6 * time.Second  // an unchanged heartbeat of this age lets a successor claim the cell
	// RenewalLimit and LongRenewalLimit (of long-running tasks) limit how long
	// an owner that cannot write its heartbeat renews the leases of running
	// tasks.
	RenewalLimit     = 10 * time.Minute
	LongRenewalLimit = 30 * time.Minute
	// PauseGap is the lateness of a timer from which the process is assumed to
	// have been paused.
	PauseGap = 2 * time.Second

	margin       = 2 * time.Second
	driftDivisor = 100 // clocks differ in rate by at most 1%
)

// ExpiryWait returns how long the granter of a lease of length d must wait, from
// before it sent the grant, until the lease has certainly expired on the holder's
// clock.
func ExpiryWait(d time.Duration) time.Duration { return d + d/driftDivisor + margin }

// workerExpiry is how long tasks may still run after the agent's lease expired. A
// renewal that a paused agent sends late has an effect only if it reaches the
// worker before the worker's lease expires, and extends that lease at most once.
var workerExpiry = ExpiryWait(WorkerTTL) - margin

// WorkerEnd is how long after the last renewal of a worker's lease was sent its task has
// certainly ended, if the renewal was not answered: it has an effect only if it reaches the
// worker before its lease expires.
var WorkerEnd = 2*workerExpiry + margin

// AttemptEnd returns how long after a grant of length d the attempts that depend
// on it have certainly ended.
func AttemptEnd(d time.Duration) time.Duration { return ExpiryWait(d) + workerExpiry }

// SuccessorWait returns how long after its claim a successor must wait for
// attempts on an agent that it cannot reach: the old owner may renew their leases
// until its renewal limit. long is true for long-running tasks.
func SuccessorWait(long bool) time.Duration {
	return ExpiryWait(RenewalLimitOf(long)) + AttemptEnd(TTL)
}

// RenewalLimitOf returns the renewal limit of long-running or of other tasks.
func RenewalLimitOf(long bool) time.Duration {
	if long {
		return LongRenewalLimit
	}
	return RenewalLimit
}

// Grants is a granter's record of the leases of one agent. A renewal carries a
// sequence number, which is incremented only after the agent acknowledged the
// previous one. So the holder knows that a renewal with a new number was sent
// after its last acknowledgement.
type Grants struct {
	seq   uint64
	acked bool
	sent  time.Duration    // when seq was first sent
	until [2]time.Duration // when all attempts have certainly ended, by kindIndex
}

// Renew returns the sequence number of a renewal that is sent at now. If fresh is
// false it repeats the previous renewal and its expiry counts from the first
// sending, since the holder counts both from the same acknowledgement.
func (g *Grants) Renew(now, ttl, longTTL time.Duration) (seq uint64, fresh bool) {
	if fresh = g.acked || g.seq == 0; fresh {
		g.seq++
		g.acked, g.sent = false, now
	}
	g.Extend(g.sent, ttl, longTTL)
	return g.seq, fresh
}

// Extend records that attempts may run for ttl, or longTTL if they are
// long-running, from now. A duration of 0 extends nothing.
func (g *Grants) Extend(now, ttl, longTTL time.Duration) {
	for i, d := range [2]time.Duration{ttl, longTTL} {
		if d > 0 {
			g.until[i] = max(g.until[i], now+AttemptEnd(d))
		}
	}
}

// Relink abandons the unacknowledged renewal when the agent has a new link, so
// that an acknowledgement which arrives late over the old link has no effect.
func (g *Grants) Relink(now time.Duration) {
	g.seq += 2
	g.acked, g.sent = false, now
}

// Reset replaces the record after the agent confirmed a new epoch: grants of
// earlier epochs are not renewed any more, and expire after at most TTL.
func (g *Grants) Reset(now time.Duration) {
	*g = Grants{seq: g.seq, acked: g.acked, sent: g.sent}
	g.Extend(now, TTL, TTL)
}

// Ack records an acknowledgement, and reports whether it is the first of the
// newest renewal.
func (g *Grants) Ack(seq uint64) bool {
	fresh := seq == g.seq && !g.acked
	g.acked = g.acked || seq == g.seq
	return fresh
}

// Until returns when all attempts of long-running or of other tasks have certainly
// ended.
func (g *Grants) Until(long bool) time.Duration { return g.until[kindIndex(long)] }

// SetUntil records an expiry that does not come from a grant of this granter.
func (g *Grants) SetUntil(short, long time.Duration) { g.until = [2]time.Duration{short, long} }

// Holder is a holder's record of its lease. The lease counts from the
// acknowledgement before the renewal, because the delivery of the renewal itself
// may have taken any length of time.
type Holder struct {
	seq      uint64
	ackAt    time.Duration
	ackValid bool // ackAt can be the start of a lease
	until    [2]time.Duration
}

// Receive records a renewal that arrived at now, and reports whether it must be
// acknowledged. A renewal extends the lease only if its number is the next one
// and the previous renewal was acknowledged after the last call of NewGranter or
// Invalidate.
func (h *Holder) Receive(now time.Duration, seq uint64, ttl, longTTL time.Duration) bool {
	switch {
	case seq < h.seq:
		return false
	case seq == h.seq:
		return true // a repetition may have been sent before the acknowledgement
	case seq == h.seq+1 && h.ackValid:
		for i, d := range [2]time.Duration{ttl, longTTL} {
			if d > 0 {
				h.until[i] = max(h.until[i], h.ackAt+d)
			}
		}
	}
	h.seq, h.ackAt, h.ackValid = seq, now, true
	return true
}

// NewGranter resets the sequence number for a new granter. The lease from the
// previous granter stays valid until it expires.
func (h *Holder) NewGranter() { h.seq, h.ackValid = 0, false }

// Invalidate makes the lease count as expired until a renewal arrives that was
// certainly sent after this call.
func (h *Holder) Invalidate() {
	h.ackValid = false
	h.until = [2]time.Duration{}
}

// Until returns the end of the lease of long-running or of other tasks.
func (h *Holder) Until(long bool) time.Duration { return h.until[kindIndex(long)] }

// Valid reports whether the lease of long-running or of other tasks is valid at
// now.
func (h *Holder) Valid(now time.Duration, long bool) bool { return now < h.until[kindIndex(long)] }

// kindIndex returns the index of long-running (1) or of other tasks (0).
func kindIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// Sequence returns the sequence number of the newest renewal.
func (g *Grants) Sequence() uint64 { return g.seq }

// Acked reports whether the newest renewal was acknowledged.
func (g *Grants) Acked() bool { return g.acked }

// State returns the newest sequence number received and when it was
// acknowledged. ackValid is false if a lease must not count from that time.
func (h *Holder) State() (seq uint64, at time.Duration, ackValid bool) {
	return h.seq, h.ackAt, h.ackValid
}
