// Package lease holds the time arithmetic of leases and of cell ownership.
// Instants are durations on the monotonic clock of one process; no instant of
// one process is ever compared with an instant of another.
package lease

import "time"

// Durations of leases and of ownership.
const (
	TTL               = 30 * time.Second // lease of all attempts of a cell on an agent
	RenewInterval     = 5 * time.Second
	WorkerTTL         = 15 * time.Second // the worker's own lease of one task
	HeartbeatInterval = 2 * time.Second
	StopPlacingAfter  = 4 * time.Second // without a written heartbeat the owner stops placing
	OwnerExpiry       = 6 * time.Second // an unchanged heartbeat lets a successor claim
	// RenewalLimit and LongHoldBound limit how long an owner that cannot write its
	// heartbeat renews the leases of running tasks.
	RenewalLimit     = 10 * time.Minute
	LongRenewalLimit = 30 * time.Minute
	// PauseGap is the lateness of its own timer from which a process counts as
	// having been paused.
	PauseGap = 2 * time.Second

	margin       = 2 * time.Second
	driftDivisor = 100 // clocks differ in rate by at most 1%
)

// Certain returns how long the granter of a lease of length d must wait, from
// before it sent the grant, until the holder's clock has certainly passed d.
func ExpiryWait(d time.Duration) time.Duration { return d + d/driftDivisor + margin }

// lapse is how long after the agent's lease its tasks may still run: a renewal
// that a frozen agent sent late reaches the worker before the worker's own
// lease ends, or it has no effect, and extends that lease once at most.
var workerExpiry = ExpiryWait(WorkerTTL) - margin

// AttemptEnd is how long after a grant of length d the attempts that depend on
// it have certainly ended.
func AttemptEnd(d time.Duration) time.Duration { return ExpiryWait(d) + workerExpiry }

// SuccessorWait is how long after its claim a successor must wait for attempts
// on an agent that it cannot reach: the old owner may renew them until its
// hold bound.
func SuccessorWait(long bool) time.Duration {
	return ExpiryWait(RenewalLimitOf(long)) + AttemptEnd(TTL)
}

// RenewalLimitOf returns the hold bound of a kind of work.
func RenewalLimitOf(long bool) time.Duration {
	if long {
		return LongRenewalLimit
	}
	return RenewalLimit
}

// Grants is a granter's record for one agent. A renewal carries a sequence
// number which is raised only after the agent acknowledged the one before, so
// that the holder knows that a renewal was sent after its own acknowledgement.
type Grants struct {
	seq   uint64
	acked bool
	sent  time.Duration    // when seq was sent first
	until [2]time.Duration // by kind of work: all attempts have certainly ended then
}

// Renew returns the sequence number of a renewal that is sent at now. A
// repetition (fresh is false) extends nothing beyond the first sending, since
// the holder counts both from the same acknowledgement.
func (g *Grants) Renew(now, ttl, longTTL time.Duration) (seq uint64, fresh bool) {
	if fresh = g.acked || g.seq == 0; fresh {
		g.seq++
		g.acked, g.sent = false, now
	}
	g.Extend(g.sent, ttl, longTTL)
	return g.seq, fresh
}

// Extend records that attempts may run for the given lengths from now.
func (g *Grants) Extend(now, ttl, longTTL time.Duration) {
	for i, d := range [2]time.Duration{ttl, longTTL} {
		if d > 0 {
			g.until[i] = max(g.until[i], now+AttemptEnd(d))
		}
	}
}

// Relink abandons the renewal under way when the agent has a new link, so that
// an acknowledgement which arrives late from the old one has no effect.
func (g *Grants) Relink(now time.Duration) {
	g.seq += 2
	g.acked, g.sent = false, now
}

// Reset replaces the record after the agent confirmed a new epoch: no older
// grant is renewed from now on, and the newest of them has at most TTL left.
func (g *Grants) Reset(now time.Duration) {
	*g = Grants{seq: g.seq, acked: g.acked, sent: g.sent}
	g.Extend(now, TTL, TTL)
}

// Ack records an acknowledgement; it reports whether it is of the newest renewal.
func (g *Grants) Ack(seq uint64) bool {
	fresh := seq == g.seq && !g.acked
	g.acked = g.acked || seq == g.seq
	return fresh
}

// Until returns when the attempts of a kind have certainly ended.
func (g *Grants) Until(long bool) time.Duration { return g.until[kindIndex(long)] }

// SetUntil records an expiry that does not come from a grant of this granter.
func (g *Grants) SetUntil(short, long time.Duration) { g.until = [2]time.Duration{short, long} }

// Holder is a holder's record of its lease. The lease counts from the
// acknowledgement before the renewal, because the renewal itself may have been
// under way for any length of time.
type Holder struct {
	seq      uint64
	ackAt    time.Duration
	ackValid bool // ackAt may serve as the start of a lease
	until    [2]time.Duration
}

// Receive records a renewal that arrived at now and must be acknowledged if
// the result is true.
func (h *Holder) Receive(now time.Duration, seq uint64, ttl, longTTL time.Duration) bool {
	switch {
	case seq < h.seq:
		return false
	case seq == h.seq:
		return true // repeated: it proves nothing new about when it was sent
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

// NewGranter forgets the sequence numbers of the previous granter. The lease
// it granted stays valid until its end.
func (h *Holder) NewGranter() { h.seq, h.ackValid = 0, false }

// Invalidate makes the lease count as expired until a renewal that was sent after
// now confirms it.
func (h *Holder) Invalidate() {
	h.ackValid = false
	h.until = [2]time.Duration{}
}

// Until returns the end of the lease of a kind of work.
func (h *Holder) Until(long bool) time.Duration { return h.until[kindIndex(long)] }

// Valid reports whether the lease of a kind of work is valid at now.
func (h *Holder) Valid(now time.Duration, long bool) bool { return now < h.until[kindIndex(long)] }

func kindIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// Sequence returns the number of the newest renewal.
func (g *Grants) Sequence() uint64 { return g.seq }

// Acked reports whether the newest renewal was acknowledged.
func (g *Grants) Acked() bool { return g.acked }

// State returns the newest sequence number received and when it was
// acknowledged; basis is false if the lease may not count from then.
func (h *Holder) State() (seq uint64, at time.Duration, basis bool) {
	return h.seq, h.ackAt, h.ackValid
}
