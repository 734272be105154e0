package place_test

import (
	"container/heap"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/measure"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// chooser decides which jobs a round starts and where.
type chooser interface {
	choose(l *place.Ledger, jobs []place.Job) []place.Assignment
}

// plannerChooser is the planner under test.
type plannerChooser struct{ planner *place.Planner }

func (c plannerChooser) choose(l *place.Ledger, jobs []place.Job) []place.Assignment {
	return c.planner.Plan(place.Snapshot{Workers: l.Workers(), Jobs: jobs, TeamUse: l.TeamUse()}).Assignments
}

// firstFit is the baseline: it places jobs in submission order, each on the
// first worker that it fits. Without backfill no job overtakes one that does
// not fit.
type firstFit struct{ backfill bool }

func (f firstFit) choose(l *place.Ledger, jobs []place.Job) []place.Assignment {
	workers := append([]place.Worker(nil), l.Workers()...)
	var assignments []place.Assignment
	for _, j := range jobs {
		placed := false
		for i := range workers {
			w := &workers[i]
			if placed = j.Size.Fits(w.Capacity.Sub(w.Charged)); placed {
				w.Charged = w.Charged.Add(j.Size)
				assignments = append(assignments, place.Assignment{Job: j.Spec.ID, Worker: w.ID, Team: j.Spec.Team, Size: j.Size})
				break
			}
		}
		if !placed && !f.backfill {
			return assignments
		}
	}
	return assignments
}

// taskEnd is the time at which an attempt ends.
type taskEnd struct {
	at time.Duration
	id model.AttemptID
}

// taskEnds implements heap.Interface, the earliest end first.
type taskEnds []taskEnd

func (e taskEnds) Len() int           { return len(e) }
func (e taskEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e taskEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *taskEnds) Push(x any)        { *e = append(*e, x.(taskEnd)) }
func (e *taskEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// packingRun simulates a cell with a queue that is never empty.
type packingRun struct {
	t           *testing.T
	ledger      *place.Ledger
	chooser     chooser
	queue       []place.Job
	runtimes    map[model.JobID]time.Duration
	ends        taskEnds
	usage       model.Resources // integral over the measured time, in seconds
	longestWait time.Duration   // longest wait of a started job
	submittedAt map[model.JobID]time.Duration
	capacity    model.Resources // free capacity of the empty cell
}

func newPackingRun(t *testing.T, d measure.Deployment, c chooser) *packingRun {
	p := &packingRun{t: t, ledger: place.NewLedger(), chooser: c, runtimes: map[model.JobID]time.Duration{}, submittedAt: map[model.JobID]time.Duration{}}
	for _, w := range d.Workers {
		p.ledger.SetWorker(w, d.Reserved, nil)
		p.capacity = p.capacity.Add(w.Capacity.Sub(d.Reserved))
	}
	return p
}

func (p *packingRun) submit(now time.Duration, j measure.Job, order uint64) {
	p.runtimes[j.Spec.ID], p.submittedAt[j.Spec.ID] = j.Runtime, now
	p.queue = append(p.queue, place.Job{Spec: j.Spec, Size: j.Spec.Resources, SubmitOrder: order})
}

func (p *packingRun) round(now time.Duration) {
	for len(p.ends) > 0 && p.ends[0].at <= now {
		p.ledger.Release(heap.Pop(&p.ends).(taskEnd).id)
	}
	started := map[model.JobID]bool{}
	rules, _ := place.CompileRules(nil)
	for _, a := range p.chooser.choose(p.ledger, p.queue) {
		id := model.AttemptID{Job: a.Job, Number: 1}
		reason := p.ledger.Reserve(a, place.Task{Attempt: id, Team: a.Team, Size: a.Size}, place.Policy{Rules: rules})
		require.Equal(p.t, place.ReasonNone, reason)
		heap.Push(&p.ends, taskEnd{now + p.runtimes[a.Job], id})
		started[a.Job] = true
		p.longestWait = max(p.longestWait, now-p.submittedAt[a.Job])
	}
	remaining := p.queue[:0]
	for _, j := range p.queue {
		if !started[j.Spec.ID] {
			remaining = append(remaining, j)
		}
	}
	p.queue = remaining
}

// recordUsage checks every worker's capacity and, if measured, adds the usage
// of the cell's tasks over the given time.
func (p *packingRun) recordUsage(seconds int64, measured bool) {
	for _, w := range p.ledger.Workers() {
		require.True(p.t, w.Charged.Fits(w.Capacity), "worker %s is over capacity", w.ID)
		if measured {
			tasks := w.Charged.Sub(w.Reserved)
			p.usage = p.usage.Add(model.Resources{CPU: tasks.CPU * model.MilliCPU(seconds), Memory: tasks.Memory * model.Bytes(seconds)})
		}
	}
}

// measurePacking runs a backlog for an hour after ten minutes of warm-up. It
// returns the usage of the scarcer resource relative to the offline bound, and
// the longest wait of a started job. The offline bound is the whole capacity:
// no placement uses more, even with all jobs known in advance.
func measurePacking(t *testing.T, deployment measure.Deployment, c chooser, seed uint64) (usageShare float64, longestWait time.Duration) {
	const warmUpSeconds, endSeconds = 600, 4200
	run := newPackingRun(t, deployment, c)
	mix := measure.NewMix(seed, deployment.Workers[0].Capacity)
	order := uint64(0)
	for now := range endSeconds {
		for len(run.queue) < 200 {
			order++
			run.submit(time.Duration(now)*time.Second, mix.Job(), order)
		}
		run.round(time.Duration(now) * time.Second)
		run.recordUsage(1, now >= warmUpSeconds)
	}
	cpu := float64(run.usage.CPU) / float64(run.capacity.CPU*(endSeconds-warmUpSeconds))
	memory := float64(run.usage.Memory) / float64(run.capacity.Memory) / (endSeconds - warmUpSeconds)
	return max(cpu, memory), run.longestWait
}

// Guards against placement that leaves capacity unused or exceeds the capacity
// of a worker. Bound: 95% of the offline bound (docs/design.md section 5.5).
// The longest wait is logged to show whether jobs starve.
func TestPackingTarget(t *testing.T) {
	seeds := uint64(1)
	if os.Getenv("BAMBOOSCALE_MEASURE") != "" {
		seeds = 3
	}
	for _, d := range []measure.Deployment{measure.Nilegate(), measure.Wick()} {
		for seed := range seeds {
			plannerShare, plannerWait := measurePacking(t, d, plannerChooser{place.New(place.Options{})}, seed)
			firstFitShare, _ := measurePacking(t, d, firstFit{}, seed)
			backfillShare, backfillWait := measurePacking(t, d, firstFit{backfill: true}, seed)
			t.Logf("%s seed %d: planner %.3f (longest wait %s), first-fit %.3f, first-fit with overtaking %.3f (longest wait %s)",
				d.Name, seed, plannerShare, plannerWait, firstFitShare, backfillShare, backfillWait)
			assert.GreaterOrEqual(t, plannerShare, 0.95, "%s seed %d", d.Name, seed)
			assert.Greater(t, plannerShare, firstFitShare)
		}
	}
}

// benchCell returns the ledger of a cell filled with tasks, and the mix from
// which to draw further jobs.
func benchCell(b *testing.B, workers, tasks int) (*place.Ledger, *measure.Mix) {
	deployment := measure.Cell(workers)
	ledger := place.NewLedger()
	for _, w := range deployment.Workers {
		ledger.SetWorker(w, deployment.Reserved, nil)
	}
	mix := measure.NewMix(1, model.Resources{CPU: 6000, Memory: 24 << 30})
	p := place.New(place.Options{MaxStarts: tasks})
	rules, _ := place.CompileRules(selectors)
	var jobs []place.Job
	for i := range tasks {
		jobs = append(jobs, benchJob(mix, i))
	}
	for _, a := range p.Plan(place.Snapshot{Workers: ledger.Workers(), Jobs: jobs, TeamUse: ledger.TeamUse(), Selectors: selectors}).Assignments {
		t := place.Task{Attempt: model.AttemptID{Job: a.Job, Number: 1}, Team: a.Team, Size: a.Size, Labels: a.Labels}
		require.Equal(b, place.ReasonNone, ledger.Reserve(a, t, place.Policy{Rules: rules}))
	}
	return ledger, mix
}

var selectors = []place.NamedSelector{
	{Name: "apart", Selector: model.Selector{Kind: model.MustStayApart, Subject: "class=spool", Object: "class=index,team=permits"}},
	{Name: "share", Selector: model.Selector{Kind: model.MayShare, Subject: "class=audit", Object: "team in (wick,braid,permits,records)"}},
	{Name: "first", Selector: model.Selector{Kind: model.YieldsFirst, Subject: "class=dye"}},
}

func benchJob(mix *measure.Mix, order int) place.Job {
	j := mix.Job()
	labels := model.Labels{"team": string(j.Spec.Team), "class": string(j.Spec.Class), "stage": fmt.Sprint(order % 7)}
	return place.Job{Spec: j.Spec, Size: j.Spec.Resources, Labels: labels, SubmitOrder: uint64(order)}
}

// BenchmarkDecision measures the cost of one start: plan, verify, reserve and
// release an older attempt, so that the cell stays equally full. A round
// starts up to 58 tasks: the peak of 580 starts/s for 0.1 s.
func BenchmarkDecision(b *testing.B) {
	const maxRoundStarts = 58
	for _, c := range []struct{ workers, tasks int }{{11, 207}, {690, 13000}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", c.workers, c.tasks), func(b *testing.B) {
			ledger, mix := benchCell(b, c.workers, c.tasks)
			p := place.New(place.Options{})
			rules, _ := place.CompileRules(selectors)
			var running []model.AttemptID
			for _, w := range ledger.Workers() {
				for _, t := range w.Tasks {
					running = append(running, t.Attempt)
				}
			}
			next, round := 0, min(maxRoundStarts, len(running)/4)
			var queue []place.Job
			b.ResetTimer()
			for started := 0; started < b.N; {
				for range round {
					ledger.Release(running[0])
					running = running[1:]
				}
				for len(queue) < 2*round {
					next++
					queue = append(queue, benchJob(mix, next))
				}
				plan := p.Plan(place.Snapshot{Workers: ledger.Workers(), Jobs: queue, TeamUse: ledger.TeamUse(), Selectors: selectors})
				done := map[model.JobID]bool{}
				for _, a := range plan.Assignments {
					t := place.Task{Attempt: model.AttemptID{Job: a.Job, Number: 1}, Team: a.Team, Size: a.Size, Labels: a.Labels}
					if ledger.Reserve(a, t, place.Policy{Rules: rules}) == place.ReasonNone {
						running = append(running, t.Attempt)
						done[a.Job] = true
					}
				}
				remaining := queue[:0]
				for _, j := range queue {
					if !done[j.Spec.ID] {
						remaining = append(remaining, j)
					}
				}
				queue = remaining
				started += max(1, len(done))
			}
			b.ReportMetric(float64(len(running)), "tasks")
		})
	}
}

// BenchmarkVictims measures the choice of victims for one urgent job in a
// full cell of the target size.
func BenchmarkVictims(b *testing.B) {
	ledger, mix := benchCell(b, 690, 13000)
	job := benchJob(mix, 1)
	job.Spec.Urgent, job.Size = true, model.Resources{CPU: 12000, Memory: 48 << 30}
	s := place.Snapshot{Workers: ledger.Workers(), Jobs: []place.Job{job}, Selectors: selectors}
	for b.Loop() {
		if _, ok := place.Victims(s, job); !ok {
			b.Fatal("no victims")
		}
	}
}
