package explore

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/platform"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/tasks"
)

// table is the part of the table service that controllers use.
type table struct {
	rev          platform.Revision
	epoch        rows.CellEpoch
	epochVersion platform.Revision
	beatVersion  platform.Revision
	jobs         map[model.JobID]control.JobRow
}

func newTable(jobs int) table {
	t := table{jobs: map[model.JobID]control.JobRow{}}
	for i := range jobs {
		t.rev++
		id := model.JobID([]string{"j", "k", "l"}[i])
		t.jobs[id] = control.JobRow{ID: id, Version: t.rev, Row: model.JobRow{Phase: "pending",
			Spec: model.JobSpec{ID: id, Team: "t", Class: "b", Resources: model.Resources{CPU: 500}}}}
	}
	return t
}

// operation is an effect at the table that is not answered yet. A transaction
// whose response was lost is answered when it can be read back.
type operation struct {
	effect  control.Effect
	applied bool
	answer  control.Event
}

// operate carries out the operations of a controller.
func (w *world) operate(i int) {
	c := &w.ctl[i]
	var left []operation
	for _, op := range c.ops {
		w.perform(c, &op)
		if op.answer == nil || (c.lossy || c.away) && durable(op.effect) {
			left = append(left, op)
			continue
		}
		w.events = true
		c.inbox = append(c.inbox, op.answer)
	}
	c.ops = left
}

func durable(f control.Effect) bool {
	switch f.(type) {
	case control.Claim, control.Commit:
		return true
	}
	return false
}

func (w *world) perform(c *controller, op *operation) {
	if op.applied {
		return
	}
	unreachable := errors.New("unreachable")
	switch f := op.effect.(type) {
	case control.Observe:
		op.answer = control.Observed{Epoch: w.table.epoch, EpochVersion: w.table.epochVersion, BeatVersion: w.table.beatVersion}
		if c.away || c.lossy {
			op.answer = control.Observed{Err: unreachable}
		}
	case control.Scan:
		op.answer = w.scan(f)
		if c.away || c.lossy {
			op.answer = control.Scanned{Fence: f.Fence, Err: unreachable}
		}
	case control.Beat:
		op.answer = control.Beaten{Fence: f.Fence, Sent: f.Sent}
		if !c.away {
			op.answer = w.beat(f, c.lossy)
		}
	default:
		if c.away {
			return
		}
		op.applied = true
		op.answer = w.commit(op.effect)
	}
}

func (w *world) beat(f control.Beat, lost bool) control.Event {
	ok := f.Fence == w.table.epochVersion
	if ok {
		w.table.rev++
		w.table.beatVersion = w.table.rev
	}
	if lost {
		return control.Beaten{Fence: f.Fence, Sent: f.Sent}
	}
	return control.Beaten{Fence: f.Fence, Sent: f.Sent, OK: ok, Fenced: !ok}
}

func (w *world) scan(f control.Scan) control.Event {
	e := control.Scanned{Fence: f.Fence, Through: w.table.rev}
	for _, id := range slices.Sorted(maps.Keys(w.table.jobs)) {
		if r := w.table.jobs[id]; r.Version > f.After {
			e.Rows = append(e.Rows, r)
		}
	}
	return e
}

func (w *world) commit(f control.Effect) control.Event {
	t := &w.table
	if claim, ok := f.(control.Claim); ok {
		if claim.Version != t.epochVersion {
			return control.Claimed{}
		}
		t.rev++
		t.epoch, t.epochVersion = claim.Epoch, t.rev
		w.note("%s owns epoch %d in the table", claim.Epoch.Owner, claim.Epoch.Epoch)
		return control.Claimed{Won: true, Version: t.rev}
	}
	c := f.(control.Commit)
	if c.Fence != t.epochVersion && !w.model.NoFence {
		return control.Rejected{Fence: c.Fence, Fenced: true}
	}
	rejected := control.Rejected{Fence: c.Fence}
	for _, r := range c.Writes {
		if now := t.jobs[r.ID]; now.Version != r.Version && !w.model.NoFence {
			rejected.Rows = append(rejected.Rows, now)
		}
	}
	if len(rejected.Rows) > 0 {
		return rejected
	}
	t.rev++
	for _, r := range c.Writes {
		if over(t.jobs[r.ID].Row.Phase) {
			w.failure = "the row of a job that is over is written again"
		}
		w.note("row of %s: %s, attempt %d on %s", r.ID, r.Row.Phase, r.Row.Attempt, r.Row.Worker)
		t.jobs[r.ID] = control.JobRow{ID: r.ID, Row: r.Row, Version: t.rev}
	}
	return control.Committed{Fence: c.Fence, Revision: t.rev}
}

func over(p model.Phase) bool { return p == "done" || p == "cancelled" || p == "failed" }

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

// start runs a task and checks that no other attempt of the job is live.
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
	a.runs = append(a.runs, task{id: id, began: w.now, lease: w.now + d, state: model.TaskRunning})
	return tasks.Answer{Call: tasks.DidStart, Attempt: id}
}

func (a *agent) task(id model.AttemptID) *task {
	for i := range a.runs {
		if a.runs[i].id == id {
			return &a.runs[i]
		}
	}
	return nil
}

// firstFit is a planner without state.
type firstFit struct{}

func (firstFit) Explain(place.Snapshot, model.JobID) []place.Rejection { return nil }

func (firstFit) Plan(s place.Snapshot) (p place.Plan) {
	free := make([]model.Resources, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Capacity.Sub(w.Charged)
	}
	for _, j := range s.Jobs {
		for i, w := range s.Workers {
			if w.State == place.WorkerReady && j.Size.Fits(free[i]) {
				free[i] = free[i].Sub(j.Size)
				p.Assignments = append(p.Assignments, place.Assignment{Job: j.Spec.ID, Worker: w.ID, Team: j.Spec.Team, Size: j.Size, Labels: j.Labels})
				break
			}
		}
	}
	return p
}
