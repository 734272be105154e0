package jobs

import "time"

// restartTimeout sets the timeout of the host's state, counted from now.
func (h *host) restartTimeout() {
	if d, _, ok := hostChart.Timeout(h.state); ok {
		h.claimDueAt = h.core.now + d
	}
	h.updateTimeout()
}

// updateTimeout sets the timeout of the host's state after a change of the time at which
// its leases end. A claim is sent again before that time too.
func (h *host) updateTimeout() {
	switch {
	case h.state == hostSilent || h.answered():
		h.timeoutAt = h.leaseEnd()
	case h.state == hostClaiming && h.vacated:
		h.timeoutAt = h.claimDueAt
	case h.state == hostClaiming:
		h.timeoutAt = min(h.claimDueAt, h.leaseEnd())
	default:
		h.timeoutAt = 0
	}
}

// expire applies the times of the host that have passed.
func (h *host) expire() {
	h.dueAt = 0
	switch {
	case h.timeoutAt == 0 || h.core.now < h.timeoutAt:
	case h.answered() && h.core.now < h.leaseEnd():
		h.updateTimeout() // to the end of a later grant
	case h.state == hostReady && len(h.runs) == 0:
		h.timeoutAt = h.core.now + LeaseExpiry
	case (h.state == hostSilent || h.answered()) && h.core.certainlyPassed(h.leaseEnd()):
		h.step(evLeaseExpired)
	case h.answered():
		h.timeoutAt = h.core.now + linkedReplacementCheck
	case h.state == hostClaiming && (h.core.now >= h.claimDueAt || h.leasesPassed()):
		h.step(evClaimTimeout)
	default:
		h.timeoutAt = h.core.now + replacementCheck
	}
	h.endProbation()
	h.endPause()
	h.endReservationPause()
	h.checkRow()
	h.schedule()
}

// granted records that the lease of the runs is granted. The timeout of the state is
// moved only when half of the time has passed, since agents report often.
func (h *host) granted() {
	h.lastGrantAt = h.core.now
	if h.answered() && h.timeoutAt-h.core.now < LeaseExpiry/2 {
		h.restartTimeout()
		h.schedule()
	}
}

// schedule sets when the host expires next. It is called after each change that a
// time of the host or checkListed depends on.
func (h *host) schedule() {
	h.checkListed()
	due := time.Duration(0)
	for _, at := range [...]time.Duration{h.timeoutAt, h.pausedUntil, h.health.probationEnd, h.reservations.pausedUntil, h.listedUntil(), h.rowCheckAt()} {
		if at != 0 && (due == 0 || at < due) {
			due = at
		}
	}
	switch {
	case due == h.dueAt:
		return
	case due == 0:
		h.core.due.Remove(h)
	default:
		h.core.due.Set(h, due)
	}
	h.dueAt = due
}
