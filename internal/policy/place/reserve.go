package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// wait is how long a job has found no place.
type wait struct {
	rounds int
	seen   uint64         // round in which the job last waited
	kept   model.WorkerID // empty: none
	since  int            // value of rounds when the worker was chosen
}

// keep chooses workers that get no further work until the jobs that have
// waited longest fit, so that a stream of small jobs cannot starve a large
// one. An urgent job may still use a kept worker.
func (p *Planner) keep(s *Snapshot) {
	limit := cmp.Or(p.opts.MaxReservedWorkers, max(1, len(p.byFree)/workersForEachKept))
	var due []*Job
	kept := 0
	for i := range s.Jobs {
		w := p.waits[s.Jobs[i].Spec.ID]
		if w == nil || w.rounds < p.opts.ReserveAfter {
			continue
		}
		if p.stays(w) && kept < limit {
			p.views[w.kept].kept = true
			kept++
			continue
		}
		w.kept = ""
		due = append(due, &s.Jobs[i])
	}
	slices.SortStableFunc(due, func(a, b *Job) int {
		if c := cmp.Compare(p.waits[b.Spec.ID].rounds, p.waits[a.Spec.ID].rounds); c != 0 {
			return c
		}
		return cmp.Compare(a.SubmitOrder, b.SubmitOrder)
	})
	p.credit = min(p.credit+keptShare*float64(limit)-float64(kept), float64(p.opts.ReserveAfter*limit))
	for _, j := range due {
		if kept == limit || p.credit <= 0 {
			return
		}
		if v := p.nearest(j); v != nil {
			w := p.waits[j.Spec.ID]
			w.kept, w.since, v.kept = v.id, w.rounds, true
			kept++
		}
	}
}

// stays reports whether a kept worker remains the choice. After as many
// rounds as it took to get one, the choice is made again, because a task on
// the worker may run very long.
func (p *Planner) stays(w *wait) bool {
	v := p.views[w.kept]
	return v != nil && !v.kept && v.state == WorkerReady && w.rounds-w.since < p.opts.ReserveAfter
}

// nearest returns the worker that needs the least more room for the job.
func (p *Planner) nearest(j *Job) *view {
	var best *view
	var least float64
	p.rules.fill(&p.scratch, j.Labels)
	for _, v := range p.byFree {
		if v.kept || v.state != WorkerReady || !j.Size.Fits(v.empty) {
			continue
		}
		if reason, _ := p.rules.conflict(&v.services, &p.scratch); reason != ReasonNone {
			continue // no task's end can lift it
		}
		missing := j.Size.Sub(v.available()).Max(model.Resources{})
		if c := dominant(missing, v.capacity); best == nil || c < least {
			best, least = v, c
		}
	}
	return best
}

// count notes the jobs that found no place in this round and forgets others.
func (p *Planner) count(waiting []Verdict) {
	for i := range waiting {
		w := p.waits[waiting[i].Job]
		switch waiting[i].Reason {
		case ReasonImpossible, ReasonQuota, ReasonRoundLimit, ReasonWorkerState:
			// Keeping a worker would not help, but the wait so far counts.
			if w != nil {
				w.seen = p.round
			}
			continue
		}
		if w == nil {
			w = &wait{}
			p.waits[waiting[i].Job] = w
		}
		w.rounds, w.seen = w.rounds+1, p.round
		waiting[i].Rounds = w.rounds
	}
	for id, w := range p.waits {
		if w.seen != p.round {
			delete(p.waits, id)
		}
	}
}
