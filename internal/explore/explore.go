package explore

import (
	"encoding/binary"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/platform"
	"github.com/bambooscale/bambooscale/internal/tasks"
)

// Model bounds an exploration: two controllers, two agents, a few jobs, and
// every schedule with at most Faults faults of the Kinds, each begun at any
// round before Window and lasting for any of Durations.
type Model struct {
	Jobs      int
	Work      time.Duration
	Faults    int
	Kinds     []Kind
	Durations []time.Duration
	Window    time.Duration
	// Patience is how long after its last fault a schedule may take until
	// every job is over.
	Patience time.Duration
	Charts   fs.FS // replaces charts/hold.scxml; nil: the embedded one
	NoFence  bool  // the table ignores preconditions: a planted fault
	// MaxStates ends the exploration; 0 is no limit.
	MaxStates int
}

// Result is what an exploration covered.
type Result struct {
	States    int  // distinct states
	Schedules int  // runs to an end that was not covered before
	Complete  bool // MaxStates was not reached
	Violation string
	Trace     string // of the violation
}

// Run explores the model depth first and stops at the first violation.
func Run(m Model) Result {
	x := &explorer{model: &m, faults: places(m.Kinds), seen: map[uint64]struct{}{}}
	x.todo = []*world{newWorld(&m)}
	for len(x.todo) > 0 && x.result.Violation == "" && !x.full() {
		w := x.todo[len(x.todo)-1]
		x.todo = x.todo[:len(x.todo)-1]
		x.follow(w)
	}
	x.result.States = len(x.seen)
	x.result.Complete = len(x.todo) == 0 && !x.full()
	return x.result
}

type explorer struct {
	model  *Model
	faults []fault
	seen   map[uint64]struct{}
	todo   []*world
	result Result
	buf    []byte
}

func (x *explorer) full() bool { return x.model.MaxStates > 0 && len(x.seen) >= x.model.MaxStates }

// follow runs a schedule to its end or to a state that was seen before, and
// queues the alternatives on the way.
func (x *explorer) follow(w *world) {
	for !x.full() {
		w.round()
		if w.failure != "" {
			x.violate(w, w.failure)
			return
		}
		if x.covered(w) {
			return
		}
		if w.over() && w.now > x.model.Window {
			x.result.Schedules++
			return
		}
		if w.now > w.lastEnd()+x.model.Patience+x.model.Window {
			x.violate(w, "stuck: a job is not over although every fault has ended long ago")
			return
		}
		x.branch(w)
	}
}

// covered reports whether the state was seen before, and notes it. Where no
// fault can begin, only the states from which time passes are compared: the
// rounds between them follow from these.
func (x *explorer) covered(w *world) bool {
	if !x.mayBranch(w) && w.events {
		return false
	}
	sum := x.sum(w)
	_, covered := x.seen[sum]
	x.seen[sum] = struct{}{}
	return covered
}

func (x *explorer) mayBranch(w *world) bool {
	return w.spent < x.model.Faults && w.now < x.model.Window
}

// branch queues the schedules that differ by a fault that begins now.
func (x *explorer) branch(w *world) {
	if !x.mayBranch(w) {
		return
	}
	for _, f := range x.faults {
		if w.has(f) {
			continue
		}
		durations := x.model.Durations
		if !f.timed() {
			durations = durations[:1]
		}
		for _, d := range durations {
			next := w.clone()
			next.begin(f, d)
			x.todo = append(x.todo, next)
		}
	}
}

func (x *explorer) violate(w *world, what string) {
	x.result.Violation = what
	var lines []string
	for s := w.trace; s != nil; s = s.before {
		lines = append(lines, fmt.Sprintf("%8s  %s", s.at, s.text))
	}
	slices.Reverse(lines)
	x.result.Trace = strings.Join(lines, "\n")
}

// has reports whether a fault of the same process or link is in force.
func (w *world) has(f fault) bool {
	for _, a := range w.active {
		if a.kind == f.kind && a.c == f.c && a.a == f.a {
			return true
		}
	}
	return f.kind <= TableLossy && w.ctl[f.c].core == nil || f.kind > TableLossy && f.kind <= WorkerLossy && w.agent[f.a].core == nil
}

// lastEnd is when the last fault in force ends.
func (w *world) lastEnd() time.Duration {
	end := time.Duration(0)
	for _, f := range w.active {
		end = max(end, f.until)
	}
	return end
}

func (w *world) over() bool {
	for _, r := range w.table.jobs {
		if !over(r.Row.Phase) {
			return false
		}
	}
	return len(w.active) == 0
}

func (w *world) clone() *world {
	n := *w
	n.table.jobs = maps.Clone(w.table.jobs)
	n.active = slices.Clone(w.active)
	for i := range n.ctl {
		c := &n.ctl[i]
		c.inbox, c.ops = slices.Clone(c.inbox), slices.Clone(c.ops)
		if c.core != nil {
			c.core = c.core.Clone()
		}
	}
	for i := range n.agent {
		a := &n.agent[i]
		a.inbox, a.calls, a.runs = slices.Clone(a.inbox), slices.Clone(a.calls), slices.Clone(a.runs)
		if a.core != nil {
			a.core = a.core.Clone()
		}
	}
	for c := range n.link {
		for a := range n.link[c] {
			l := &n.link[c][a]
			l.down, l.upward = slices.Clone(l.down), slices.Clone(l.upward)
		}
	}
	return &n
}

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
	ints(int64(w.spent), int64(w.table.epoch.Epoch), int64(scale.Rank(w.table.epochVersion)), int64(scale.Rank(w.table.beatVersion)))
	ints(int64(min(w.now, x.model.Window)), int64(w.boots))
	for _, id := range slices.Sorted(maps.Keys(w.table.jobs)) {
		r := w.table.jobs[id]
		b = fmt.Appendf(b, "%s %s %d %s %s %v %d", id, r.Row.Phase, r.Row.Attempt, r.Row.Worker, r.Row.Checkpoint, r.Row.Cancel, scale.Rank(r.Version))
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

func (w *world) appendController(b []byte, i int, scale control.Scale) []byte {
	c := &w.ctl[i]
	if c.core == nil {
		return append(b, "killed"...)
	}
	b = c.core.AppendState(b, scale)
	for _, op := range c.ops {
		b = fmt.Appendf(b, "op %T %v", op.effect, op.applied)
		switch f := op.effect.(type) {
		case control.Commit:
			b = fmt.Appendf(b, "%d", scale.Rank(f.Fence))
			for _, r := range f.Writes {
				b = fmt.Appendf(b, "%s %s %d %d", r.ID, r.Row.Phase, r.Row.Attempt, scale.Rank(r.Version))
			}
		case control.Claim:
			b = fmt.Appendf(b, "%d", scale.Rank(f.Version))
		case control.Beat:
			b = fmt.Appendf(b, "%d %d", scale.Rank(f.Fence), f.Sent-w.now)
		}
	}
	for _, e := range c.inbox {
		b = fmt.Appendf(b, "in %T", e)
		switch e := e.(type) {
		case control.Received:
			b = append(b, e.Worker...)
			b = w.appendMessages(b, index(e.Worker), []msg.Control{e.Msg}, scale)
		case control.Beaten:
			b = fmt.Appendf(b, "%d %d %v %v", scale.Rank(e.Fence), e.Sent-w.now, e.OK, e.Fenced)
		case control.Scanned:
			b = fmt.Appendf(b, "%d %v %d", scale.Rank(e.Fence), e.Err != nil, len(e.Rows))
		case control.Committed:
			b = fmt.Appendf(b, "%d", scale.Rank(e.Fence))
		case control.Rejected:
			b = fmt.Appendf(b, "%d %v %d", scale.Rank(e.Fence), e.Fenced, len(e.Rows))
		case control.Claimed:
			b = fmt.Appendf(b, "%v %d", e.Won, scale.Rank(e.Version))
		case control.Observed:
			b = fmt.Appendf(b, "%v %d %d", e.Err != nil, scale.Rank(e.EpochVersion), scale.Rank(e.BeatVersion))
		case control.PeerUp:
			b = fmt.Appendf(b, "%s %d", e.Worker.ID, e.Boot)
		case control.PeerDown:
			b = append(b, e.Worker...)
		}
	}
	return b
}

func (w *world) appendAgent(b []byte, i int, scale control.Scale) []byte {
	a := &w.agent[i]
	seq := func(n uint64) int64 { return scale.Seq(a.id, n) }
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
		case tasks.CallStart:
			b = fmt.Appendf(b, "%s %d", f.Request.Attempt, f.Until-w.now)
		case tasks.CallRenew:
			b = fmt.Appendf(b, "%s %d", f.Attempt, f.Until-w.now)
		case tasks.CallStop:
			b = append(b, f.Attempt.String()...)
		}
	}
	for _, e := range a.inbox {
		b = fmt.Appendf(b, "in %T", e)
		switch e := e.(type) {
		case tasks.Received:
			b = append(b, e.Entry...)
			b = w.appendMessages(b, i, []msg.Control{e.Msg}, scale)
		case tasks.Answer:
			b = fmt.Appendf(b, "%d %s %v %v %s", e.Call, e.Attempt, e.Err != nil, e.Refused, e.Checkpoint)
		case tasks.Listed:
			b = fmt.Appendf(b, "%v", e.Err != nil)
			for _, t := range e.Tasks {
				b = fmt.Appendf(b, "%s %s", t.Attempt, t.State)
			}
		case tasks.LinkUp:
			b = append(b, e.Entry...)
		case tasks.LinkDown:
			b = append(b, e.Entry...)
		}
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
func (w *world) appendMessages(b []byte, a int, list []msg.Control, scale control.Scale) []byte {
	seq := func(n uint64) int64 { return scale.Seq(workerID(a), n) }
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
func (w *world) scale() control.Scale {
	revisions := []platform.Revision{0, w.table.rev, w.table.epochVersion, w.table.beatVersion}
	add := func(r platform.Revision) { revisions = append(revisions, r) }
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
	return control.Scale{
		Rank: func(r platform.Revision) int { i, _ := slices.BinarySearch(revisions, r); return i },
		Seq: func(id model.WorkerID, n uint64) int64 {
			if n == 0 {
				return 1 << 40
			}
			return int64(n) - int64(base[index(id)])
		},
	}
}
