package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// wait is how long a job has found no place.
type waitRecord struct {
	rounds          int
	lastRound       uint64         // round in which the job last waited
	worker          model.WorkerID // empty: none
	reservedAtRound int            // value of rounds when the worker was chosen
}

// keep chooses workers that get no further work until the jobs that have
// waited longest fit, so that a stream of small jobs cannot starve a large
// one. An urgent job may still use a kept worker.
func (p *Planner) reserveWorkers(s *Snapshot) {
	limit := cmp.Or(p.opts.MaxReservedWorkers, max(1, len(p.byFree)/workersPerReservation))
	var due []*Job
	reserved := 0
	for i := range s.Jobs {
		w := p.waits[s.Jobs[i].Spec.ID]
		if w == nil || w.rounds < p.opts.ReserveAfter {
			continue
		}
		if p.stillReserved(w) && reserved < limit {
			p.views[w.worker].reserved = true
			reserved++
			continue
		}
		w.worker = ""
		due = append(due, &s.Jobs[i])
	}
	slices.SortStableFunc(due, func(a, b *Job) int {
		if c := cmp.Compare(p.waits[b.Spec.ID].rounds, p.waits[a.Spec.ID].rounds); c != 0 {
			return c
		}
		return cmp.Compare(a.SubmitOrder, b.SubmitOrder)
	})
	p.reservationCredit = min(p.reservationCredit+reservedTimeShare*float64(limit)-float64(reserved), float64(p.opts.ReserveAfter*limit))
	for _, j := range due {
		if reserved == limit || p.reservationCredit <= 0 {
			return
		}
		if v := p.nearestFit(j); v != nil {
			w := p.waits[j.Spec.ID]
			w.worker, w.reservedAtRound, v.reserved = v.id, w.rounds, true
			reserved++
		}
	}
}

// stays reports whether a kept worker remains the choice. After as many
// rounds as it took to get one, the choice is made again, because a task on
// the worker may run very long.
func (p *Planner) stillReserved(w *waitRecord) bool {
	v := p.views[w.worker]
	return v != nil && !v.reserved && v.state == WorkerReady && w.rounds-w.reservedAtRound < p.opts.ReserveAfter
}

// nearest returns the worker that needs the least more room for the job.
func (p *Planner) nearestFit(j *Job) *view {
	var best *view
	var minShare float64
	p.rules.fillProfile(&p.scratch, j.Labels)
	for _, v := range p.byFree {
		if v.reserved || v.state != WorkerReady || !j.Size.Fits(v.emptyCapacity) {
			continue
		}
		if reason, _ := p.rules.conflict(&v.services, &p.scratch); reason != ReasonNone {
			continue // no task's end can lift it
		}
		missing := j.Size.Sub(v.available()).Max(model.Resources{})
		if share := dominantShare(missing, v.capacity); best == nil || share < minShare {
			best, minShare = v, share
		}
	}
	return best
}

// count notes the jobs that found no place in this round and forgets others.
func (p *Planner) recordWaits(waiting []Verdict) {
	for i := range waiting {
		w := p.waits[waiting[i].Job]
		switch waiting[i].Reason {
		case ReasonImpossible, ReasonQuota, ReasonRoundLimit, ReasonWorkerState:
			// Keeping a worker would not help, but the wait so far counts.
			if w != nil {
				w.lastRound = p.round
			}
			continue
		}
		if w == nil {
			w = &waitRecord{}
			p.waits[waiting[i].Job] = w
		}
		w.rounds, w.lastRound = w.rounds+1, p.round
		waiting[i].Rounds = w.rounds
	}
	for id, w := range p.waits {
		if w.lastRound != p.round {
			delete(p.waits, id)
		}
	}
}
