package explore

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// sum is a fingerprint of the state. Two states with the same one have the
// same future, but for a collision of 64 bits.
func (x *explorer) sum(w *world) uint64 {
	scale := w.scale()
	b := x.buf[:0]
	if !x.mayBranch(w) {
		b = append(b, "tail"...) // compared at other points of a round
	}
	ints := func(values ...int64) {
		for _, v := range values {
			b = binary.AppendVarint(b, v)
		}
	}
	ints(int64(w.spent), int64(w.table.epoch.Epoch), int64(scale.RevisionRank(w.table.epochVersion)), int64(scale.RevisionRank(w.table.beatVersion)))
	ints(int64(min(w.now, x.model.Window)), int64(w.boots))
	for _, id := range slices.Sorted(maps.Keys(w.table.jobs)) {
		r := w.table.jobs[id]
		b = fmt.Appendf(b, "%s %s %d %s %s %v %d", id, r.Row.Phase, r.Row.Attempt, r.Row.Worker, r.Row.Checkpoint, r.Row.CancelRequested, scale.RevisionRank(r.Version))
	}
	for _, f := range w.active {
		ints(int64(f.kind), int64(f.c), int64(f.a), int64(f.until-w.now))
	}
	for i := range w.ctl {
		b = w.appendController(b, i, scale)
	}
	for i := range w.agent {
		b = w.appendAgent(b, i, scale)
	}
	for c := range w.link {
		for a := range w.link[c] {
			l := &w.link[c][a]
			b = fmt.Appendf(b, "%v|", l.up)
			b = w.appendMessages(b, a, l.down, scale)
			b = w.appendMessages(b, a, l.upward, scale)
		}
	}
	x.buf = b
	return xxhash.Sum64(b)
}

func (w *world) appendController(b []byte, i int, scale control.Normalizer) []byte {
	c := &w.ctl[i]
	if c.core == nil {
		return append(b, "killed"...)
	}
	b = c.core.AppendState(b, scale)
	for _, op := range c.ops {
		b = fmt.Appendf(b, "op %T %v", op.effect, op.applied)
		switch f := op.effect.(type) {
		case control.Commit:
			b = fmt.Appendf(b, "%d", scale.RevisionRank(f.Fence))
			for _, r := range f.Writes {
				b = fmt.Appendf(b, "%s %s %d %d", r.ID, r.Row.Phase, r.Row.Attempt, scale.RevisionRank(r.Version))
			}
		case control.Claim:
			b = fmt.Appendf(b, "%d", scale.RevisionRank(f.Version))
		case control.WriteHeartbeat:
			b = fmt.Appendf(b, "%d %d", scale.RevisionRank(f.Fence), f.Sent-w.now)
		}
	}
	for _, e := range c.inbox {
		b = w.appendControlEvent(b, e, scale)
	}
	return b
}

func (w *world) appendControlEvent(b []byte, e control.Event, scale control.Normalizer) []byte {
	b = fmt.Appendf(b, "in %T", e)
	switch e := e.(type) {
	case control.Received:
		b = append(b, e.Worker...)
		b = w.appendMessages(b, index(e.Worker), []msg.Control{e.Msg}, scale)
	case control.HeartbeatWritten:
		b = fmt.Appendf(b, "%d %d %v %v", scale.RevisionRank(e.Fence), e.Sent-w.now, e.OK, e.Fenced)
	case control.Scanned:
		b = fmt.Appendf(b, "%d %v %d", scale.RevisionRank(e.Fence), e.Err != nil, len(e.Rows))
	case control.Committed:
		b = fmt.Appendf(b, "%d", scale.RevisionRank(e.Fence))
	case control.Rejected:
		b = fmt.Appendf(b, "%d %v %d", scale.RevisionRank(e.Fence), e.Fenced, len(e.Rows))
	case control.Claimed:
		b = fmt.Appendf(b, "%v %d", e.Won, scale.RevisionRank(e.Version))
	case control.Observed:
		b = fmt.Appendf(b, "%v %d %d", e.Err != nil, scale.RevisionRank(e.EpochVersion), scale.RevisionRank(e.HeartbeatVersion))
	case control.PeerUp:
		b = fmt.Appendf(b, "%s %d", e.Worker.ID, e.Boot)
	case control.PeerDown:
		b = append(b, e.Worker...)
	}
	return b
}

func (w *world) appendAgent(b []byte, i int, scale control.Normalizer) []byte {
	a := &w.agent[i]
	seq := func(n uint64) int64 { return scale.SequenceOffset(a.id, n) }
	for _, t := range a.runs {
		b = fmt.Appendf(b, "%s %s %d", t.id, t.state, t.saved)
		if t.state == model.TaskRunning {
			b = fmt.Appendf(b, "%d %d", t.began-w.now, t.lease-w.now)
		}
	}
	if a.core == nil {
		return append(b, "killed"...)
	}
	b = a.core.AppendState(b, seq)
	for _, f := range a.calls {
		b = fmt.Appendf(b, "call %T", f)
		switch f := f.(type) {
		case taskagent.CallStart:
			b = fmt.Appendf(b, "%s %d", f.Request.Attempt, f.Until-w.now)
		case taskagent.CallRenew:
			b = fmt.Appendf(b, "%s %d", f.Attempt, f.Until-w.now)
		case taskagent.CallStop:
			b = append(b, f.Attempt.String()...)
		}
	}
	for _, e := range a.inbox {
		b = w.appendTaskEvent(b, i, e, scale)
	}
	return b
}

func (w *world) appendTaskEvent(b []byte, i int, e taskagent.Event, scale control.Normalizer) []byte {
	b = fmt.Appendf(b, "in %T", e)
	switch e := e.(type) {
	case taskagent.Received:
		b = append(b, e.Entry...)
		b = w.appendMessages(b, i, []msg.Control{e.Msg}, scale)
	case taskagent.CallResult:
		b = fmt.Appendf(b, "%d %s %v %v %s", e.Call, e.Attempt, e.Err != nil, e.Refused, e.Checkpoint)
	case taskagent.ListResult:
		b = fmt.Appendf(b, "%v", e.Err != nil)
		for _, t := range e.Tasks {
			b = fmt.Appendf(b, "%s %s", t.Attempt, t.State)
		}
	case taskagent.LinkUp:
		b = append(b, e.Entry...)
	case taskagent.LinkDown:
		b = append(b, e.Entry...)
	}
	return b
}

func index(id model.WorkerID) int {
	for i := range agents {
		if workerID(i) == id {
			return i
		}
	}
	return 0
}

// appendMessages encodes messages; usage reports have no influence here.
func (w *world) appendMessages(b []byte, a int, list []msg.Control, scale control.Normalizer) []byte {
	seq := func(n uint64) int64 { return scale.SequenceOffset(workerID(a), n) }
	for _, m := range list {
		b = fmt.Appendf(b, "%T", m)
		switch m := m.(type) {
		case *msg.LeaseRenew:
			b = fmt.Appendf(b, "%d %d %d", m.Epoch, seq(m.Sequence), m.TTL)
		case *msg.LeaseAck:
			b = fmt.Appendf(b, "%d %d", m.Epoch, seq(m.Sequence))
		case *msg.StartTask:
			b = fmt.Appendf(b, "%d %s", m.Epoch, m.Attempt)
		case *msg.StopTask:
			b = fmt.Appendf(b, "%d %s", m.Epoch, m.Attempt)
		case *msg.TaskAck:
			b = fmt.Appendf(b, "%d %s", m.Epoch, m.Attempt)
		case *msg.CellClaim:
			b = fmt.Appendf(b, "%d", m.Epoch)
		case *msg.TaskReport:
			b = fmt.Appendf(b, "%d %s %s %s", m.Epoch, m.Attempt, m.State, m.Checkpoint)
		case *msg.Inventory:
			b = fmt.Appendf(b, "%d", m.Epoch)
			for _, r := range m.Attempts {
				b = fmt.Appendf(b, "%s %s", r.Attempt, r.State)
			}
		}
	}
	return b
}

// scale ranks the revisions of the state and counts lease sequence numbers
// from the smallest one in use for a worker.
func (w *world) scale() control.Normalizer {
	revisions := []storage.Revision{0, w.table.rev, w.table.epochVersion, w.table.beatVersion}
	add := func(r storage.Revision) { revisions = append(revisions, r) }
	for _, r := range w.table.jobs {
		add(r.Version)
	}
	var base [agents]uint64
	for i := range w.ctl {
		if c := w.ctl[i].core; c != nil {
			c.EachRevision(add)
			for a := range base {
				base[a] = max(base[a], c.Sequence(workerID(a)))
			}
		}
	}
	slices.Sort(revisions)
	revisions = slices.Compact(revisions)
	return control.Normalizer{
		RevisionRank: func(r storage.Revision) int { i, _ := slices.BinarySearch(revisions, r); return i },
		SequenceOffset: func(id model.WorkerID, n uint64) int64 {
			if n == 0 {
				return 1 << 40
			}
			return int64(n) - int64(base[index(id)])
		},
	}
}
