package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
)

const gibibyte = 1 << 30

// resources returns an amount of processors and memory.
func resources(cores, gibibytes int64) model.Resources {
	return model.Resources{CPU: model.MilliCPU(cores * 1000), Memory: model.Bytes(gibibytes * gibibyte)}
}

// newWorker returns a ready worker that is charged with the tasks.
func newWorker(id string, size model.Resources, tasks ...Task) Worker {
	w := Worker{Worker: model.Worker{ID: model.WorkerID(id), Rack: model.Rack("r-" + id), DataCentre: "dye-yard", Capacity: size}}
	for i, t := range tasks {
		if t.Attempt.Job == "" {
			t.Attempt = model.AttemptID{Job: model.JobID(fmt.Sprintf("%s-%d", id, i)), Number: 1}
		}
		w.Tasks = append(w.Tasks, t)
		w.Charged = w.Charged.Add(t.Size)
	}
	return w
}

func newJob(id string, size model.Resources, l model.Labels) Job {
	return Job{Spec: model.JobSpec{ID: model.JobID(id), Team: "braid", Class: "priming"}, Labels: l, Size: size}
}

// inSubmitOrder numbers the jobs in their order and returns them.
func inSubmitOrder(list ...Job) []Job {
	for i := range list {
		list[i].SubmitOrder = uint64(i)
	}
	return list
}

// placements returns the worker of each assigned job.
func placements(p Plan) map[model.JobID]model.WorkerID {
	out := map[model.JobID]model.WorkerID{}
	for _, a := range p.Assignments {
		out[a.Job] = a.Worker
	}
	return out
}

// reasons returns the reason of each job that was not placed.
func reasons(p Plan) map[model.JobID]Reason {
	out := map[model.JobID]Reason{}
	for _, v := range p.Unplaced {
		out[v.Job] = v.Reason
	}
	return out
}

func mustStayApart(subject, object string) []NamedSelector {
	return []NamedSelector{{"rule", model.Selector{Kind: model.MustStayApart, Subject: subject, Object: object}}}
}

func mayShare(subject, object string) []NamedSelector {
	return []NamedSelector{{"rule", model.Selector{Kind: model.MayShare, Subject: subject, Object: object}}}
}

// Guards against a filter that misses a reason, applies a selector in one
// direction only, or gives different results in Plan, Explain and Verify.
func TestFilters(t *testing.T) {
	noisy, quiet := model.Labels{"class": "noisy"}, model.Labels{"class": "quiet"}
	small, size := resources(1, 1), resources(16, 60)
	workerWith := func(l model.Labels) Worker { return newWorker("w", size, Task{Labels: l, Size: small}) }
	workerServing := func(l model.Labels) Worker {
		w := newWorker("w", size)
		w.Services = []model.Labels{l}
		return w
	}
	withLabels := func(w Worker, l model.Labels) Worker { w.Worker.Labels = l; return w }
	withState := func(s WorkerState, w Worker) Worker { w.State = s; return w }
	unproven := func(n, limit int) Worker {
		w := workerWith(quiet)
		w.Unproven, w.MaxUnproven = n, limit
		return w
	}
	shed, yard := model.Labels{"pool": "shed"}, model.Labels{"pool": "yard"}
	cases := []struct {
		name      string
		worker    Worker
		job       Job
		selectors []NamedSelector
		want      Reason
	}{
		{"fits", workerWith(quiet), newJob("j", small, noisy), nil, ReasonNone},
		{"cpu", workerWith(quiet), newJob("j", resources(16, 1), noisy), nil, ReasonResources},
		{"memory", workerWith(quiet), newJob("j", resources(1, 60), noisy), nil, ReasonResources},
		{"accelerators", workerWith(quiet), newJob("j", model.Resources{Accelerators: 1}, noisy), nil, ReasonImpossible},
		{"suspect", withState(WorkerSuspect, workerWith(quiet)), newJob("j", small, noisy), nil, ReasonWorkerState},
		{"draining", withState(WorkerDraining, workerWith(quiet)), newJob("j", small, noisy), nil, ReasonWorkerState},
		{"quarantined", withState(WorkerQuarantined, workerWith(quiet)), newJob("j", small, noisy), nil, ReasonWorkerState},
		{"unproven", unproven(2, 2), newJob("j", small, noisy), nil, ReasonUnproven},
		{"one more unproven", unproven(2, 3), newJob("j", small, noisy), nil, ReasonNone},
		{"probation, empty", withState(WorkerProbation, newWorker("w", size)), newJob("j", small, noisy), nil, ReasonNone},
		{"probation, busy", withState(WorkerProbation, workerWith(quiet)), newJob("j", small, noisy), nil, ReasonWorkerState},
		{"apart", workerWith(quiet), newJob("j", small, noisy), mustStayApart("class=noisy", "class=quiet"), ReasonMustStayApart},
		{"apart, other direction", workerWith(noisy), newJob("j", small, quiet), mustStayApart("class=noisy", "class=quiet"), ReasonMustStayApart},
		{"apart from a service", workerServing(quiet), newJob("j", small, noisy), mustStayApart("class=noisy", "class=quiet"), ReasonMustStayApart},
		{"service stays apart", workerServing(noisy), newJob("j", small, quiet), mustStayApart("class=noisy", "class=quiet"), ReasonMustStayApart},
		{"apart from its own kind", workerWith(noisy), newJob("j", small, noisy), mustStayApart("class=noisy", "class=noisy"), ReasonMustStayApart},
		{"apart from a host", withLabels(newWorker("w", size), shed), newJob("j", small, noisy), mustStayApart("class=noisy", "pool=shed"), ReasonMustStayApart},
		{"negative object is no host", withLabels(newWorker("w", size), shed), newJob("j", small, noisy), mustStayApart("class=noisy", "class!=noisy"), ReasonNone},
		{"may share", workerWith(quiet), newJob("j", small, noisy), mayShare("class=noisy", "class=quiet"), ReasonNone},
		{"may not share", workerWith(quiet), newJob("j", small, noisy), mayShare("class=noisy", "class=noisy"), ReasonMayShare},
		{"occupant may not share", workerWith(noisy), newJob("j", small, quiet), mayShare("class=noisy", "class=noisy"), ReasonMayShare},
		{"may share on these hosts", withLabels(workerWith(quiet), shed), newJob("j", small, noisy), mayShare("class=noisy", "pool=shed"), ReasonNone},
		{"not on other hosts", withLabels(workerWith(quiet), yard), newJob("j", small, noisy), mayShare("class=noisy", "pool=shed"), ReasonMayShare},
		{"empty host", newWorker("w", size), newJob("j", small, noisy), mayShare("class=noisy", "class=noisy"), ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Snapshot{Workers: []Worker{c.worker}, Jobs: []Job{c.job}, Selectors: c.selectors}
			require.Equal(t, c.want, reasons(New(Options{}).Plan(s))["j"])
			e := Explain(s, "j")
			require.Len(t, e, 1)
			require.Equal(t, c.want, e[0].Reason, e[0].Text)
			rules, _ := CompileRules(c.selectors)
			want := c.want
			if want == ReasonImpossible {
				want = ReasonResources
			}
			a := Assignment{Job: "j", Worker: "w", Size: c.job.Size, Labels: c.job.Labels}
			require.Equal(t, want, Verify(c.worker, a, rules, TeamBudget{}, model.Resources{}))
		})
	}
}

// Guards against a round that ignores its own assignments, and so places two
// tasks on a worker that must stay apart or together exceed its capacity.
func TestRoundCountsItsOwnPlacements(t *testing.T) {
	l := model.Labels{"class": "noisy"}
	s := Snapshot{Workers: []Worker{newWorker("a", resources(16, 60)), newWorker("b", resources(16, 60))},
		Jobs:      inSubmitOrder(newJob("1", resources(1, 1), l), newJob("2", resources(1, 1), l), newJob("3", resources(1, 1), l)),
		Selectors: mustStayApart("class=noisy", "class=noisy")}
	p := New(Options{}).Plan(s)
	require.Len(t, p.Assignments, 2)
	require.NotEqual(t, p.Assignments[0].Worker, p.Assignments[1].Worker)
	require.Equal(t, ReasonMustStayApart, p.Unplaced[0].Reason)
	require.Equal(t, "rule", p.Unplaced[0].Selector)
	s.Selectors = nil
	s.Jobs = inSubmitOrder(newJob("1", resources(9, 1), l), newJob("2", resources(9, 1), l), newJob("3", resources(9, 1), l))
	require.Len(t, New(Options{}).Plan(s).Assignments, 2)
}

// Guards against urgent jobs that are placed after others, a team that starves
// another team, and jobs of a team that are placed out of order.
func TestOrder(t *testing.T) {
	job := func(id string, team model.Team, urgent bool) Job {
		j := newJob(id, resources(1, 1), nil)
		j.Spec.Team, j.Spec.Urgent = team, urgent
		return j
	}
	s := Snapshot{Workers: []Worker{newWorker("a", resources(4, 60))},
		Jobs: inSubmitOrder(job("w1", "wick", false), job("w2", "wick", false), job("w3", "wick", false), job("b1", "braid", false),
			job("u", "wick", true), job("q", "small", false), job("q2", "small", false)),
		TeamUse: map[model.Team]model.Resources{"small": resources(1, 1), "wick": resources(1, 1)},
		Quotas:  map[model.Team]model.Resources{"small": resources(2, 2), "wick": resources(8, 8), "braid": resources(4, 4)}}
	p := New(Options{}).Plan(s)
	var order []model.JobID
	for _, a := range p.Assignments {
		order = append(order, a.Job)
	}
	require.Equal(t, []model.JobID{"u", "b1", "w1", "w2"}, order)
	s.Workers[0].Capacity = resources(16, 60)
	p = New(Options{MaxStarts: 6}).Plan(s)
	require.Equal(t, ReasonQuota, reasons(p)["q2"])
	require.Len(t, p.Assignments, 6)
}

// Guards against a job too large for every worker that waits without a reason
// or delays other jobs, and against jobs that are reported as impossible
// before any worker is known.
func TestImpossibleJobsAreReportedInFirstRound(t *testing.T) {
	full := newWorker("a", resources(16, 60), Task{Size: resources(14, 50)})
	full.Reserved, full.Charged = resources(1, 1), full.Charged.Add(resources(1, 1))
	s := Snapshot{Workers: []Worker{full}, Jobs: inSubmitOrder(newJob("huge", resources(16, 1), nil), newJob("later", resources(15, 1), nil), newJob("small", resources(1, 1), nil))}
	p := New(Options{}).Plan(s)
	require.Equal(t, map[model.JobID]Reason{"huge": ReasonImpossible, "later": ReasonResources}, reasons(p))
	require.Equal(t, map[model.JobID]model.WorkerID{"small": "a"}, placements(p))
	s.Workers = nil
	require.Equal(t, ReasonWorkerState, New(Options{}).Plan(s).Unplaced[0].Reason)
}

// Guards against a stream of small jobs that starves a large job because each
// takes the resources that another one has freed.
func TestLargeJobDoesNotStarve(t *testing.T) {
	p := New(Options{ReserveAfter: 5})
	large := newJob("big", resources(16, 60), nil)
	running := []Task{}
	next, round := 0, 0
	for ; round < 60; round++ {
		list := []Job{large}
		for range 4 {
			list = append(list, newJob(fmt.Sprintf("small-%d", next), resources(4, 4), nil))
			next++
		}
		w := newWorker("a", resources(16, 60), running...)
		s := Snapshot{Workers: []Worker{w}, Jobs: inSubmitOrder(list...)}
		plan := p.Plan(s)
		if placements(plan)["big"] == "a" {
			break
		}
		if round == 8 {
			require.Equal(t, ReasonReserved, p.Explain(s, list[4].Spec.ID)[0].Reason)
			require.Contains(t, plan.Unplaced[0].Text(), "worker a is reserved")
		}
		for _, a := range plan.Assignments {
			running = append(running, Task{Attempt: model.AttemptID{Job: a.Job, Number: 1}, Size: a.Size})
		}
		if len(running) > 0 { // one task ends in each round
			running = running[1:]
		}
	}
	require.Less(t, round, 20)
}

// Guards against resources that victims free and that other jobs take before
// the urgent job for which the victims were evicted.
func TestClaimReservesResources(t *testing.T) {
	urgent := newJob("u", resources(8, 8), nil)
	urgent.Spec.Urgent = true
	w := newWorker("a", resources(16, 60), Task{Size: resources(10, 1)})
	s := Snapshot{Workers: []Worker{w}, Jobs: inSubmitOrder(newJob("small", resources(4, 4), nil), urgent),
		Claims: []Claim{{Job: "u", Worker: "a", Size: resources(6, 8)}}}
	require.Empty(t, New(Options{}).Plan(s).Assignments)
	s.Workers = []Worker{newWorker("a", resources(16, 60))}
	require.Equal(t, map[model.JobID]model.WorkerID{"small": "a", "u": "a"}, placements(New(Options{}).Plan(s)))
	require.Equal(t, ReasonResources, Verify(w, Assignment{Worker: "a", Size: resources(4, 4)}, &Rules{}, TeamBudget{}, resources(6, 8)))
}

// Guards against victims chosen in the wrong order, more victims than are
// needed, and evictions for a job that is not urgent or fits no worker.
func TestVictims(t *testing.T) {
	task := func(job, class string, cores int64, lost time.Duration) Task {
		return Task{Attempt: model.AttemptID{Job: model.JobID(job), Number: 1}, Labels: model.Labels{"class": class}, Size: resources(cores, 1), LostWork: lost}
	}
	urgentTask := task("urgent", "spool", 8, 0)
	urgentTask.Urgent = true
	s := Snapshot{Workers: []Worker{
		newWorker("a", resources(16, 60), task("cheap", "dye", 8, time.Minute), task("spool", "spool", 4, time.Hour), task("spool2", "spool", 4, 2*time.Hour)),
		newWorker("b", resources(16, 60), urgentTask, task("dye", "dye", 8, time.Second)),
	}, Selectors: []NamedSelector{{"first", model.Selector{Kind: model.YieldsFirst, Subject: "class=spool"}}}}
	job := newJob("u", resources(4, 1), nil)
	_, ok := Victims(s, job)
	require.False(t, ok, "not urgent")
	job.Spec.Urgent = true
	choice, ok := Victims(s, job)
	require.True(t, ok)
	require.Equal(t, Preemption{"a", []model.AttemptID{{Job: "spool", Number: 1}}}, choice)
	job.Size = resources(8, 1)
	choice, _ = Victims(s, job)
	require.Equal(t, Preemption{"a", []model.AttemptID{{Job: "spool", Number: 1}, {Job: "spool2", Number: 1}}}, choice)
	s.Selectors = nil
	choice, _ = Victims(s, job)
	require.Equal(t, Preemption{"b", []model.AttemptID{{Job: "dye", Number: 1}}}, choice)
	s.Workers[1].Tasks[1].Stopping = true
	choice, _ = Victims(s, job)
	require.Equal(t, Preemption{"b", []model.AttemptID{}}, choice, "a stopping task frees enough")
	job.Size = resources(17, 1)
	_, ok = Victims(s, job)
	require.False(t, ok)
}

// Guards against a planner whose cache keeps assignments that the caller did
// not apply, or misses a worker's change to a new revision.
func TestPlanFollowsWorkerRevisions(t *testing.T) {
	p := New(Options{})
	w := newWorker("a", resources(16, 60))
	w.Revision = 1
	s := Snapshot{Workers: []Worker{w}, Jobs: inSubmitOrder(newJob("1", resources(16, 1), nil))}
	require.Len(t, p.Plan(s).Assignments, 1)
	require.Len(t, p.Plan(s).Assignments, 1, "the first was not applied")
	w = newWorker("a", resources(16, 60), Task{Size: resources(1, 1)})
	w.Revision = 2
	s.Workers = []Worker{w}
	require.Empty(t, p.Plan(s).Assignments)
	s.Workers = nil
	require.Empty(t, p.Plan(s).Assignments)
}

// Guards against a job that is retried on the worker on which it failed, and
// against one that waits for ever because the cell has no other worker.
func TestAvoid(t *testing.T) {
	j := newJob("j", resources(8, 8), nil)
	j.Avoid = []model.WorkerID{"a"}
	s := Snapshot{Workers: []Worker{newWorker("a", resources(16, 60)), newWorker("b", resources(16, 60), Task{Size: resources(16, 60)})}, Jobs: []Job{j}}
	p := New(Options{}).Plan(s)
	require.Empty(t, p.Assignments)
	require.Equal(t, map[Reason]int{ReasonAvoid: 1, ReasonResources: 1}, p.Unplaced[0].Workers)
	require.Equal(t, ReasonAvoid, Explain(s, "j")[0].Reason)
	s.Workers = s.Workers[:1]
	require.Len(t, New(Options{}).Plan(s).Assignments, 1)
}

// Guards against tasks of a class that are all placed in one rack although
// workers in other racks fit as well.
func TestSpread(t *testing.T) {
	s := Snapshot{}
	for i := range 6 {
		w := newWorker(fmt.Sprint(i), resources(16, 60))
		w.Rack = model.Rack(fmt.Sprint(i / 2))
		s.Workers = append(s.Workers, w)
	}
	for i := range 3 {
		s.Jobs = append(s.Jobs, newJob(fmt.Sprint(i), resources(1, 4), nil))
	}
	racks := map[model.WorkerID]bool{}
	for _, w := range placements(New(Options{}).Plan(s)) {
		racks[w[:1]] = true
	}
	require.Len(t, racks, 3)
}
