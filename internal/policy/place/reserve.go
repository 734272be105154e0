package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// waitRecord counts the rounds in which a job was not placed and holds the
// worker that is reserved for it.
type waitRecord struct {
	rounds          int
	lastRound       uint64         // last round in which the job waited
	worker          model.WorkerID // reserved for the job; empty if none is
	reservedAtRound int            // value of rounds when the worker was reserved
}

// reserveWorkers reserves workers for the jobs that have waited longest.
// Reserved workers get no other work until the job fits, so that a stream of
// small jobs cannot starve a large one. Urgent jobs may still use them.
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

// stillReserved reports whether the job keeps its reserved worker. After
// ReserveAfter rounds another worker is chosen, because a task on the present
// one may run very long.
func (p *Planner) stillReserved(w *waitRecord) bool {
	v := p.views[w.worker]
	return v != nil && !v.reserved && v.state == WorkerReady && w.rounds-w.reservedAtRound < p.opts.ReserveAfter
}

// nearestFit returns the worker on which the job lacks the smallest dominant
// share of resources, or nil if no worker can be reserved for it.
func (p *Planner) nearestFit(j *Job) *view {
	var best *view
	var minShare float64
	p.rules.fillProfile(&p.scratch, j.Labels)
	for _, v := range p.byFree {
		if v.reserved || v.state != WorkerReady || !j.Size.Fits(v.emptyCapacity) {
			continue
		}
		if reason, _ := p.rules.conflict(&v.services, &p.scratch); reason != ReasonNone {
			continue // services stay, so the conflict does too
		}
		missing := j.Size.Sub(v.available()).Max(model.Resources{})
		if share := dominantShare(missing, v.capacity); best == nil || share < minShare {
			best, minShare = v, share
		}
	}
	return best
}

// recordWaits counts the round for the jobs that could not be placed, and
// deletes the records of all other jobs.
func (p *Planner) recordWaits(waiting []Verdict) {
	for i := range waiting {
		w := p.waits[waiting[i].Job]
		switch waiting[i].Reason {
		case ReasonImpossible, ReasonQuota, ReasonRoundLimit, ReasonWorkerState:
			// A reserved worker would not help, so the round does not count,
			// but the earlier ones still do.
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
