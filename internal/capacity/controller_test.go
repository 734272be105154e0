package capacity

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/health"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// controller drives the core of a controller in virtual time with agents that
// answer at once and tasks that end after taskLength.
type controller struct {
	core     *control.Core
	now      time.Duration
	revision storage.Revision
	unread   []control.JobRow // rows that the next scan returns
	events   []control.Event
	ends     []ending                            // in the order of time
	rows     map[model.JobID]control.JobRow      // committed
	holds    map[model.WorkerID][]msg.TaskReport // tasks without an end
	started  int
	commits  int
	running  int
}

type ending struct {
	at     time.Duration
	worker model.WorkerID
	report msg.TaskReport
}

const taskLength = 2 * time.Second

// claimTime is enough for a controller to claim its cell, read its rows and
// renew the leases of its agents twice.
const claimTime = 2 * time.Second

func blankController() *controller {
	return &controller{revision: 1, rows: map[model.JobID]control.JobRow{}, holds: map[model.WorkerID][]msg.TaskReport{},
		core: control.NewCore(control.Options{Cell: cellName, Entry: "entry-1", Boot: 1,
			Planner: place.New(place.Options{}), Health: health.New()})}
}

func newController(workers int) *controller {
	c := blankController()
	c.link(workers)
	return c
}

func (c *controller) link(workers int) {
	for i := range workers {
		c.step(control.PeerUp{Worker: worker(i), Boot: 1})
	}
	c.pass(claimTime)
}

func (c *controller) step(e control.Event) {
	c.events = append(c.events, e)
	for len(c.events) > 0 {
		e, c.events = c.events[0], c.events[1:]
		for _, f := range c.core.Step(c.now, e) {
			c.effect(f)
		}
	}
	c.events = nil
}

func (c *controller) answer(e control.Event) { c.events = append(c.events, e) }

func (c *controller) effect(f control.Effect) {
	switch f := f.(type) {
	case control.Observe:
		c.answer(control.Observed{})
	case control.Claim:
		c.answer(control.Claimed{Won: true, Version: 1})
	case control.WriteHeartbeat:
		c.answer(control.HeartbeatWritten{Fence: f.Fence, Sent: f.Sent, OK: true})
	case control.Scan:
		c.answer(control.Scanned{Fence: f.Fence, Rows: c.unread, Through: c.revision})
		c.unread = nil
	case control.Commit:
		c.revision++
		c.commits++
		for _, w := range f.Writes {
			w.Version = c.revision
			c.rows[w.ID] = w
		}
		c.answer(control.Committed{Fence: f.Fence, Revision: c.revision})
	case control.Send:
		c.agent(f.Worker, f.Msg)
	}
}

// agent answers a command as the agent of a worker does.
func (c *controller) agent(id model.WorkerID, m msg.Control) {
	switch m := m.(type) {
	case *msg.CellClaim:
		c.answer(control.Received{Worker: id, Msg: &msg.Inventory{Cell: m.Cell, Epoch: m.Epoch, Attempts: c.holds[id]}})
	case *msg.LeaseRenew:
		c.answer(control.Received{Worker: id, Msg: &msg.LeaseAck{Cell: m.Cell, Epoch: m.Epoch, Sequence: m.Sequence}})
	case *msg.StartTask:
		c.started++
		c.running++
		r := msg.TaskReport{Attempt: m.Attempt, Epoch: m.Epoch, State: model.TaskRunning}
		c.answer(control.Received{Worker: id, Msg: &r})
		if m.Spec.LongRunning {
			c.holds[id] = append(c.holds[id], r)
			return
		}
		done := r
		done.State = model.TaskDone
		c.ends = append(c.ends, ending{c.now + taskLength, id, done})
	}
}

// pass lets d pass.
func (c *controller) pass(d time.Duration) {
	for end := c.now + d; c.now < end; {
		next := min(max(c.core.NextTick(), c.now+time.Microsecond), end)
		if len(c.ends) > 0 {
			next = min(next, c.ends[0].at)
		}
		c.now = next
		for len(c.ends) > 0 && c.ends[0].at <= c.now {
			x := c.ends[0]
			c.ends = c.ends[1:]
			c.running--
			c.step(control.Received{Worker: x.worker, Msg: &x.report})
		}
		c.step(control.Tick{})
	}
}

// submit adds the rows of n jobs from the number first on.
func (c *controller) submit(first, n int, long bool) {
	for i := range n {
		r := jobRow(first + i)
		r.Spec.LongRunning = long
		c.revision++
		c.unread = append(c.unread, control.JobRow{ID: r.Spec.ID, Row: r, Version: c.revision})
	}
}

// fill runs perWorker tasks without an end on each worker.
func (c *controller) fill(workers, perWorker int) {
	c.submit(1_000_000, workers*perWorker, true)
	for range 600 {
		if c.pass(time.Second); c.running == workers*perWorker {
			return
		}
	}
	panic(fmt.Sprintf("%d tasks run, not %d", c.running, workers*perWorker))
}

// processorTime is the processor time of this process so far in seconds.
func processorTime() float64 {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	return float64(used.Utime.Nano()+used.Stime.Nano()) / 1e9
}

// load submits jobs at a rate for d and returns the processor time for each
// second and the commits for each second.
func (c *controller) load(rate int, d time.Duration) (cores, commits float64) {
	began, before, count := processorTime(), c.commits, 0
	const ticks = 10
	for i := range int(d.Seconds()) * ticks {
		due := rate * (i + 1) / ticks
		c.submit(count, due-count, false)
		count = due
		c.pass(time.Second / ticks)
	}
	return (processorTime() - began) / d.Seconds(), float64(c.commits-before) / d.Seconds()
}

const tasksPerWorker = 19 // 129,000 tasks on 6,900 workers

// Measures what each task start and end costs a controller of 690 workers.
func BenchmarkTaskStarts(b *testing.B) {
	s := newSeries("task start/s", "BenchmarkTaskStarts")
	for _, rate := range []int{0, 20, 58, 116} {
		c := newController(690)
		c.fill(690, tasksPerWorker)
		c.started = 0
		cores, commits := c.load(rate, 30*time.Second)
		require.InDelta(b, rate*30, c.started, float64(rate), "task starts")
		s.add("starts.controllerCPU", coreUnit, float64(rate), cores)
		s.add("starts.commits", eachSecond, float64(rate), commits)
	}
	s.finish(b)
}

// Measures what each worker costs a controller without task starts, lease
// renewals and timers included.
func BenchmarkWorkersOfACell(b *testing.B) {
	s := newSeries("worker of a cell", "BenchmarkWorkersOfACell")
	for _, n := range []int{11, 100, 345, 690} {
		c := newController(n)
		c.fill(n, tasksPerWorker)
		cores, _ := c.load(0, 5*time.Minute)
		s.add("workers.controllerCPU", coreUnit, float64(n), cores)
	}
	s.finish(b)
}

// Measures a placement decision: plan, verification and reservation.
func BenchmarkPlacementDecision(b *testing.B) {
	s := newSeries("worker of a cell", "BenchmarkPlacementDecision")
	for _, n := range []int{11, 100, 345, 690} {
		s.add("placement.decisionCPU", "core seconds", float64(n), decisionTime(n))
	}
	s.finish(b)
}

// decisionTime places rounds of 11 jobs on workers that run 17 tasks each.
func decisionTime(workers int) float64 {
	const perRound, rounds = 11, 300
	ledger, planner := place.NewLedger(), place.New(place.Options{})
	rules, _ := place.CompileRules(nil)
	for i := range workers {
		ledger.SetWorker(worker(i), model.Resources{}, nil)
		for k := range tasksPerWorker - 2 {
			ledger.Adopt(worker(i).ID, placeTask(jobRow(10_000+i*100+k)))
		}
	}
	began, placed := processorTime(), 0
	for round := range rounds {
		snapshot := place.Snapshot{Workers: ledger.Workers(), TeamUse: ledger.TeamUse()}
		for k := range perRound {
			r := jobRow(round*perRound + k)
			snapshot.Jobs = append(snapshot.Jobs, place.Job{Spec: r.Spec, Labels: r.Spec.Labels, Size: r.Spec.Resources, SubmitOrder: uint64(k)})
		}
		for _, a := range planner.Plan(snapshot).Assignments {
			task := place.Task{Attempt: model.AttemptID{Job: a.Job, Number: 1}, Team: a.Team, Size: a.Size, Labels: a.Labels}
			if ledger.Reserve(a, task, place.Policy{Rules: rules}) == place.ReasonNone {
				placed++
				ledger.Release(task.Attempt)
			}
		}
	}
	return (processorTime() - began) / float64(placed)
}

func placeTask(r model.JobRow) place.Task {
	return place.Task{Attempt: model.AttemptID{Job: r.Spec.ID, Number: 1}, Team: r.Spec.Team, Class: r.Spec.Class,
		Labels: r.Spec.Labels, Size: r.Spec.Resources}
}

// Guards against a driver whose agents or table do not do what the core waits
// for, so that the benchmarks would measure an idle controller.
func TestControllerDriverStartsEveryJob(t *testing.T) {
	c := newController(11)
	c.fill(11, 2)
	c.started = 0
	c.load(4, 5*time.Second)
	c.pass(5 * time.Second)
	require.Equal(t, 20, c.started)
	require.Equal(t, 22, c.running)
}
