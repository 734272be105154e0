package explore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// task is a task on a worker.
type task struct {
	id    model.AttemptID
	began time.Duration
	lease time.Duration // end of the worker's own lease
	state model.TaskState
	saved int
}

func (w *world) settle(t *task) {
	end := t.began + w.model.Work
	switch {
	case t.state != model.TaskRunning:
	case end <= w.now && end <= t.lease:
		t.state = model.TaskDone
	case t.lease <= w.now:
		t.state = model.TaskStopped
		w.note("the worker's lease of %s ends", t.id)
	}
}

// call carries out the calls of an agent to its worker. A frozen process
// makes no calls.
func (w *world) call(i int) {
	a := &w.agent[i]
	if a.frozen || a.core == nil || len(a.calls) == 0 {
		return
	}
	w.events = true
	calls := a.calls
	a.calls = nil
	for j := range a.runs {
		w.settle(&a.runs[j])
	}
	for _, f := range calls {
		e := w.answer(a, f)
		if a.lossy {
			e = lost(e)
		}
		a.inbox = append(a.inbox, e)
	}
}

func lost(e taskagent.Event) taskagent.Event {
	switch e := e.(type) {
	case taskagent.CallResult:
		return taskagent.CallResult{Call: e.Call, Attempt: e.Attempt, Err: context.DeadlineExceeded}
	default:
		return taskagent.ListResult{Err: context.DeadlineExceeded}
	}
}

func (w *world) answer(a *agent, f taskagent.Effect) taskagent.Event {
	switch f := f.(type) {
	case taskagent.CallStart:
		return w.start(a, f)
	case taskagent.CallRenew:
		t := a.task(f.Attempt)
		if d := min(lease.WorkerTTL, f.Until-w.now); t != nil && t.state == model.TaskRunning && d > 0 {
			t.lease = w.now + d
		}
		return taskagent.CallResult{Call: taskagent.RenewCall, Attempt: f.Attempt}
	case taskagent.CallCheckpoint:
		ans := taskagent.CallResult{Call: taskagent.CheckpointCall, Attempt: f.Attempt}
		if t := a.task(f.Attempt); t != nil && t.state == model.TaskRunning {
			t.saved++
			ans.Checkpoint = taskagent.CheckpointPrefix(f.Attempt) + string(rune('0'+t.saved))
		}
		return ans
	case taskagent.CallThrottle:
		return taskagent.CallResult{Call: taskagent.ThrottleCall, Attempt: f.Attempt}
	case taskagent.CallStop:
		if t := a.task(f.Attempt); t != nil && t.state == model.TaskRunning {
			t.state = model.TaskStopped
			w.note("%s stops %s", a.id, f.Attempt)
		}
		return taskagent.CallResult{Call: taskagent.StopCall, Attempt: f.Attempt}
	}
	var list []taskagent.Task
	for _, t := range a.runs {
		list = append(list, taskagent.Task{Attempt: t.id, State: t.state, Result: taskagent.ResultName(t.id)})
	}
	return taskagent.ListResult{Tasks: list}
}

// taskCPU is the size of every job, capacityCPU that of a worker.
const taskCPU, capacityCPU = 500, 1000

// start runs a task and checks that no other attempt of the job is live and
// that the worker has room.
func (w *world) start(a *agent, f taskagent.CallStart) taskagent.Event {
	id := f.Request.Attempt
	d := min(lease.WorkerTTL, f.Until-w.now)
	if d <= 0 {
		return taskagent.CallResult{Call: taskagent.StartCall, Attempt: id, Refused: true, Err: errors.New("the lease ended")}
	}
	if a.task(id) != nil {
		return taskagent.CallResult{Call: taskagent.StartCall, Attempt: id}
	}
	w.note("%s starts %s", a.id, id)
	for i := range w.agent {
		for j := range w.agent[i].runs {
			t := &w.agent[i].runs[j]
			if w.settle(t); t.id.Job == id.Job && t.state == model.TaskRunning {
				w.failure = "two live attempts: " + t.id.String() + " on " + string(w.agent[i].id) + " and " + id.String() + " on " + string(a.id)
			}
		}
	}
	if (a.running()+1)*taskCPU > capacityCPU {
		w.failure = string(a.id) + " has no room for " + id.String()
	}
	a.runs = append(a.runs, task{id: id, began: w.now, lease: w.now + d, state: model.TaskRunning})
	return taskagent.CallResult{Call: taskagent.StartCall, Attempt: id}
}

// running counts the tasks that run, once each is settled.
func (a *agent) running() (n int) {
	for i := range a.runs {
		if a.runs[i].state == model.TaskRunning {
			n++
		}
	}
	return n
}

func (a *agent) task(id model.AttemptID) *task {
	for i := range a.runs {
		if a.runs[i].id == id {
			return &a.runs[i]
		}
	}
	return nil
}
