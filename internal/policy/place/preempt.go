package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Preemption is the worker for an urgent job and the attempts to evict from
// it. Victims is empty when the tasks that already stop free enough.
type Preemption struct {
	Worker  model.WorkerID
	Victims []model.AttemptID
}

// Victims chooses the attempts to evict for an urgent job that fits no worker.
// Tasks that match a yields-first selector are evicted first, in the order of
// the selectors, then tasks that are not long-running, then those that lose
// the least work. Urgent tasks are never evicted, and nothing is evicted for a
// job that is not urgent or would exceed its team's quota. ok is false when no
// set of victims frees enough resources on one worker.
func Victims(s Snapshot, job Job) (choice Preemption, ok bool) {
	quota, hasQuota := s.Quotas[job.Spec.Team]
	team := budget{s.TeamUse[job.Spec.Team], quota, hasQuota}
	if !job.Spec.Urgent || !team.allows(job.Size) {
		return Preemption{}, false
	}
	rules, _ := CompileRules(s.Selectors)
	selector := victimSelector{rules: rules, job: &job, profile: rules.newProfile(job.Labels), claimed: map[model.WorkerID]model.Resources{}}
	for _, c := range s.Claims {
		if c.Job != job.Spec.ID {
			selector.claimed[c.Worker] = selector.claimed[c.Worker].Add(c.Size)
		}
	}
	var minCost evictionCost
	for i := range s.Workers {
		victims, cost, fits := selector.selectOn(&s.Workers[i])
		if fits && (!ok || cost.compare(minCost) < 0) {
			choice, minCost, ok = Preemption{s.Workers[i].ID, attemptIDs(victims)}, cost, true
		}
	}
	return choice, ok
}

// victimSelector chooses the victims for one job.
type victimSelector struct {
	rules   *Rules
	job     *Job
	profile profile
	claimed map[model.WorkerID]model.Resources // set aside by claims of other jobs
}

// evictionCost rates a set of victims. Its fields are compared in their order.
type evictionCost struct {
	maxYieldRank int   // highest YieldRank of the victims, -1 without victims
	longRunning  int   // number of long-running victims
	lostWork     int64 // nanoseconds
	victims      int   // number of victims
}

func (c evictionCost) compare(o evictionCost) int {
	return cmp.Or(cmp.Compare(c.maxYieldRank, o.maxYieldRank), cmp.Compare(c.longRunning, o.longRunning), cmp.Compare(c.lostWork, o.lostWork), cmp.Compare(c.victims, o.victims))
}

// compareVictims orders tasks by preference for eviction, the preferred first.
func (e *victimSelector) compareVictims(a, b Task) int {
	longRunning := func(t Task) int {
		if t.LongRunning {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(e.rules.YieldRank(a.Labels), e.rules.YieldRank(b.Labels)), cmp.Compare(longRunning(a), longRunning(b)),
		cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(b.Size.CPU, a.Size.CPU), cmp.Compare(a.Attempt.Job, b.Attempt.Job))
}

// selectOn returns the victims on one worker and their cost. The last result
// is false when the job does not fit even if all candidates are evicted.
func (e *victimSelector) selectOn(w *Worker) ([]Task, evictionCost, bool) {
	if w.State != WorkerReady {
		return nil, evictionCost{}, false
	}
	var candidates []Task
	remaining := *w
	remaining.Tasks = nil
	for _, t := range w.Tasks {
		switch {
		case t.Stopping:
			remaining.Charged = remaining.Charged.Sub(t.Size)
		case t.Urgent:
			remaining.Tasks = append(remaining.Tasks, t)
		default:
			candidates = append(candidates, t)
		}
	}
	slices.SortStableFunc(candidates, e.compareVictims)
	n := 0
	for ; !e.fitsWithout(&remaining, candidates, n); n++ {
		if n == len(candidates) {
			return nil, evictionCost{}, false
		}
	}
	return e.dropUnneeded(&remaining, candidates, n)
}

// dropUnneeded removes the victims that are not needed, the least preferred
// first: a later victim can make an earlier one unnecessary. The victims are
// the first n candidates; remaining is the worker with only the tasks that are
// never evicted. The last result is always true.
func (e *victimSelector) dropUnneeded(remaining *Worker, candidates []Task, n int) ([]Task, evictionCost, bool) {
	victims, kept := candidates[:n:n], slices.Clone(candidates[n:])
	for i := len(victims) - 1; i >= 0; i-- {
		rest := slices.Delete(slices.Clone(victims), i, i+1)
		if e.fitsWithout(remaining, append(slices.Clone(rest), append(kept, victims[i])...), len(rest)) {
			kept, victims = append(kept, victims[i]), rest
		}
	}
	return victims, e.cost(victims), true
}

// fitsWithout reports whether the job fits when the first n of the tasks are
// evicted and the others stay.
func (e *victimSelector) fitsWithout(w *Worker, tasks []Task, n int) bool {
	remaining := *w
	for _, t := range tasks[:n] {
		remaining.Charged = remaining.Charged.Sub(t.Size)
	}
	if !e.job.Size.Fits(w.Capacity.Sub(remaining.Charged).Sub(e.claimed[w.ID])) {
		return false
	}
	remaining.Tasks = append(slices.Clone(w.Tasks), tasks[n:]...)
	v := newView(&remaining, e.rules)
	v.claimed = e.claimed[w.ID]
	reason, _ := v.check(e.rules, &e.profile, e.job.Size, v.available())
	return reason == ReasonNone
}

func (e *victimSelector) cost(victims []Task) evictionCost {
	cost := evictionCost{maxYieldRank: -1, victims: len(victims)}
	for _, t := range victims {
		cost.maxYieldRank = max(cost.maxYieldRank, e.rules.YieldRank(t.Labels))
		cost.lostWork += int64(t.LostWork)
		if t.LongRunning {
			cost.longRunning++
		}
	}
	return cost
}

func attemptIDs(tasks []Task) []model.AttemptID {
	ids := make([]model.AttemptID, len(tasks))
	for i, t := range tasks {
		ids[i] = t.Attempt
	}
	return ids
}
