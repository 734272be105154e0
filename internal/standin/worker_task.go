package standin

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
)

// States of charts/standin-task.scxml.
const (
	taskNew chart.State = iota
	taskLoading
	taskRunning
	taskWriting
	taskDone
	taskFailed
	taskStopped
)

// Events of charts/standin-task.scxml.
const (
	taskStart chart.Event = iota
	taskStop
	taskLoaded
	taskMissing
	taskExpire
	taskDue
	taskCheckpoint
	taskThrottle
	taskWritten
)

// taskChart is set in init because its actions refer to it: a package-level
// initializer would be an initialization cycle.
var taskChart *chart.Machine[task]

func init() { taskChart = chart.MustCompile(charts.Files, TaskBinding()) }

// TaskBinding binds charts/standin-task.scxml. It is exported for the checks
// that explore the chart.
func TaskBinding() chart.Binding[task] {
	end := func(reason string) func(*task) { return func(t *task) { t.finish(reason) } }
	return chart.Binding[task]{
		Chart:  "standin-task",
		States: []string{"new", "loading", "running", "writing", "done", "failed", "stopped"},
		Events: []string{"start", "stop", "loaded", "missing", "expire", "due", "checkpoint", "throttle", "written"},
		Guards: map[string]func(*task) bool{
			"failAll": func(t *task) bool { return t.worker.faults.FailAll },
			"resumes": func(t *task) bool { return t.spec.Checkpoint != "" },
			"fails":   func(t *task) bool { return t.program.Fails },
		},
		Actions: map[string]func(*task){
			"loadCheckpoint": (*task).loadCheckpoint, "run": (*task).run, "schedule": (*task).schedule,
			"saveCheckpoint": (*task).saveCheckpoint, "writeResult": (*task).writeResult,
			"endFailAll": end("the worker fails every task"), "endMissing": end("the checkpoint does not exist"),
			"endFailed": end("the program failed"), "endStopped": end("stopped on request"),
			"endExpired": end("the lease expired"), "endDone": end(""),
		},
	}
}

// task is a task of a worker. It is owned by the worker's actor.
type task struct {
	worker  *workerState
	spec    TaskSpec
	program Program
	state   chart.State

	ctx            context.Context // of its calls to the object store
	cancel         context.CancelFunc
	leaseTimer     uint64 // id in callTimers
	dueTimer       uint64 // id in callTimers, of the end of the next step or of the program
	leaseExpiresAt time.Time

	startedAt time.Time
	endedAt   time.Time
	runTime   time.Duration // progress up to runTimeAt, as run time at full speed
	runTimeAt time.Time     // time of the last update of runTime; zero while the program does not run
	percent   int           // speed, 0 to 100

	checkpointsStarted int                             // number of checkpoints whose write has started
	checkpoint         string                          // name of the newest stored checkpoint
	checkpointReplies  []actor.Reply[answer[TaskView]] // of requests that wait for the newest checkpoint
	reason             string
	runIndex           int // index in the worker's log, or -1 if the task did not start
	usage              []usagePoint
}

// usagePoint is the consumption from at until the next point.
type usagePoint struct {
	at time.Time
	model.Resources
}

func (t *task) step(e chart.Event) bool { return taskChart.Step(t, &t.state, e) }

func (t *task) active() bool { return !taskChart.Final(t.state) }

// updateRunTime adds the time since the last update to runTime.
func (t *task) updateRunTime() {
	if t.runTimeAt.IsZero() {
		return
	}
	now := time.Now()
	t.runTime += now.Sub(t.runTimeAt) * time.Duration(t.percent) / 100
	t.runTimeAt = now
}

func (t *task) run() {
	t.runTimeAt = time.Now()
	t.schedule()
}

// schedule records the usage and sets the timer for the end of the program, or
// for that of the next step if the task writes a checkpoint after each.
func (t *task) schedule() {
	t.worker.timers.cancel(t.dueTimer)
	actual := t.program.fullSpeedUsage(t.spec.Resources)
	actual.CPU = actual.CPU * model.MilliCPU(t.percent) / 100
	t.recordUsage(actual)
	if t.percent <= 0 {
		return
	}
	next := t.program.totalRunTime()
	if t.program.Autosave {
		next = min(next, t.program.runTimeTo(t.program.completedSteps(t.runTime)+1))
	}
	wait := (next - t.runTime) * 100 / time.Duration(t.percent)
	t.dueTimer = t.worker.timers.afterFunc(max(wait, time.Nanosecond), t.stepDue)
}

// stepDue handles the timer that schedule set.
func (t *task) stepDue() {
	t.updateRunTime()
	if t.runTime >= t.program.totalRunTime() {
		t.step(taskDue)
		return
	}
	t.step(taskCheckpoint)
	t.step(taskThrottle) // sets the timer for the next step
}

func (t *task) recordUsage(r model.Resources) {
	t.usage = append(t.usage, usagePoint{time.Now(), r})
}

// usageAt returns the consumption at a time; ok is false before the first
// measurement. Successive calls must not go back in time, because it drops older
// points.
func (t *task) usageAt(at time.Time) (r model.Resources, ok bool) {
	for i := len(t.usage) - 1; i >= 0; i-- {
		if !t.usage[i].at.After(at) {
			t.usage = t.usage[i:]
			return t.usage[0].Resources, true
		}
	}
	return r, false
}

// checkpointData is the content of a checkpoint object.
type checkpointData struct {
	Task string `json:"task"`
	Step int    `json:"step"`
}

func (t *task) loadCheckpoint() {
	name := t.spec.Checkpoint
	t.worker.retryObjectCall(t.ctx, func(ctx context.Context) (message[*workerState], error) {
		raw, err := t.worker.objects.Get(ctx, name)
		if err != nil {
			return loadedMsg{id: t.spec.ID}, err
		}
		var c checkpointData
		ok := json.Unmarshal(raw, &c) == nil
		return loadedMsg{t.spec.ID, c.Step, ok}, nil
	})
}

func (t *task) saveCheckpoint() {
	t.updateRunTime()
	t.checkpointsStarted++
	name := t.spec.CheckpointPrefix + strconv.Itoa(t.checkpointsStarted)
	t.putObject(name, checkpointData{t.spec.ID, t.program.completedSteps(t.runTime)}, savedMsg{t.spec.ID, name, t.checkpointsStarted})
}

func (t *task) writeResult() {
	t.updateRunTime()
	t.runTimeAt = time.Time{}
	text := t.program.Result
	if text == "" {
		text = t.spec.ID
	}
	t.putObject(t.spec.ResultName, map[string]any{"task": t.spec.ID, "result": text}, writtenMsg{t.spec.ID})
}

// putObject stores content as JSON, repeating the call until it succeeds, and
// then sends onStored to the worker's actor. If name is empty it stores nothing.
func (t *task) putObject(name string, content any, onStored message[*workerState]) {
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err) // unreachable: the callers pass only types that can be encoded
	}
	t.worker.retryObjectCall(t.ctx, func(ctx context.Context) (message[*workerState], error) {
		if name == "" {
			return onStored, nil
		}
		return onStored, t.worker.objects.Put(ctx, name, raw)
	})
}

// finish ends the task in the final state that the chart has entered. The
// record of the task is kept for endedRetention.
func (t *task) finish(reason string) {
	t.updateRunTime()
	t.runTimeAt = time.Time{}
	t.endedAt, t.reason = time.Now(), reason
	t.cancel()
	t.worker.timers.cancel(t.dueTimer)
	t.worker.timers.cancel(t.leaseTimer)
	t.recordUsage(model.Resources{})
	t.answerCheckpoints(ErrNotRunning)
	t.worker.recordEnd(t)
	t.worker.timers.afterFunc(endedRetention, func() { delete(t.worker.tasks, t.spec.ID) })
}

// answerCheckpoints replies to the requests that wait for a checkpoint.
func (t *task) answerCheckpoints(err error) {
	for _, r := range t.checkpointReplies {
		r.Put(answer[TaskView]{t.view(), err})
	}
	t.checkpointReplies = nil
}
