package explore

import (
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"time"
)

// Model describes the schedules of an exploration: two controllers, two agents,
// Jobs jobs and at most Faults faults of the given Kinds. A fault begins in any
// round before Window and lasts for one of the Durations.
type Model struct {
	Jobs      int           // at most 5
	Work      time.Duration // run time of each job
	Faults    int
	Kinds     []Kind
	Durations []time.Duration
	Window    time.Duration
	// MaxWait is the time after Window within which every job has to end. While
	// faults are active, the limit is later by the time at which the last ends.
	MaxWait time.Duration
	Charts  fs.FS // contains the hold.scxml to use; nil: the embedded chart
	NoFence bool  // the table ignores preconditions, to test the checks themselves
	// MaxStates is the number of states after which the exploration stops; 0 is
	// no limit.
	MaxStates int
}

// Result is the outcome of an exploration.
type Result struct {
	States    int    // distinct states that were reached
	Schedules int    // schedules that ran to their end without reaching a known state
	Complete  bool   // no schedule was left and MaxStates was not reached; set by Run only
	Violation string // the first violation; empty: none
	Trace     string // the schedule that led to the violation, one step a line
}

// Run explores all schedules of the model depth first and stops at the first
// violation.
func Run(m Model) Result {
	x := &explorer{model: &m, faults: faultsOf(m.Kinds), visited: map[uint64]struct{}{}}
	x.pending = []*world{newWorld(&m)}
	for len(x.pending) > 0 && x.result.Violation == "" && !x.limitReached() {
		w := x.pending[len(x.pending)-1]
		x.pending = x.pending[:len(x.pending)-1]
		x.runSchedule(w)
	}
	x.result.States = len(x.visited)
	x.result.Complete = len(x.pending) == 0 && !x.limitReached()
	return x.result
}

type explorer struct {
	model   *Model
	faults  []fault
	visited map[uint64]struct{}
	pending []*world
	result  Result
	buf     []byte
}

func (x *explorer) limitReached() bool {
	return x.model.MaxStates > 0 && len(x.visited) >= x.model.MaxStates
}

// runSchedule runs a schedule until it ends or reaches a known state. At each
// round it queues the schedules in which a fault begins.
func (x *explorer) runSchedule(w *world) {
	for !x.limitReached() {
		w.round()
		if w.failure != "" {
			x.recordViolation(w, w.failure)
			return
		}
		if x.visit(w) {
			return
		}
		if w.finished() && w.now > x.model.Window {
			x.result.Schedules++
			return
		}
		if w.now > w.lastFaultEnd()+x.model.MaxWait+x.model.Window {
			x.recordViolation(w, "stuck: a job has not ended within MaxWait although no fault is active")
			return
		}
		x.queueBranches(w)
	}
}

// visit records the state and reports whether it is already known. Where no
// fault can begin, it compares only states from which time advances, since
// these determine the rounds between them.
func (x *explorer) visit(w *world) bool {
	if !x.canBeginFault(w) && w.progressed {
		return false
	}
	key := x.fingerprint(w)
	_, known := x.visited[key]
	x.visited[key] = struct{}{}
	return known
}

func (x *explorer) canBeginFault(w *world) bool {
	return w.faultsBegun < x.model.Faults && w.now < x.model.Window
}

// queueBranches queues a copy of the schedule for each fault that can begin now.
func (x *explorer) queueBranches(w *world) {
	if !x.canBeginFault(w) {
		return
	}
	for _, f := range x.faults {
		if w.conflicts(f) {
			continue
		}
		durations := x.model.Durations
		if !f.hasDuration() {
			durations = durations[:1]
		}
		for _, d := range durations {
			next := w.clone()
			next.beginFault(f, d)
			x.pending = append(x.pending, next)
		}
	}
}

func (x *explorer) recordViolation(w *world, description string) {
	x.result.Violation = description
	var lines []string
	for s := w.trace; s != nil; s = s.previous {
		lines = append(lines, fmt.Sprintf("%8s  %s", s.at, s.text))
	}
	slices.Reverse(lines)
	x.result.Trace = strings.Join(lines, "\n")
}

// conflicts reports whether f cannot begin: the same fault is active, or the
// process that it concerns is killed.
func (w *world) conflicts(f fault) bool {
	for _, a := range w.activeFaults {
		if a.kind == f.kind && a.controller == f.controller && a.agent == f.agent {
			return true
		}
	}
	return f.kind <= TableResponsesLost && w.controllers[f.controller].core == nil || f.kind > TableResponsesLost && f.kind <= WorkerResponsesLost && w.agents[f.agent].core == nil
}

// lastFaultEnd returns the time at which the last active fault ends, or 0
// without active faults.
func (w *world) lastFaultEnd() time.Duration {
	end := time.Duration(0)
	for _, f := range w.activeFaults {
		end = max(end, f.until)
	}
	return end
}

// finished reports whether every job has ended and no fault is active.
func (w *world) finished() bool {
	for _, r := range w.table.jobs {
		if !isFinal(r.Row.Phase) {
			return false
		}
	}
	return len(w.activeFaults) == 0
}

func (w *world) clone() *world {
	n := *w
	n.table.jobs = maps.Clone(w.table.jobs)
	n.activeFaults = slices.Clone(w.activeFaults)
	for i := range n.controllers {
		c := &n.controllers[i]
		c.inbox, c.operations = slices.Clone(c.inbox), slices.Clone(c.operations)
		if c.core != nil {
			c.core = c.core.Clone()
		}
	}
	for i := range n.agents {
		a := &n.agents[i]
		a.inbox, a.calls, a.tasks = slices.Clone(a.inbox), slices.Clone(a.calls), slices.Clone(a.tasks)
		if a.core != nil {
			a.core = a.core.Clone()
		}
	}
	for c := range n.links {
		for a := range n.links[c] {
			l := &n.links[c][a]
			l.toAgent, l.toController = slices.Clone(l.toAgent), slices.Clone(l.toController)
		}
	}
	return &n
}
