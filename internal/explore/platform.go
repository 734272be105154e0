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

// table models the part of the table service that controllers use.
type table struct {
	revision         storage.Revision
	epoch            rows.CellEpoch
	epochVersion     storage.Revision
	heartbeatVersion storage.Revision
	jobs             map[model.JobID]control.JobRow
}

func newTable(jobs int) table {
	t := table{jobs: map[model.JobID]control.JobRow{}}
	for i := range jobs {
		t.revision++
		id := model.JobID([]string{"j", "k", "l", "m", "n"}[i])
		t.jobs[id] = control.JobRow{ID: id, Version: t.revision, Row: model.JobRow{Phase: "pending",
			Spec: model.JobSpec{ID: id, Team: "t", Class: "b", Resources: model.Resources{CPU: taskCPU}}}}
	}
	return t
}

// operation is a table operation whose response the controller has not yet
// received. A transaction whose response was lost is answered once the table
// can be read again.
type operation struct {
	effect   control.Effect
	applied  bool
	response control.Event
}

// performOperations carries out the table operations of controller i and
// delivers their responses.
func (w *world) performOperations(i int) {
	c := &w.controllers[i]
	var remaining []operation
	for _, op := range c.operations {
		w.perform(c, &op)
		if op.response == nil || (c.responsesLost || c.tableUnavailable) && isTransaction(op.effect) {
			remaining = append(remaining, op)
			continue
		}
		w.progressed = true
		c.inbox = append(c.inbox, op.response)
	}
	c.operations = remaining
}

// isTransaction reports whether an effect is a transaction whose outcome the
// controller has to learn, unlike a read or a heartbeat.
func isTransaction(f control.Effect) bool {
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
	errUnreachable := errors.New("unreachable")
	switch f := op.effect.(type) {
	case control.Observe:
		op.response = control.Observed{Epoch: w.table.epoch, EpochVersion: w.table.epochVersion, HeartbeatVersion: w.table.heartbeatVersion}
		if c.tableUnavailable || c.responsesLost {
			op.response = control.Observed{Err: errUnreachable}
		}
	case control.Scan:
		op.response = w.scan(f)
		if c.tableUnavailable || c.responsesLost {
			op.response = control.Scanned{Fence: f.Fence, Err: errUnreachable}
		}
	case control.WriteHeartbeat:
		op.response = control.HeartbeatWritten{Fence: f.Fence, Sent: f.Sent}
		if !c.tableUnavailable {
			op.response = w.writeHeartbeat(f, c.responsesLost)
		}
	default:
		if c.tableUnavailable {
			return
		}
		op.applied = true
		op.response = w.commit(op.effect)
	}
}

// writeHeartbeat applies a heartbeat write; with responseLost the
// controller does not learn whether it took effect.
func (w *world) writeHeartbeat(f control.WriteHeartbeat, responseLost bool) control.Event {
	ok := f.Fence == w.table.epochVersion
	if ok {
		w.table.revision++
		w.table.heartbeatVersion = w.table.revision
	}
	if responseLost {
		return control.HeartbeatWritten{Fence: f.Fence, Sent: f.Sent}
	}
	return control.HeartbeatWritten{Fence: f.Fence, Sent: f.Sent, OK: ok, Fenced: !ok}
}

func (w *world) scan(f control.Scan) control.Event {
	e := control.Scanned{Fence: f.Fence, Through: w.table.revision}
	for _, id := range slices.Sorted(maps.Keys(w.table.jobs)) {
		if r := w.table.jobs[id]; r.Version > f.After {
			e.Rows = append(e.Rows, r)
		}
	}
	return e
}

// commit applies a Claim or a Commit to the table and checks that no row of an
// ended job is written.
func (w *world) commit(f control.Effect) control.Event {
	t := &w.table
	if claim, ok := f.(control.Claim); ok {
		if claim.Version != t.epochVersion {
			return control.Claimed{}
		}
		t.revision++
		t.epoch, t.epochVersion = claim.Epoch, t.revision
		w.tracef("%s owns epoch %d in the table", claim.Epoch.Owner, claim.Epoch.Epoch)
		return control.Claimed{Won: true, Version: t.revision}
	}
	c := f.(control.Commit)
	if c.Fence != t.epochVersion && !w.model.NoFence {
		return control.Rejected{Fence: c.Fence, Fenced: true}
	}
	rejected := control.Rejected{Fence: c.Fence}
	for _, r := range c.Writes {
		if current := t.jobs[r.ID]; current.Version != r.Version && !w.model.NoFence {
			rejected.Rows = append(rejected.Rows, current)
		}
	}
	if len(rejected.Rows) > 0 {
		return rejected
	}
	t.revision++
	for _, r := range c.Writes {
		if isFinal(t.jobs[r.ID].Row.Phase) {
			w.failure = "the row of a job that has ended is written again"
		}
		w.tracef("row of %s: %s, attempt %d on %s", r.ID, r.Row.Phase, r.Row.Attempt, r.Row.Worker)
		t.jobs[r.ID] = control.JobRow{ID: r.ID, Row: r.Row, Version: t.revision}
	}
	return control.Committed{Fence: c.Fence, Revision: t.revision}
}

func isFinal(p model.Phase) bool { return p == "done" || p == "cancelled" || p == "failed" }

// firstFit is a stateless planner that places each job on the first ready
// worker with enough free resources.
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
