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

// controller runs the core of a controller in virtual time. Its agents and its
// table answer at once; tasks end after taskLength unless they are long-running.
type controller struct {
	core          *control.Core
	now           time.Duration
	revision      storage.Revision
	unreadRows    []control.JobRow // rows that the next scan returns
	events        []control.Event  // not yet applied
	dueEnds       []taskEnd        // in order of time
	committedRows map[model.JobID]control.JobRow
	runningTasks  map[model.WorkerID][]msg.TaskReport // long-running tasks, as the agents report them
	startedCount  int
	commitCount   int
	runningCount  int
}

// taskEnd is the end of a task at a later time.
type taskEnd struct {
	at     time.Duration
	worker model.WorkerID
	report msg.TaskReport
}

const taskLength = 2 * time.Second

// claimDuration is long enough for a controller to claim its cell, read its rows
// and renew the leases of its agents twice.
const claimDuration = 2 * time.Second

// unlinkedController returns a controller without agents.
func unlinkedController() *controller {
	return &controller{revision: 1, committedRows: map[model.JobID]control.JobRow{}, runningTasks: map[model.WorkerID][]msg.TaskReport{},
		core: control.NewCore(control.Options{Cell: cellName, Entry: "entry-1", Boot: 1,
			Planner: place.New(place.Options{}), Health: health.New()})}
}

// newController returns a controller that owns its cell and is linked to the agents
// of the workers.
func newController(workers int) *controller {
	c := unlinkedController()
	c.linkWorkers(workers)
	return c
}

// linkWorkers links the agents of the workers and advances the time until the cell
// is claimed.
func (c *controller) linkWorkers(workers int) {
	for i := range workers {
		c.apply(control.PeerUp{Worker: testWorker(i), Boot: 1})
	}
	c.advance(claimDuration)
}

// apply applies an event and all events that answer its effects.
func (c *controller) apply(event control.Event) {
	c.events = append(c.events, event)
	for len(c.events) > 0 {
		event, c.events = c.events[0], c.events[1:]
		for _, effect := range c.core.Step(c.now, event) {
			c.perform(effect)
		}
	}
	c.events = nil
}

func (c *controller) enqueue(e control.Event) { c.events = append(c.events, e) }

// perform carries out an effect and queues the event that answers it.
func (c *controller) perform(effect control.Effect) {
	switch effect := effect.(type) {
	case control.Observe:
		c.enqueue(control.Observed{})
	case control.Claim:
		c.enqueue(control.Claimed{Won: true, Version: 1})
	case control.WriteHeartbeat:
		c.enqueue(control.HeartbeatWritten{Fence: effect.Fence, Sent: effect.Sent, OK: true})
	case control.Scan:
		c.enqueue(control.Scanned{Fence: effect.Fence, Rows: c.unreadRows, Through: c.revision})
		c.unreadRows = nil
	case control.Commit:
		c.revision++
		c.commitCount++
		for _, w := range effect.Writes {
			w.Version = c.revision
			c.committedRows[w.ID] = w
		}
		c.enqueue(control.Committed{Fence: effect.Fence, Revision: c.revision})
	case control.Send:
		c.answerCommand(effect.Worker, effect.Msg)
	}
}

// answerCommand answers a command as the agent of a worker does.
func (c *controller) answerCommand(id model.WorkerID, m msg.Control) {
	switch m := m.(type) {
	case *msg.CellClaim:
		c.enqueue(control.Received{Worker: id, Msg: &msg.Inventory{Cell: m.Cell, Epoch: m.Epoch, Attempts: c.runningTasks[id]}})
	case *msg.LeaseRenew:
		c.enqueue(control.Received{Worker: id, Msg: &msg.LeaseAck{Cell: m.Cell, Epoch: m.Epoch, Sequence: m.Sequence}})
	case *msg.StartTask:
		c.startedCount++
		c.runningCount++
		report := msg.TaskReport{Attempt: m.Attempt, Epoch: m.Epoch, State: model.TaskRunning}
		c.enqueue(control.Received{Worker: id, Msg: &report})
		if m.Spec.LongRunning {
			c.runningTasks[id] = append(c.runningTasks[id], report)
			return
		}
		done := report
		done.State = model.TaskDone
		c.dueEnds = append(c.dueEnds, taskEnd{c.now + taskLength, id, done})
	}
}

// advance advances the virtual time by d, with the timers and task ends within it.
func (c *controller) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		next := min(max(c.core.NextTick(), c.now+time.Microsecond), end)
		if len(c.dueEnds) > 0 {
			next = min(next, c.dueEnds[0].at)
		}
		c.now = next
		for len(c.dueEnds) > 0 && c.dueEnds[0].at <= c.now {
			due := c.dueEnds[0]
			c.dueEnds = c.dueEnds[1:]
			c.runningCount--
			c.apply(control.Received{Worker: due.worker, Msg: &due.report})
		}
		c.apply(control.Tick{})
	}
}

// submit adds the rows of n jobs, numbered from first, for the next scan.
func (c *controller) submit(first, n int, long bool) {
	for i := range n {
		row := jobRow(first + i)
		row.Spec.LongRunning = long
		c.revision++
		c.unreadRows = append(c.unreadRows, control.JobRow{ID: row.Spec.ID, Row: row, Version: c.revision})
	}
}

// fillWorkers submits perWorker long-running tasks for each worker and advances the
// time until they run.
func (c *controller) fillWorkers(workers, perWorker int) {
	c.submit(1_000_000, workers*perWorker, true)
	for range 600 {
		if c.advance(time.Second); c.runningCount == workers*perWorker {
			return
		}
	}
	panic(fmt.Sprintf("%d tasks run, want %d", c.runningCount, workers*perWorker))
}

// processorSeconds returns the processor time that this process has used so far,
// in seconds.
func processorSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// runLoad submits rate jobs a second for d. It returns the processor time used, in
// cores, and the commits per second of virtual time.
func (c *controller) runLoad(rate int, d time.Duration) (cores, commits float64) {
	secondsBefore, commitsBefore, submitted := processorSeconds(), c.commitCount, 0
	const ticks = 10
	for i := range int(d.Seconds()) * ticks {
		due := rate * (i + 1) / ticks
		c.submit(submitted, due-submitted, false)
		submitted = due
		c.advance(time.Second / ticks)
	}
	return (processorSeconds() - secondsBefore) / d.Seconds(), float64(c.commitCount-commitsBefore) / d.Seconds()
}

// tasksPerWorker is the mean of 129,000 tasks on 6,900 workers.
const tasksPerWorker = 19

// Measures the processor time and the commits of a controller of 690 workers for
// each task that starts and ends.
func BenchmarkTaskStarts(b *testing.B) {
	s := newSeries("task start/s", "BenchmarkTaskStarts")
	for _, rate := range []int{0, 20, 58, 116} {
		c := newController(690)
		c.fillWorkers(690, tasksPerWorker)
		c.startedCount = 0
		cores, commits := c.runLoad(rate, 30*time.Second)
		require.InDelta(b, rate*30, c.startedCount, float64(rate), "task starts")
		s.add("starts.controllerCPU", coresUnit, float64(rate), cores)
		s.add("starts.commits", perSecond, float64(rate), commits)
	}
	s.finish(b)
}

// Measures the processor time of a controller for each worker while no task starts.
// It includes lease renewals and timers.
func BenchmarkWorkersOfACell(b *testing.B) {
	s := newSeries("worker of a cell", "BenchmarkWorkersOfACell")
	for _, n := range []int{11, 100, 345, 690} {
		c := newController(n)
		c.fillWorkers(n, tasksPerWorker)
		cores, _ := c.runLoad(0, 5*time.Minute)
		s.add("workers.controllerCPU", coresUnit, float64(n), cores)
	}
	s.finish(b)
}

// Measures the processor time of a placement decision: plan, verification and
// reservation.
func BenchmarkPlacementDecision(b *testing.B) {
	s := newSeries("worker of a cell", "BenchmarkPlacementDecision")
	for _, n := range []int{11, 100, 345, 690} {
		s.add("placement.decisionCPU", "core seconds", float64(n), decisionSeconds(n))
	}
	s.finish(b)
}

// decisionSeconds places rounds of 11 jobs on workers that run 17 tasks each. It
// returns the processor time for each placed job in seconds.
func decisionSeconds(workers int) float64 {
	const perRound, rounds = 11, 300
	ledger, planner := place.NewLedger(), place.New(place.Options{})
	rules, _ := place.CompileRules(nil)
	for i := range workers {
		ledger.SetWorker(testWorker(i), model.Resources{}, nil)
		for jobIndex := range tasksPerWorker - 2 {
			ledger.Adopt(testWorker(i).ID, placeTask(jobRow(10_000+i*100+jobIndex)))
		}
	}
	secondsBefore, placed := processorSeconds(), 0
	for round := range rounds {
		snapshot := place.Snapshot{Workers: ledger.Workers(), TeamUse: ledger.TeamUse()}
		for jobIndex := range perRound {
			row := jobRow(round*perRound + jobIndex)
			snapshot.Jobs = append(snapshot.Jobs, place.Job{Spec: row.Spec, Labels: row.Spec.Labels, Size: row.Spec.Resources, SubmitOrder: uint64(jobIndex)})
		}
		for _, assignment := range planner.Plan(snapshot).Assignments {
			task := place.Task{Attempt: model.AttemptID{Job: assignment.Job, Number: 1}, Team: assignment.Team, Size: assignment.Size, Labels: assignment.Labels}
			if ledger.Reserve(assignment, task, place.Policy{Rules: rules}) == place.ReasonNone {
				placed++
				ledger.Release(task.Attempt)
			}
		}
	}
	return (processorSeconds() - secondsBefore) / float64(placed)
}

func placeTask(r model.JobRow) place.Task {
	return place.Task{Attempt: model.AttemptID{Job: r.Spec.ID, Number: 1}, Team: r.Spec.Team, Class: r.Spec.Class,
		Labels: r.Spec.Labels, Size: r.Spec.Resources}
}

// Guards against a simulation whose agents or table do not send the answers that
// the core waits for: the benchmarks would then measure an idle controller.
func TestControllerDriverStartsEveryJob(t *testing.T) {
	c := newController(11)
	c.fillWorkers(11, 2)
	c.startedCount = 0
	c.runLoad(4, 5*time.Second)
	c.advance(5 * time.Second)
	require.Equal(t, 20, c.startedCount)
	require.Equal(t, 22, c.runningCount)
}
