package explore

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// table is the part of the table service that controllers use.
type table struct {
	rev          storage.Revision
	epoch        rows.CellEpoch
	epochVersion storage.Revision
	beatVersion  storage.Revision
	jobs         map[model.JobID]control.JobRow
}

func newTable(jobs int) table {
	t := table{jobs: map[model.JobID]control.JobRow{}}
	for i := range jobs {
		t.rev++
		id := model.JobID([]string{"j", "k", "l", "m", "n"}[i])
		t.jobs[id] = control.JobRow{ID: id, Version: t.rev, Row: model.JobRow{Phase: "pending",
			Spec: model.JobSpec{ID: id, Team: "t", Class: "b", Resources: model.Resources{CPU: taskCPU}}}}
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
		op.answer = control.Observed{Epoch: w.table.epoch, EpochVersion: w.table.epochVersion, HeartbeatVersion: w.table.beatVersion}
		if c.away || c.lossy {
			op.answer = control.Observed{Err: unreachable}
		}
	case control.Scan:
		op.answer = w.scan(f)
		if c.away || c.lossy {
			op.answer = control.Scanned{Fence: f.Fence, Err: unreachable}
		}
	case control.WriteHeartbeat:
		op.answer = control.HeartbeatWritten{Fence: f.Fence, Sent: f.Sent}
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

func (w *world) beat(f control.WriteHeartbeat, lost bool) control.Event {
	ok := f.Fence == w.table.epochVersion
	if ok {
		w.table.rev++
		w.table.beatVersion = w.table.rev
	}
	if lost {
		return control.HeartbeatWritten{Fence: f.Fence, Sent: f.Sent}
	}
	return control.HeartbeatWritten{Fence: f.Fence, Sent: f.Sent, OK: ok, Fenced: !ok}
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

// firstFit is a planner without state.
type firstFit struct{}

func (firstFit) Explain(place.Snapshot, model.JobID) []place.Explanation { return nil }

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
