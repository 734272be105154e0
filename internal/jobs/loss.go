package jobs

// LossCause says why the owner took a run for ended without a report of its end.
type LossCause string

// Causes of losses.
const (
	LostLeaseExpired     LossCause = "lease-expired"       // its host was unlinked for longer than its lease
	LostUnlisted         LossCause = "not-in-inventory"    // the host's inventory neither lists it nor its end
	LostIncarnationEnded LossCause = "incarnation-ended"   // another incarnation of the backend server began
	LostUnavailable      LossCause = "backend-server-gone" // its agent reported the backend server as unavailable
)

// lose ends a run that has certainly ended without a report.
func (r *run) lose(cause LossCause) {
	r.lossCause = cause
	r.step(evLost)
}

// unlistedCause returns why runs are lost that the host's inventory does not list.
func (h *host) unlistedCause() LossCause {
	if h.endCause != "" {
		return h.endCause
	}
	return LostUnlisted
}

// logExpiredLeases logs that the runs of the host are given up because their leases
// have expired.
func (h *host) logExpiredLeases() {
	c := h.core
	detail := "assumed"
	if _, inherited := h.inheritedEnd(); inherited {
		detail = "inherited"
	} else if h.adopted {
		detail = "granted"
	}
	d := Decision{Kind: LeasesExpired, Host: h.info.Name, Detail: detail, Age: c.now - h.lastGrantAt, Runs: len(h.runs)}
	if h.soughtAt <= h.unlinkedAt {
		d.Unlinked = c.now - h.unlinkedAt
	}
	c.addDecision(d)
}
