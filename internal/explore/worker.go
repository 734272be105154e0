package explore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/tasks"
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

func lost(e tasks.Event) tasks.Event {
	switch e := e.(type) {
	case tasks.Answer:
		return tasks.Answer{Call: e.Call, Attempt: e.Attempt, Err: context.DeadlineExceeded}
	default:
		return tasks.Listed{Err: context.DeadlineExceeded}
	}
}

func (w *world) answer(a *agent, f tasks.Effect) tasks.Event {
	switch f := f.(type) {
	case tasks.CallStart:
		return w.start(a, f)
	case tasks.CallRenew:
		t := a.task(f.Attempt)
		if d := min(lease.WorkerTTL, f.Until-w.now); t != nil && t.state == model.TaskRunning && d > 0 {
			t.lease = w.now + d
		}
		return tasks.Answer{Call: tasks.DidRenew, Attempt: f.Attempt}
	case tasks.CallCheckpoint:
		ans := tasks.Answer{Call: tasks.DidCheckpoint, Attempt: f.Attempt}
		if t := a.task(f.Attempt); t != nil && t.state == model.TaskRunning {
			t.saved++
			ans.Checkpoint = tasks.CheckpointPrefix(f.Attempt) + string(rune('0'+t.saved))
		}
		return ans
	case tasks.CallThrottle:
		return tasks.Answer{Call: tasks.DidThrottle, Attempt: f.Attempt}
	case tasks.CallStop:
		if t := a.task(f.Attempt); t != nil && t.state == model.TaskRunning {
			t.state = model.TaskStopped
			w.note("%s stops %s", a.id, f.Attempt)
		}
		return tasks.Answer{Call: tasks.DidStop, Attempt: f.Attempt}
	}
	var list []tasks.Task
	for _, t := range a.runs {
		list = append(list, tasks.Task{Attempt: t.id, State: t.state, Result: tasks.ResultName(t.id)})
	}
	return tasks.Listed{Tasks: list}
}

// taskCPU is the size of every job, capacityCPU that of a worker.
const taskCPU, capacityCPU = 500, 1000

// start runs a task and checks that no other attempt of the job is live and
// that the worker has room.
func (w *world) start(a *agent, f tasks.CallStart) tasks.Event {
	id := f.Request.Attempt
	d := min(lease.WorkerTTL, f.Until-w.now)
	if d <= 0 {
		return tasks.Answer{Call: tasks.DidStart, Attempt: id, Refused: true, Err: errors.New("the lease ended")}
	}
	if a.task(id) != nil {
		return tasks.Answer{Call: tasks.DidStart, Attempt: id}
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
	return tasks.Answer{Call: tasks.DidStart, Attempt: id}
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
