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

// taskChart is set in init because its actions step the chart themselves.
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
			"doomed":  func(t *task) bool { return t.w.faults.FailAll },
			"resumes": func(t *task) bool { return t.spec.Checkpoint != "" },
			"fails":   func(t *task) bool { return t.program.Fails },
		},
		Actions: map[string]func(*task){
			"loadCheckpoint": (*task).load, "run": (*task).run, "schedule": (*task).schedule,
			"saveCheckpoint": (*task).save, "writeResult": (*task).writeResult,
			"endDoomed": end("the worker fails every task"), "endMissing": end("the checkpoint does not exist"),
			"endFailed": end("the program failed"), "endStopped": end("stopped on request"),
			"endExpired": end("the lease expired"), "endDone": end(""),
		},
	}
}

// task is one task of a worker. It belongs to the worker's actor.
type task struct {
	w       *workerState
	spec    TaskSpec
	program Program
	state   chart.State

	ctx    context.Context // of its reads and writes of objects
	cancel context.CancelFunc
	lease  uint64 // timer
	due    uint64 // timer of the next step or the end
	leased time.Time

	began   time.Time
	ended   time.Time
	ran     time.Duration // progress in run time at full speed, up to since
	since   time.Time     // zero while the program does not run
	percent int

	saves      int // checkpoints begun
	checkpoint string
	waiting    []actor.Reply[answer[TaskView]] // for the checkpoint that is being written
	reason     string
	span       int // index in the worker's log, or -1
	usage      []usagePoint
}

// usagePoint is the consumption from a time on.
type usagePoint struct {
	at time.Time
	model.Resources
}

func (t *task) step(e chart.Event) bool { return taskChart.Step(t, &t.state, e) }

func (t *task) live() bool { return !taskChart.Final(t.state) }

// progress brings ran up to date.
func (t *task) progress() {
	if t.since.IsZero() {
		return
	}
	now := time.Now()
	t.ran += now.Sub(t.since) * time.Duration(t.percent) / 100
	t.since = now
}

func (t *task) run() {
	t.since = time.Now()
	t.schedule()
}

// schedule arms the timer for the next step or the end and records the usage.
func (t *task) schedule() {
	t.w.later.cancel(t.due)
	actual := t.program.actual(t.spec.Resources)
	actual.CPU = actual.CPU * model.MilliCPU(t.percent) / 100
	t.record(actual)
	if t.percent <= 0 {
		return
	}
	next := t.program.end()
	if t.program.Autosave {
		next = min(next, t.program.until(t.program.stepAt(t.ran)+1))
	}
	wait := (next - t.ran) * 100 / time.Duration(t.percent)
	t.due = t.w.later.after(max(wait, time.Nanosecond), t.reached)
}

// reached handles the timer that schedule armed.
func (t *task) reached() {
	t.progress()
	if t.ran >= t.program.end() {
		t.step(taskDue)
		return
	}
	t.step(taskCheckpoint)
	t.step(taskThrottle) // arms the timer for the next step
}

func (t *task) record(r model.Resources) {
	t.usage = append(t.usage, usagePoint{time.Now(), r})
}

// usageAt returns the consumption at a time; ok is false before the first.
func (t *task) usageAt(at time.Time) (r model.Resources, ok bool) {
	for i := len(t.usage) - 1; i >= 0; i-- {
		if !t.usage[i].at.After(at) {
			t.usage = t.usage[i:] // older points are never asked for again
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

func (t *task) load() {
	name := t.spec.Checkpoint
	t.w.retry(t.ctx, func(ctx context.Context) (message[*workerState], error) {
		raw, err := t.w.objects.Get(ctx, name)
		if err != nil {
			return loadedMsg{id: t.spec.ID}, err
		}
		var c checkpointData
		ok := json.Unmarshal(raw, &c) == nil
		return loadedMsg{t.spec.ID, c.Step, ok}, nil
	})
}

func (t *task) save() {
	t.progress()
	t.saves++
	name := t.spec.CheckpointPrefix + strconv.Itoa(t.saves)
	t.put(name, checkpointData{t.spec.ID, t.program.stepAt(t.ran)}, savedMsg{t.spec.ID, name, t.saves})
}

func (t *task) writeResult() {
	t.progress()
	t.since = time.Time{}
	text := t.program.Result
	if text == "" {
		text = t.spec.ID
	}
	t.put(t.spec.ResultName, map[string]any{"task": t.spec.ID, "result": text}, writtenMsg{t.spec.ID})
}

// put stores an object, repeating while the store is unavailable, then sends
// then to the worker. Without a name nothing is stored.
func (t *task) put(name string, content any, then message[*workerState]) {
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err) // the types above can always be encoded
	}
	t.w.retry(t.ctx, func(ctx context.Context) (message[*workerState], error) {
		if name == "" {
			return then, nil
		}
		return then, t.w.objects.Put(ctx, name, raw)
	})
}

// finish ends the task in the state that the chart has set.
func (t *task) finish(reason string) {
	t.progress()
	t.since = time.Time{}
	t.ended, t.reason = time.Now(), reason
	t.cancel()
	t.w.later.cancel(t.due)
	t.w.later.cancel(t.lease)
	t.record(model.Resources{})
	t.answerWaiting(ErrNotRunning)
	t.w.closeSpan(t)
	t.w.later.after(keepEnded, func() { delete(t.w.tasks, t.spec.ID) })
}

func (t *task) answerWaiting(err error) {
	for _, r := range t.waiting {
		r.Put(answer[TaskView]{t.view(), err})
	}
	t.waiting = nil
}
