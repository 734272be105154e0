package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// RunsChanged applies an agent's report of runs that started, may have
// started, were refused or ended. It ignores a report for another epoch or incarnation, or while the
// inventory of the host is missing.
func (c *Core) RunsChanged(name workload.HostName, m *msg.RunsChanged) {
	h, ok := c.hosts[name]
	if !ok || m.Epoch != c.epoch || !h.answered() || m.Instance != h.info.Instance || m.StartedAtMS != h.info.StartedAtMS {
		return
	}
	for _, id := range m.Started {
		if r, ok := h.runs[id]; ok {
			r.step(evStarted)
		}
	}
	for _, id := range m.Unconfirmed {
		if r, ok := h.runs[id]; ok {
			r.mayHaveStarted = true
		}
	}
	for _, id := range m.Refused {
		if r, ok := h.runs[id]; ok {
			r.step(evRefused)
		}
		c.dropEarly(id)
	}
	h.applyEnds(m.Ended)
}

// StartsUnsent records that starts could not be sent to an agent, which is as if it had
// refused them.
func (c *Core) StartsUnsent(name workload.HostName, m *msg.StartRuns) {
	h, ok := c.hosts[name]
	if !ok || m.Epoch != c.epoch {
		return
	}
	for i := range m.Starts {
		if r, ok := h.runs[m.Starts[i].Size.Run]; ok {
			r.step(evRefused)
		}
	}
}

// applyEnds applies the ends that were not applied before.
func (h *host) applyEnds(ends []msg.RunEnd) {
	for _, e := range ends {
		if e.Number <= h.endsApplied {
			continue
		}
		h.endsApplied = e.Number
		if r, ok := h.runs[e.Run]; ok {
			r.end = e
			r.step(evEnded)
		} else if t := h.core.task(e.Run.Task); t != nil {
			t.applyEnd(e, h)
		} else {
			h.core.keepEarly(e.Run, earlyRun{host: h, end: &e})
		}
	}
	h.checkUnstoredEnds()
}

// RunsProgress applies an agent's report on its runs and grants them a new lease,
// unless PermitLeases forbids it.
// It ignores a report for another epoch or incarnation, or while the inventory
// of the host is missing.
func (c *Core) RunsProgress(name workload.HostName, m *msg.RunsProgress) {
	h, ok := c.hosts[name]
	if !ok || m.Epoch != c.epoch || !h.answered() || m.Instance != h.info.Instance || m.StartedAtMS != h.info.StartedAtMS {
		return
	}
	if !c.leasesBarred {
		h.granted()
		c.send(h, &msg.LeaseGrant{Epoch: c.epoch, StartedAtMS: m.StartedAtMS, ClockMS: m.ClockMS, Interference: h.coefficients()})
	}
	reported := h.reportedRuns(m)
	h.observeInterference(reported)
	for _, r := range reported {
		r.run.updateStatus(r.status)
	}
}

// reportedRun is a run with its status in a report.
type reportedRun struct {
	run    *run
	status *msg.RunStatus
}

// reportedRuns returns the runs of a report that are charged to the host.
func (h *host) reportedRuns(m *msg.RunsProgress) []reportedRun {
	list := make([]reportedRun, 0, len(m.Runs))
	for i := range m.Runs {
		if r, ok := h.runs[m.Runs[i].Run]; ok {
			list = append(list, reportedRun{r, &m.Runs[i]})
		}
	}
	return list
}

// updateStatus records the reported status of the run.
func (r *run) updateStatus(s *msg.RunStatus) {
	r.status, r.statusAt = *s, r.core().now
	r.updateThrottledSince(s)
	r.checkSurvival()
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
}

// remaining estimates the time until the run ends.
func (r *run) remaining() time.Duration {
	const minProgressPercent = 5 // a lower progress gives no usable estimate
	ran := r.core().now - r.orderedAt
	if p := r.status.ProgressPercent; p >= minProgressPercent {
		return time.Duration(float64(ran) * float64(100-p) / float64(p))
	}
	return max(0, r.task.step.spec.Estimate-ran)
}
