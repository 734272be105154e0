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
	e := evictor{rules: rules, job: &job, profile: rules.profile(job.Labels), claimed: map[model.WorkerID]model.Resources{}}
	for _, c := range s.Claims {
		if c.Job != job.Spec.ID {
			e.claimed[c.Worker] = e.claimed[c.Worker].Add(c.Size)
		}
	}
	var least harm
	for i := range s.Workers {
		victims, h, fits := e.worker(&s.Workers[i])
		if fits && (!ok || h.compare(least) < 0) {
			choice, least, ok = Preemption{s.Workers[i].ID, attempts(victims)}, h, true
		}
	}
	return choice, ok
}

type evictor struct {
	rules   *Rules
	job     *Job
	profile profile
	claimed map[model.WorkerID]model.Resources
}

// harm rates a set of victims: the one that yields last decides.
type harm struct {
	rank  int // of the victim that yields last, -1 without victims
	long  int // long-running victims
	lost  int64
	count int
}

func (h harm) compare(o harm) int {
	return cmp.Or(cmp.Compare(h.rank, o.rank), cmp.Compare(h.long, o.long), cmp.Compare(h.lost, o.lost), cmp.Compare(h.count, o.count))
}

func (e *evictor) order(a, b Task) int {
	long := func(t Task) int {
		if t.LongRunning {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(e.rules.YieldRank(a.Labels), e.rules.YieldRank(b.Labels)), cmp.Compare(long(a), long(b)),
		cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(b.Size.CPU, a.Size.CPU), cmp.Compare(a.Attempt.Job, b.Attempt.Job))
}

// worker returns the victims on one worker, none when they cannot make room.
func (e *evictor) worker(w *Worker) ([]Task, harm, bool) {
	if w.State != WorkerReady {
		return nil, harm{}, false
	}
	var may []Task
	stays := *w
	stays.Tasks = nil
	for _, t := range w.Tasks {
		switch {
		case t.Stopping:
			stays.Charged = stays.Charged.Sub(t.Size)
		case t.Urgent:
			stays.Tasks = append(stays.Tasks, t)
		default:
			may = append(may, t)
		}
	}
	slices.SortStableFunc(may, e.order)
	n := 0
	for ; !e.fits(&stays, may, n); n++ {
		if n == len(may) {
			return nil, harm{}, false
		}
	}
	return e.spare(&stays, may, n)
}

// spare drops the victims that are not needed: a later victim can make an
// earlier one unnecessary. It spares the dearest first.
func (e *evictor) spare(stays *Worker, may []Task, n int) ([]Task, harm, bool) {
	victims, kept := may[:n:n], slices.Clone(may[n:])
	for i := len(victims) - 1; i >= 0; i-- {
		rest := slices.Delete(slices.Clone(victims), i, i+1)
		if e.fits(stays, append(slices.Clone(rest), append(kept, victims[i])...), len(rest)) {
			kept, victims = append(kept, victims[i]), rest
		}
	}
	return victims, e.harm(victims), true
}

// fits reports whether the job fits when the first n of the tasks are gone.
func (e *evictor) fits(w *Worker, tasks []Task, n int) bool {
	left := *w
	for _, t := range tasks[:n] {
		left.Charged = left.Charged.Sub(t.Size)
	}
	if !e.job.Size.Fits(w.Capacity.Sub(left.Charged).Sub(e.claimed[w.ID])) {
		return false
	}
	left.Tasks = append(slices.Clone(w.Tasks), tasks[n:]...)
	v := newView(&left, e.rules)
	v.claimed = e.claimed[w.ID]
	reason, _ := v.check(e.rules, &e.profile, e.job.Size, v.available())
	return reason == ReasonNone
}

func (e *evictor) harm(victims []Task) harm {
	h := harm{rank: -1, count: len(victims)}
	for _, t := range victims {
		h.rank = max(h.rank, e.rules.YieldRank(t.Labels))
		h.lost += int64(t.LostWork)
		if t.LongRunning {
			h.long++
		}
	}
	return h
}

func attempts(tasks []Task) []model.AttemptID {
	ids := make([]model.AttemptID, len(tasks))
	for i, t := range tasks {
		ids[i] = t.Attempt
	}
	return ids
}
