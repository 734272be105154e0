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
	id          model.AttemptID
	startedAt   time.Duration
	leaseEnd    time.Duration // end of the worker's own lease
	state       model.TaskState
	checkpoints int
}

// updateTask ends a task whose work is complete or whose lease has expired.
func (w *world) updateTask(t *task) {
	end := t.startedAt + w.model.Work
	switch {
	case t.state != model.TaskRunning:
	case end <= w.now && end <= t.leaseEnd:
		t.state = model.TaskDone
	case t.leaseEnd <= w.now:
		t.state = model.TaskStopped
		w.tracef("the worker's lease of %s expires", t.id)
	}
}

// performCalls carries out the calls of agent i to its worker. A frozen agent
// makes no calls.
func (w *world) performCalls(i int) {
	a := &w.agents[i]
	if a.frozen || a.core == nil || len(a.calls) == 0 {
		return
	}
	w.progressed = true
	calls := a.calls
	a.calls = nil
	for j := range a.tasks {
		w.updateTask(&a.tasks[j])
	}
	for _, f := range calls {
		e := w.callWorker(a, f)
		if a.responsesLost {
			e = withoutResponse(e)
		}
		a.inbox = append(a.inbox, e)
	}
}

// withoutResponse returns the result of a call whose response was lost.
func withoutResponse(e taskagent.Event) taskagent.Event {
	switch e := e.(type) {
	case taskagent.CallResult:
		return taskagent.CallResult{Call: e.Call, Attempt: e.Attempt, Err: context.DeadlineExceeded}
	default:
		return taskagent.ListResult{Err: context.DeadlineExceeded}
	}
}

// callWorker applies a call to the worker and returns its result.
func (w *world) callWorker(a *agent, f taskagent.Effect) taskagent.Event {
	switch f := f.(type) {
	case taskagent.CallStart:
		return w.startTask(a, f)
	case taskagent.CallRenew:
		t := a.findTask(f.Attempt)
		if d := min(lease.WorkerTTL, f.Until-w.now); t != nil && t.state == model.TaskRunning && d > 0 {
			t.leaseEnd = w.now + d
		}
		return taskagent.CallResult{Call: taskagent.RenewCall, Attempt: f.Attempt}
	case taskagent.CallCheckpoint:
		result := taskagent.CallResult{Call: taskagent.CheckpointCall, Attempt: f.Attempt}
		if t := a.findTask(f.Attempt); t != nil && t.state == model.TaskRunning {
			t.checkpoints++
			result.Checkpoint = taskagent.CheckpointPrefix(f.Attempt) + string(rune('0'+t.checkpoints))
		}
		return result
	case taskagent.CallThrottle:
		return taskagent.CallResult{Call: taskagent.ThrottleCall, Attempt: f.Attempt}
	case taskagent.CallStop:
		if t := a.findTask(f.Attempt); t != nil && t.state == model.TaskRunning {
			t.state = model.TaskStopped
			w.tracef("%s stops %s", a.id, f.Attempt)
		}
		return taskagent.CallResult{Call: taskagent.StopCall, Attempt: f.Attempt}
	}
	var list []taskagent.Task
	for _, t := range a.tasks {
		list = append(list, taskagent.Task{Attempt: t.id, State: t.state, Result: taskagent.ResultName(t.id)})
	}
	return taskagent.ListResult{Tasks: list}
}

// taskCPU is the size of every job and capacityCPU the capacity of a worker, in
// thousandths of a core.
const taskCPU, capacityCPU = 500, 1000

// startTask starts a task and checks that no other attempt of the job is live
// and that the worker has the capacity.
func (w *world) startTask(a *agent, f taskagent.CallStart) taskagent.Event {
	id := f.Request.Attempt
	d := min(lease.WorkerTTL, f.Until-w.now)
	if d <= 0 {
		return taskagent.CallResult{Call: taskagent.StartCall, Attempt: id, Refused: true, Err: errors.New("the lease has expired")}
	}
	if a.findTask(id) != nil {
		return taskagent.CallResult{Call: taskagent.StartCall, Attempt: id}
	}
	w.tracef("%s starts %s", a.id, id)
	for i := range w.agents {
		for j := range w.agents[i].tasks {
			t := &w.agents[i].tasks[j]
			if w.updateTask(t); t.id.Job == id.Job && t.state == model.TaskRunning {
				w.failure = "two live attempts: " + t.id.String() + " on " + string(w.agents[i].id) + " and " + id.String() + " on " + string(a.id)
			}
		}
	}
	if (a.runningTasks()+1)*taskCPU > capacityCPU {
		w.failure = string(a.id) + " has no capacity for " + id.String()
	}
	a.tasks = append(a.tasks, task{id: id, startedAt: w.now, leaseEnd: w.now + d, state: model.TaskRunning})
	return taskagent.CallResult{Call: taskagent.StartCall, Attempt: id}
}

// runningTasks counts the running tasks; updateTask must have been called for
// each of them.
func (a *agent) runningTasks() (n int) {
	for i := range a.tasks {
		if a.tasks[i].state == model.TaskRunning {
			n++
		}
	}
	return n
}

func (a *agent) findTask(id model.AttemptID) *task {
	for i := range a.tasks {
		if a.tasks[i].id == id {
			return &a.tasks[i]
		}
	}
	return nil
}
