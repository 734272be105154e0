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

// fingerprint returns a hash of the state. Apart from collisions of the 64 bit
// hash, states with equal fingerprints have the same successors.
func (x *explorer) fingerprint(w *world) uint64 {
	norm := w.normalizer()
	b := x.buf[:0]
	if !x.canBeginFault(w) {
		b = append(b, "tail"...) // visit compares these states only when time advances
	}
	ints := func(values ...int64) {
		for _, v := range values {
			b = binary.AppendVarint(b, v)
		}
	}
	ints(int64(w.faultsBegun), int64(w.table.epoch.Epoch), int64(norm.RevisionRank(w.table.epochVersion)), int64(norm.RevisionRank(w.table.heartbeatVersion)))
	ints(int64(min(w.now, x.model.Window)), int64(w.lastBoot))
	for _, id := range slices.Sorted(maps.Keys(w.table.jobs)) {
		r := w.table.jobs[id]
		b = fmt.Appendf(b, "%s %s %d %s %s %v %d", id, r.Row.Phase, r.Row.Attempt, r.Row.Worker, r.Row.Checkpoint, r.Row.CancelRequested, norm.RevisionRank(r.Version))
	}
	for _, f := range w.activeFaults {
		ints(int64(f.kind), int64(f.controller), int64(f.agent), int64(f.until-w.now))
	}
	for i := range w.controllers {
		b = w.appendController(b, i, norm)
	}
	for i := range w.agents {
		b = w.appendAgent(b, i, norm)
	}
	for c := range w.links {
		for a := range w.links[c] {
			l := &w.links[c][a]
			b = fmt.Appendf(b, "%v|", l.up)
			b = w.appendMessages(b, a, l.toAgent, norm)
			b = w.appendMessages(b, a, l.toController, norm)
		}
	}
	x.buf = b
	return xxhash.Sum64(b)
}

func (w *world) appendController(b []byte, i int, norm control.Normalizer) []byte {
	c := &w.controllers[i]
	if c.core == nil {
		return append(b, "killed"...)
	}
	b = c.core.AppendState(b, norm)
	for _, op := range c.operations {
		b = fmt.Appendf(b, "op %T %v", op.effect, op.applied)
		switch f := op.effect.(type) {
		case control.Commit:
			b = fmt.Appendf(b, "%d", norm.RevisionRank(f.Fence))
			for _, r := range f.Writes {
				b = fmt.Appendf(b, "%s %s %d %d", r.ID, r.Row.Phase, r.Row.Attempt, norm.RevisionRank(r.Version))
			}
		case control.Claim:
			b = fmt.Appendf(b, "%d", norm.RevisionRank(f.Version))
		case control.WriteHeartbeat:
			b = fmt.Appendf(b, "%d %d", norm.RevisionRank(f.Fence), f.Sent-w.now)
		}
	}
	for _, e := range c.inbox {
		b = w.appendControlEvent(b, e, norm)
	}
	return b
}

func (w *world) appendControlEvent(b []byte, e control.Event, norm control.Normalizer) []byte {
	b = fmt.Appendf(b, "in %T", e)
	switch e := e.(type) {
	case control.Received:
		b = append(b, e.Worker...)
		b = w.appendMessages(b, workerIndex(e.Worker), []msg.Control{e.Msg}, norm)
	case control.HeartbeatWritten:
		b = fmt.Appendf(b, "%d %d %v %v", norm.RevisionRank(e.Fence), e.Sent-w.now, e.OK, e.Fenced)
	case control.Scanned:
		b = fmt.Appendf(b, "%d %v %d", norm.RevisionRank(e.Fence), e.Err != nil, len(e.Rows))
	case control.Committed:
		b = fmt.Appendf(b, "%d", norm.RevisionRank(e.Fence))
	case control.Rejected:
		b = fmt.Appendf(b, "%d %v %d", norm.RevisionRank(e.Fence), e.Fenced, len(e.Rows))
	case control.Claimed:
		b = fmt.Appendf(b, "%v %d", e.Won, norm.RevisionRank(e.Version))
	case control.Observed:
		b = fmt.Appendf(b, "%v %d %d", e.Err != nil, norm.RevisionRank(e.EpochVersion), norm.RevisionRank(e.HeartbeatVersion))
	case control.PeerUp:
		b = fmt.Appendf(b, "%s %d", e.Worker.ID, e.Boot)
	case control.PeerDown:
		b = append(b, e.Worker...)
	}
	return b
}

func (w *world) appendAgent(b []byte, i int, norm control.Normalizer) []byte {
	a := &w.agents[i]
	seq := func(n uint64) int64 { return norm.SequenceOffset(a.id, n) }
	for _, t := range a.tasks {
		b = fmt.Appendf(b, "%s %s %d", t.id, t.state, t.checkpoints)
		if t.state == model.TaskRunning {
			b = fmt.Appendf(b, "%d %d", t.startedAt-w.now, t.leaseEnd-w.now)
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
		b = w.appendTaskEvent(b, i, e, norm)
	}
	return b
}

func (w *world) appendTaskEvent(b []byte, i int, e taskagent.Event, norm control.Normalizer) []byte {
	b = fmt.Appendf(b, "in %T", e)
	switch e := e.(type) {
	case taskagent.Received:
		b = append(b, e.Entry...)
		b = w.appendMessages(b, i, []msg.Control{e.Msg}, norm)
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

func workerIndex(id model.WorkerID) int {
	for i := range agentCount {
		if workerID(i) == id {
			return i
		}
	}
	return 0
}

// appendMessages encodes the messages of a link to or from agent a. Usage
// reports have no contents here, since they do not affect the outcome.
func (w *world) appendMessages(b []byte, a int, list []msg.Control, norm control.Normalizer) []byte {
	seq := func(n uint64) int64 { return norm.SequenceOffset(workerID(a), n) }
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

// normalizer replaces revisions by their rank among those of the state, and
// lease sequence numbers by their offset from the highest that a controller
// keeps for the worker. States that differ only in absolute numbers then have
// equal fingerprints.
func (w *world) normalizer() control.Normalizer {
	revisions := []storage.Revision{0, w.table.revision, w.table.epochVersion, w.table.heartbeatVersion}
	add := func(r storage.Revision) { revisions = append(revisions, r) }
	for _, r := range w.table.jobs {
		add(r.Version)
	}
	var maxSequence [agentCount]uint64
	for i := range w.controllers {
		if c := w.controllers[i].core; c != nil {
			c.EachRevision(add)
			for a := range maxSequence {
				maxSequence[a] = max(maxSequence[a], c.Sequence(workerID(a)))
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
			return int64(n) - int64(maxSequence[workerIndex(id)])
		},
	}
}
