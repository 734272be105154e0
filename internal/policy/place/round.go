package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// round is the state of one Plan call.
type round struct {
	planner    *Planner
	snapshot   *Snapshot
	plan       Plan
	unplaced   map[jobKey]Verdict // of jobs that no worker could take in this round
	claims     map[model.JobID]Claim
	triedFirst map[model.JobID]bool // jobs with a claim or a reserved worker
}

// jobKey identifies jobs that the filters treat alike. Within a round, free
// resources only shrink and the rules only see more work, so once a job
// cannot be placed, later jobs with the same key cannot be placed either.
type jobKey struct {
	size            model.Resources
	subject, object string
}

// hasReservation reports whether a job has a claim or a reserved worker.
func (r *round) hasReservation(job model.JobID) bool {
	if _, ok := r.claims[job]; ok {
		return true
	}
	w := r.planner.waits[job]
	return w != nil && w.worker != ""
}

// tryReserved tries the worker that is claimed or reserved for the job before
// the others.
func (r *round) tryReserved(j *Job, b *budget) {
	r.triedFirst[j.Spec.ID] = true
	claim, claimed := r.claims[j.Spec.ID]
	worker := claim.Worker
	if !claimed {
		worker = r.planner.waits[j.Spec.ID].worker
	}
	v := r.planner.views[worker]
	if v != nil && b.allows(j.Size) && len(r.plan.Assignments) < r.planner.opts.MaxStarts {
		r.planner.rules.fillProfile(&r.planner.scratch, j.Labels)
		// The claimed resources are available to the job that holds the claim.
		available := v.available().Add(claim.Size)
		if reason, _ := v.check(r.planner.rules, &r.planner.scratch, j.Size, available); reason == ReasonNone {
			r.planner.releaseReservation(v, claim.Size, !claimed)
			r.assign(j, b, v)
			return
		}
	}
	r.try(j, b)
}

// releaseReservation ends a claim of the given size on a view and, if
// ownWorker is true, the reservation of the worker.
func (p *Planner) releaseReservation(v *view, size model.Resources, ownWorker bool) {
	v.claimed, v.reserved = v.claimed.Sub(size), v.reserved && !ownWorker
	slices.SortFunc(p.byFree, byAvailable)
}

// try assigns the job to the best worker or records why it is not placed.
func (r *round) try(j *Job, b *budget) {
	if verdict, ok := r.rejectEarly(j, b); ok {
		r.addUnplaced(j, verdict)
		return
	}
	r.planner.rules.fillProfile(&r.planner.scratch, j.Labels)
	key := jobKey{j.Size, string(encodeRuleSet(r.planner.scratch.subject)), string(encodeRuleSet(r.planner.scratch.object))}
	if verdict, ok := r.unplaced[key]; ok {
		r.addUnplaced(j, verdict)
		return
	}
	avoid := r.planner.avoid(j)
	if v := r.planner.best(j, avoid); v != nil {
		r.assign(j, b, v)
		return
	}
	verdict := r.planner.diagnose(j, avoid)
	if len(avoid) == 0 {
		r.unplaced[key] = verdict
	}
	r.addUnplaced(j, verdict)
}

// rejectEarly returns the verdict for a job that can be rejected without
// running the filters on each worker. The second result is false for other
// jobs.
func (r *round) rejectEarly(j *Job, b *budget) (Verdict, bool) {
	switch {
	case r.planner.impossible(j.Size):
		return Verdict{Reason: ReasonImpossible}, true
	case !b.allows(j.Size):
		return Verdict{Reason: ReasonQuota}, true
	case len(r.plan.Assignments) >= r.planner.opts.MaxStarts:
		return Verdict{Reason: ReasonRoundLimit}, true
	}
	return Verdict{}, false
}

// addUnplaced records that the job was not placed.
func (r *round) addUnplaced(j *Job, v Verdict) {
	v.Job = j.Spec.ID
	if w := r.planner.waits[v.Job]; w != nil {
		v.Rounds, v.ReservedWorker = w.rounds, w.worker
	}
	r.plan.Unplaced = append(r.plan.Unplaced, v)
}

// assign places the job on the worker. The profile of the job is in scratch.
func (r *round) assign(j *Job, b *budget, v *view) {
	b.usage = b.usage.Add(j.Size)
	r.planner.charge(v, r.planner.domains.class(j.Spec.Team, j.Spec.Class), j.Size)
	r.plan.Assignments = append(r.plan.Assignments,
		Assignment{Job: j.Spec.ID, Worker: v.id, Team: j.Spec.Team, Size: j.Size, Labels: j.Labels})
}

// impossible reports whether a size exceeds every worker even when it is
// empty. It is false while no worker is known.
func (p *Planner) impossible(size model.Resources) bool {
	for _, v := range p.byFree {
		if size.Fits(v.emptyCapacity) {
			return false
		}
	}
	return len(p.byFree) > 0
}

// avoid returns the workers that the job avoids, or nil when they are the only
// ones that are large enough for it.
func (p *Planner) avoid(j *Job) []model.WorkerID {
	if len(j.Avoid) == 0 {
		return nil
	}
	for _, v := range p.byFree {
		if j.Size.Fits(v.emptyCapacity) && v.state != WorkerDown && !slices.Contains(j.Avoid, v.id) {
			return j.Avoid
		}
	}
	return nil
}

// best returns the worker with the lowest cost, or nil when none passes the
// filters. It scores the first Options.Candidates workers that pass, in
// ascending order of available processors. The profile of the job is in
// scratch.
func (p *Planner) best(j *Job, avoid []model.WorkerID) *view {
	class := p.domains.class(j.Spec.Team, j.Spec.Class)
	from, _ := slices.BinarySearchFunc(p.byFree, j.Size.CPU, func(v *view, cpu model.MilliCPU) int {
		return cmp.Compare(v.available().CPU, cpu)
	})
	var best *view
	var minCost float64
	scored := 0
	for _, v := range p.byFree[from:] {
		if v.reserved && !j.Spec.Urgent || slices.Contains(avoid, v.id) {
			continue
		}
		if reason, _ := v.check(p.rules, &p.scratch, j.Size, v.available()); reason != ReasonNone {
			continue
		}
		if cost := v.cost(p.domains, class, j.Size); best == nil || cost < minCost {
			best, minCost = v, cost
		}
		if scored++; scored == p.opts.Candidates {
			break
		}
	}
	return best
}

// diagnose returns the verdict for a job that no worker can take: the number
// of workers by reason, and as the job's reason the most frequent one other
// than the state of the worker.
func (p *Planner) diagnose(j *Job, avoid []model.WorkerID) Verdict {
	var counts, rules [len(reasonNames)]int
	for _, w := range p.byFree {
		reason, rule := p.checkWithReservations(w, j.Spec.Urgent, j.Size)
		if reason == ReasonNone && slices.Contains(avoid, w.id) {
			reason = ReasonAvoid
		}
		counts[reason]++
		rules[reason] = rule
	}
	v := Verdict{Reason: ReasonWorkerState, Workers: map[Reason]int{}}
	maxCount := 0
	for i, n := range counts {
		reason := Reason(i)
		if n > 0 {
			v.Workers[reason] = n
		}
		if reason != ReasonWorkerState && n > maxCount {
			maxCount, v.Reason = n, reason
		}
	}
	if v.Reason == ReasonMayShare || v.Reason == ReasonMustStayApart {
		v.Selector = p.rules.list[rules[v.Reason]].name
	}
	return v
}

// checkWithReservations is check, except that reserved workers reject jobs
// that are not urgent. The profile of the job is in scratch.
func (p *Planner) checkWithReservations(v *view, urgent bool, size model.Resources) (Reason, int) {
	if v.reserved && !urgent && v.accepts() {
		return ReasonReserved, -1
	}
	return v.check(p.rules, &p.scratch, size, v.available())
}

// encodeRuleSet encodes a rule set for use in a map key.
func encodeRuleSet(s ruleSet) []byte {
	b := make([]byte, 0, 8*len(s))
	for _, w := range s {
		for shift := 0; shift < 64; shift += 8 {
			b = append(b, byte(w>>shift))
		}
	}
	return b
}
