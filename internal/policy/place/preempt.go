package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Preemption is the worker that an urgent job takes and what is evicted for
// it. Without victims, tasks that already stop free enough.
type Preemption struct {
	Worker  model.WorkerID
	Victims []model.AttemptID
}

// Victims chooses what to evict for an urgent job that fits nowhere. Work
// that a yields-first selector names yields first, in the order of the
// selectors, then work that is not long-running, then the least lost work.
// Urgent work is never evicted, and nothing is evicted for a job that is not
// urgent or whose team's quota leaves no room. ok is false when no choice of
// victims makes room.
func Victims(s Snapshot, job Job) (choice Preemption, ok bool) {
	quota, limited := s.Quotas[job.Spec.Team]
	team := budget{s.TeamUse[job.Spec.Team], quota, limited}
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

type victimSelector struct {
	rules   *Rules
	job     *Job
	profile profile
	claimed map[model.WorkerID]model.Resources
}

// harm rates a set of victims: the one that yields last decides.
type evictionCost struct {
	maxYieldRank int // of the victim that yields last, -1 without victims
	longRunning  int // long-running victims
	lostWork     int64
	victims      int
}

func (h evictionCost) compare(o evictionCost) int {
	return cmp.Or(cmp.Compare(h.maxYieldRank, o.maxYieldRank), cmp.Compare(h.longRunning, o.longRunning), cmp.Compare(h.lostWork, o.lostWork), cmp.Compare(h.victims, o.victims))
}

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

// worker returns the victims on one worker, none when they cannot make room.
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

// spare drops the victims that are not needed: a later victim can make an
// earlier one unnecessary. It spares the dearest first.
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

// fits reports whether the job fits when the first n of the tasks are gone.
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
