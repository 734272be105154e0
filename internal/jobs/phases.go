package jobs

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Phases returns the changes of visible phases since the last call.
func (c *Core) Phases() []msg.JobPhase {
	out := c.phases
	c.phases = nil
	return out
}

// PhaseChanges returns the number of the newest change of a visible phase. The
// numbers rise by one with each change, the admission of a job included.
func (c *Core) PhaseChanges() uint64 { return c.phaseChanges }

// Phase returns the visible phase of a job, and whether the job is known.
func (c *Core) Phase(id workload.JobID) (msg.JobPhase, bool) {
	j, known := c.jobs[id]
	if !known {
		return msg.JobPhase{}, false
	}
	return j.visiblePhase(), true
}

// JobsChangedAfter returns the jobs whose newest change of the visible phase has
// a number above n: the queued ones, the running ones, and those that have
// ended, each ordered by job.
func (c *Core) JobsChangedAfter(n uint64) []workload.JobID {
	var list []*job
	for _, j := range c.jobs {
		if j.phaseChange > n {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.visiblePhase().Phase, b.visiblePhase().Phase), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	ids := make([]workload.JobID, len(list))
	for i, j := range list {
		ids[i] = j.spec.ID
	}
	return ids
}

// numberPhase numbers a change of the job's visible phase.
func (j *job) numberPhase() {
	j.core.phaseChanges++
	j.phaseChange = j.core.phaseChanges
}

// publish adds the job's visible phase to the changes for callers.
func (j *job) publish() {
	j.numberPhase()
	j.core.phases = append(j.core.phases, j.visiblePhase())
}

// visiblePhase returns the phase that callers may see. A final phase is visible
// only after it is stored. Cancelled is visible at once, because the cancellation
// was stored before the core received it.
func (j *job) visiblePhase() msg.JobPhase {
	p := j.phase()
	if p.Final() && p != workload.Cancelled && j.storedPhase != p {
		p = workload.Running
	}
	visible := msg.JobPhase{ID: j.spec.ID, Queue: j.spec.Queue, Phase: p, Tasks: j.taskCount()}
	if p == workload.Failed {
		visible.Failure = j.failure
	}
	return visible
}

func (j *job) phase() workload.Phase { return workload.Phase(j.state) }
