package place

import (
	"fmt"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// TeamBudget is a team's usage and quota at the time of a verification.
type TeamBudget struct {
	Use     model.Resources
	Quota   model.Resources
	Limited bool // the team has a quota
}

// Verify checks an assignment against the newest state of its worker and
// team and returns ReasonNone if it holds. claimed is the amount of resources
// that claims set aside for other jobs on the worker.
func Verify(w Worker, a Assignment, rules *Rules, team TeamBudget, claimed model.Resources) Reason {
	if w.ID != a.Worker {
		return ReasonUnknownWorker
	}
	b := budget{team.Use, team.Quota, team.Limited}
	if !b.allows(a.Size) {
		return ReasonQuota
	}
	v := newView(&w, rules)
	v.claimed = claimed
	p := rules.newProfile(a.Labels)
	reason, _ := v.check(rules, &p, a.Size, v.available())
	return reason
}

// Explain returns for each worker whether it could take the job now. It
// returns nil when the job does not wait in the snapshot.
func Explain(s Snapshot, job model.JobID) []Explanation { return New(Options{}).Explain(s, job) }

// Explain returns for each worker whether it could take the job now, taking
// into account the workers that the planner reserved. It returns nil when the
// job does not wait in the snapshot.
func (p *Planner) Explain(s Snapshot, job model.JobID) []Explanation {
	var j *Job
	for i := range s.Jobs {
		if s.Jobs[i].Spec.ID == job {
			j = &s.Jobs[i]
		}
	}
	if j == nil {
		return nil
	}
	rules, _ := CompileRules(s.Selectors)
	profile := rules.newProfile(j.Labels)
	quota, hasQuota := s.Quotas[j.Spec.Team]
	team := budget{s.TeamUse[j.Spec.Team], quota, hasQuota}
	out := make([]Explanation, 0, len(s.Workers))
	for i := range s.Workers {
		out = append(out, p.explain(&s, &s.Workers[i], j, rules, &profile, &team))
	}
	return out
}

func (p *Planner) explain(s *Snapshot, w *Worker, j *Job, rules *Rules, profile *profile, team *budget) Explanation {
	v := newView(w, rules)
	for _, c := range s.Claims {
		if c.Worker == w.ID && c.Job != j.Spec.ID {
			v.claimed = v.claimed.Add(c.Size)
		}
	}
	r := Explanation{Worker: w.ID}
	reason, rule := v.check(rules, profile, j.Size, v.available())
	holder, reserved := p.reservedFor(w.ID)
	switch {
	case !j.Size.Fits(v.emptyCapacity):
		r.Reason = ReasonImpossible
		r.Text = fmt.Sprintf("needs %s; the empty worker has %s", amounts(j.Size), amounts(v.emptyCapacity))
	case !team.allows(j.Size):
		r.Reason = ReasonQuota
		r.Text = fmt.Sprintf("team %s uses %s of %s; the job needs %s", j.Spec.Team, amounts(team.usage), amounts(team.quota), amounts(j.Size))
	case reason == ReasonNone && slices.Contains(j.Avoid, w.ID):
		r.Reason, r.Text = ReasonAvoid, "the job failed on the worker"
	case reason == ReasonNone && reserved && holder != j.Spec.ID && !j.Spec.Urgent:
		r.Reason = ReasonReserved
		r.Text = fmt.Sprintf("the worker is reserved for job %s, which has waited %d rounds", holder, p.waits[holder].rounds)
	default:
		r.Reason = reason
		if rule >= 0 {
			r.Selector = rules.list[rule].name
		}
		r.Text = v.text(reason, r.Selector, j.Size)
	}
	return r
}

// reservedFor returns the job for which a worker is reserved.
func (p *Planner) reservedFor(w model.WorkerID) (model.JobID, bool) {
	for id, wait := range p.waits {
		if wait.worker == w {
			return id, true
		}
	}
	return "", false
}

// text explains a reason of view.check to an operator.
func (v *view) text(reason Reason, selector string, size model.Resources) string {
	switch reason {
	case ReasonWorkerState:
		if v.state == WorkerProbation {
			return "the worker is in probation and takes one task at a time"
		}
		return fmt.Sprintf("the worker is %s", v.state)
	case ReasonResources:
		return fmt.Sprintf("needs %s, free are %s", amounts(size), amounts(v.available()))
	case ReasonUnproven:
		return fmt.Sprintf("%d attempts on the worker have not yet run long enough to prove that it can run tasks", v.unproven)
	case ReasonMayShare, ReasonMustStayApart:
		return fmt.Sprintf("selector %s (%s) excludes the work on the worker", selector, reason)
	}
	return "can take the job"
}

func amounts(r model.Resources) string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%d mCPU, %d MiB, %d accelerators", r.CPU, r.Memory/mebibyte, r.Accelerators)
}
