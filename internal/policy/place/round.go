package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// round is the work of one Plan call.
type round struct {
	p      *Planner
	s      *Snapshot
	plan   Plan
	failed map[failKey]Verdict
	claims map[model.JobID]Claim
	done   map[model.JobID]bool // tried as a job with a claim or a kept worker
}

// failKey identifies jobs that the filters cannot tell apart. Within a round
// room only shrinks and rules only gain occupants, so what found no place
// once finds none later.
type failKey struct {
	size            model.Resources
	subject, object string
}

// first reports whether a job has a claim or a kept worker.
func (r *round) first(job model.JobID) bool {
	if _, ok := r.claims[job]; ok {
		return true
	}
	w := r.p.waits[job]
	return w != nil && w.kept != ""
}

// tryKept tries the worker that is kept for the job before the others.
func (r *round) tryKept(j *Job, b *budget) {
	r.done[j.Spec.ID] = true
	claim, claimed := r.claims[j.Spec.ID]
	worker := claim.Worker
	if !claimed {
		worker = r.p.waits[j.Spec.ID].kept
	}
	v := r.p.views[worker]
	if v != nil && b.allows(j.Size) && len(r.plan.Assignments) < r.p.opts.MaxStarts {
		r.p.rules.fill(&r.p.scratch, j.Labels)
		// The claim becomes the task's charge, or room that others may use.
		room := v.available().Add(claim.Size)
		if reason, _ := v.check(r.p.rules, &r.p.scratch, j.Size, room); reason == ReasonNone {
			r.p.release(v, claim.Size, !claimed)
			r.assign(j, b, v)
			return
		}
	}
	r.try(j, b)
}

// release returns a claim's room to a view, or the kept worker to all.
func (p *Planner) release(v *view, size model.Resources, kept bool) {
	v.claimed, v.kept = v.claimed.Sub(size), v.kept && !kept
	slices.SortFunc(p.byFree, byAvailable)
}

func (r *round) try(j *Job, b *budget) {
	if verdict, ok := r.refusal(j, b); ok {
		r.wait(j, verdict)
		return
	}
	r.p.rules.fill(&r.p.scratch, j.Labels)
	key := failKey{j.Size, string(bytesOf(r.p.scratch.subject)), string(bytesOf(r.p.scratch.object))}
	if verdict, ok := r.failed[key]; ok {
		r.wait(j, verdict)
		return
	}
	avoid := r.p.avoid(j)
	if v := r.p.best(j, avoid); v != nil {
		r.assign(j, b, v)
		return
	}
	verdict := r.p.tally(j, avoid)
	if len(avoid) == 0 {
		r.failed[key] = verdict
	}
	r.wait(j, verdict)
}

// refusal gives the verdicts that need no look at each worker.
func (r *round) refusal(j *Job, b *budget) (Verdict, bool) {
	switch {
	case r.p.impossible(j.Size):
		return Verdict{Reason: ReasonImpossible}, true
	case !b.allows(j.Size):
		return Verdict{Reason: ReasonQuota}, true
	case len(r.plan.Assignments) >= r.p.opts.MaxStarts:
		return Verdict{Reason: ReasonRoundLimit}, true
	}
	return Verdict{}, false
}

func (r *round) wait(j *Job, v Verdict) {
	v.Job = j.Spec.ID
	if w := r.p.waits[v.Job]; w != nil {
		v.Rounds, v.ReservedWorker = w.rounds, w.kept
	}
	r.plan.Unplaced = append(r.plan.Unplaced, v)
}

func (r *round) assign(j *Job, b *budget, v *view) {
	b.use = b.use.Add(j.Size)
	r.p.take(v, r.p.domains.class(j.Spec.Team, j.Spec.Class), j.Size)
	r.plan.Assignments = append(r.plan.Assignments,
		Assignment{Job: j.Spec.ID, Worker: v.id, Team: j.Spec.Team, Size: j.Size, Labels: j.Labels})
}

// impossible reports whether a size fits no worker even when it is empty.
// Without any worker nothing is known, so nothing is impossible.
func (p *Planner) impossible(size model.Resources) bool {
	for _, v := range p.byFree {
		if size.Fits(v.empty) {
			return false
		}
	}
	return len(p.byFree) > 0
}

// avoid returns the workers that the job avoids: none when they are the only
// ones that could hold it.
func (p *Planner) avoid(j *Job) []model.WorkerID {
	if len(j.Avoid) == 0 {
		return nil
	}
	for _, v := range p.byFree {
		if j.Size.Fits(v.empty) && v.state != WorkerDown && !slices.Contains(j.Avoid, v.id) {
			return j.Avoid
		}
	}
	return nil
}

// best returns the cheapest of the first candidates that pass the filters, in
// ascending order of free processors; nil when none passes. The profile of
// the job is in scratch.
func (p *Planner) best(j *Job, avoid []model.WorkerID) *view {
	class := p.domains.class(j.Spec.Team, j.Spec.Class)
	from, _ := slices.BinarySearchFunc(p.byFree, j.Size.CPU, func(v *view, cpu model.MilliCPU) int {
		return cmp.Compare(v.available().CPU, cpu)
	})
	var best *view
	var least float64
	found := 0
	for _, v := range p.byFree[from:] {
		if v.kept && !j.Spec.Urgent || slices.Contains(avoid, v.id) {
			continue
		}
		if reason, _ := v.check(p.rules, &p.scratch, j.Size, v.available()); reason != ReasonNone {
			continue
		}
		if c := v.cost(p.domains, class, j.Size); best == nil || c < least {
			best, least = v, c
		}
		if found++; found == p.opts.Candidates {
			break
		}
	}
	return best
}

// tally counts the workers by reason for a job that found no place, and gives
// the most frequent one of those that accept tasks as the job's reason.
func (p *Planner) tally(j *Job, avoid []model.WorkerID) Verdict {
	var counts, rules [len(reasonNames)]int
	for _, w := range p.byFree {
		reason, rule := p.reject(w, j.Spec.Urgent, j.Size)
		if reason == ReasonNone && slices.Contains(avoid, w.id) {
			reason = ReasonAvoid
		}
		counts[reason]++
		rules[reason] = rule
	}
	v := Verdict{Reason: ReasonWorkerState, Workers: map[Reason]int{}}
	most := 0
	for i, n := range counts {
		reason := Reason(i)
		if n > 0 {
			v.Workers[reason] = n
		}
		if reason != ReasonWorkerState && n > most {
			most, v.Reason = n, reason
		}
	}
	if v.Reason == ReasonMayShare || v.Reason == ReasonMustStayApart {
		v.Selector = p.rules.list[rules[v.Reason]].name
	}
	return v
}

// reject is check with kept workers; the profile of the job is in scratch.
func (p *Planner) reject(v *view, urgent bool, size model.Resources) (Reason, int) {
	if v.kept && !urgent && v.accepts() {
		return ReasonReserved, -1
	}
	return v.check(p.rules, &p.scratch, size, v.available())
}

// bytesOf encodes a rule set as a map key.
func bytesOf(s ruleSet) []byte {
	b := make([]byte, 0, 8*len(s))
	for _, w := range s {
		for shift := 0; shift < 64; shift += 8 {
			b = append(b, byte(w>>shift))
		}
	}
	return b
}
