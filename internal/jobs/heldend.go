package jobs

import "slices"

// heldEnd is an end as done that arrived after its run was given up and the next run
// of the task was ordered. It is not acknowledged while that run may still start: a
// task must not start after an end that was acknowledged.
type heldEnd struct {
	host        *host
	startedAtMS int64 // incarnation of the backend server that reported it
	number      uint64
}

// holdEnd keeps an end from being acknowledged while another run of its task may
// start.
func (t *task) holdEnd(h *host, number uint64) {
	if t.step.spec.AllowConcurrentRuns || !t.runMayStart() {
		return
	}
	held := t.step.job.core.heldEnds
	held[t] = append(held[t], heldEnd{h, h.info.StartedAtMS, number})
}

// runMayStart reports whether a run of the task was ordered that is not known to have
// started.
func (t *task) runMayStart() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.startedAt == 0 })
}

// releaseEnds lets the ends of the task be acknowledged when no run of it may start any
// more.
func (t *task) releaseEnds() {
	c := t.step.job.core
	ends, held := c.heldEnds[t]
	if !held || t.runMayStart() {
		return
	}
	delete(c.heldEnds, t)
	for _, e := range ends {
		e.host.checkUnstoredEnds()
	}
}

// lastReleasedEnd returns the number of the last end up to last before which the host
// has no held end.
func (h *host) lastReleasedEnd(last uint64) uint64 {
	for _, ends := range h.core.heldEnds {
		for _, e := range ends {
			if e.host == h && e.startedAtMS == h.info.StartedAtMS {
				last = min(last, e.number-1)
			}
		}
	}
	return last
}
