package explore

import (
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"time"
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
	Charts   fs.FS // replaces charts/agentattempt.scxml; nil: the embedded one
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
