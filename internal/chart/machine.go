package chart

import (
	"io/fs"
	"time"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// State is an index into Binding.States.
type State uint8

// Event is an index into Binding.Events.
type Event uint8

// Binding maps the names in a chart to the constants and functions of its
// owner. Every name in the file must be bound and every bound name used.
type Binding[T any] struct {
	Chart   string   // file name without the extension
	States  []string // index is the owner's State constant
	Events  []string // index is the owner's Event constant
	Guards  map[string]func(*T) bool
	Actions map[string]func(*T)
	Delays  map[string]time.Duration
}

// Machine is a compiled chart. It is immutable and may be used by any number
// of goroutines; the current state of each instance is held by its owner.
type Machine[T any] struct {
	name            string
	states          []string
	events          []string
	initial         State
	final           []bool
	timeouts        []timeout
	transitions     []transition[T] // sorted by state, in document order
	firstTransition []int           // by state*len(events)+event: index in transitions, or -1
}

type timeout struct {
	delay time.Duration
	event Event
	set   bool // the state has a timeout
}

type transition[T any] struct {
	guard        func(*T) bool // nil: unconditional
	negated      bool
	changesState bool
	target       State
	actions      []func(*T)
	next         int // in Machine.transitions: index of the next transition of the same state and event, or -1
}

// MustCompile is Compile for charts that are embedded in the program; it
// panics with every finding.
func MustCompile[T any](fsys fs.FS, b Binding[T]) *Machine[T] {
	m, err := Compile(fsys, b)
	if err != nil {
		panic(err)
	}
	return m
}

// Compile loads, checks and binds a chart. The error is a finding.List with
// every finding, unless the file cannot be read.
func Compile[T any](fsys fs.FS, b Binding[T]) (*Machine[T], error) {
	doc, err := Parse(fsys, b.Chart)
	if err != nil {
		return nil, err
	}
	c := compiler[T]{doc: doc, binding: b, findings: doc.Check(), used: map[string]bool{}}
	c.states, c.events = indexOf(b.States), indexOf(b.Events)
	m := c.compileMachine()
	c.checkUnused()
	if err := c.findings.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

// Initial returns the chart's initial state.
func (m *Machine[T]) Initial() State { return m.initial }

// Final reports whether s is a final state.
func (m *Machine[T]) Final(s State) bool { return m.final[s] }

// StateName returns the name of s in the chart file.
func (m *Machine[T]) StateName(s State) string { return m.states[s] }

// EventName returns the name of e in the chart file.
func (m *Machine[T]) EventName(e Event) string { return m.events[e] }

// Timeout returns the event that s sends to itself and its delay; ok is false
// if s has no timeout. The owner starts the timer when it enters s.
func (m *Machine[T]) Timeout(s State) (d time.Duration, e Event, ok bool) {
	t := m.timeouts[s]
	return t.delay, t.event, t.set
}

// Step takes the first transition of *s in document order whose event is e
// and whose guard holds: it sets *s, then runs the actions in order. It
// returns false if there is no such transition. It does not allocate.
func (m *Machine[T]) Step(t *T, s *State, e Event) bool {
	i := m.firstTransition[int(*s)*len(m.events)+int(e)]
	for ; i >= 0; i = m.transitions[i].next {
		r := &m.transitions[i]
		if r.guard != nil && r.guard(t) == r.negated {
			continue
		}
		if r.changesState {
			*s = r.target
		}
		for _, act := range r.actions {
			act(t)
		}
		return true
	}
	return false
}

// Can reports whether Step would take a transition. It runs guards only.
func (m *Machine[T]) Can(t *T, s State, e Event) bool {
	for i := m.firstTransition[int(s)*len(m.events)+int(e)]; i >= 0; i = m.transitions[i].next {
		r := &m.transitions[i]
		if r.guard == nil || r.guard(t) != r.negated {
			return true
		}
	}
	return false
}

func indexOf(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, n := range names {
		index[n] = i
	}
	return index
}

// compiler binds the names of a Document and collects the findings.
type compiler[T any] struct {
	doc            *Document
	binding        Binding[T]
	findings       finding.List
	states, events map[string]int  // index in the binding, by name
	used           map[string]bool // "kind name" of every name in the file
}

func (c *compiler[T]) report(line int, element, format string, args ...any) {
	c.findings.Add(c.doc.File, line, element, format, args...)
}

func (c *compiler[T]) compileMachine() *Machine[T] {
	n := len(c.binding.States)
	m := &Machine[T]{
		name: c.doc.Name, states: c.binding.States, events: c.binding.Events,
		final: make([]bool, n), timeouts: make([]timeout, n),
		firstTransition: make([]int, n*len(c.binding.Events)),
	}
	for i := range m.firstTransition {
		m.firstTransition[i] = -1
	}
	m.initial = State(c.states[c.doc.Initial])
	for _, s := range c.doc.States {
		c.compileState(m, s)
	}
	return m
}

func (c *compiler[T]) compileState(m *Machine[T], s StateNode) {
	i, ok := c.states[s.ID]
	c.used["state "+s.ID] = true
	if !ok {
		c.report(s.Line, s.ID, "state is not bound")
		return
	}
	m.final[i] = s.Final
	if s.Timeout != nil {
		m.timeouts[i] = c.compileTimeout(s)
	}
	lastOfEvent := map[int]int{}
	for _, t := range s.Transitions {
		e, ok := c.events[t.Event]
		c.used["event "+t.Event] = true
		if !ok {
			c.report(t.Line, s.ID, "event %q is not bound", t.Event)
			continue
		}
		index := len(m.transitions)
		m.transitions = append(m.transitions, c.compileTransition(s, t))
		if prev, exists := lastOfEvent[e]; exists {
			m.transitions[prev].next = index
		} else {
			m.firstTransition[i*len(c.binding.Events)+e] = index
		}
		lastOfEvent[e] = index
	}
}

func (c *compiler[T]) compileTimeout(s StateNode) timeout {
	c.used["delay "+s.Timeout.Delay] = true
	d, ok := c.binding.Delays[s.Timeout.Delay]
	if !ok || d <= 0 {
		c.report(s.Timeout.Line, s.ID, "delay %q is not bound to a positive duration", s.Timeout.Delay)
	}
	return timeout{delay: d, event: Event(c.events[s.Timeout.Event]), set: true}
}

func (c *compiler[T]) compileTransition(s StateNode, t TransitionNode) transition[T] {
	r := transition[T]{negated: t.Negated, changesState: t.Target != "", next: -1}
	if r.changesState {
		r.target = State(c.states[t.Target])
	}
	if t.Cond != "" {
		c.used["guard "+t.Cond] = true
		if r.guard = c.binding.Guards[t.Cond]; r.guard == nil {
			c.report(t.Line, s.ID, "guard %q is not bound", t.Cond)
		}
	}
	for _, name := range t.Actions {
		c.used["action "+name] = true
		act := c.binding.Actions[name]
		if act == nil {
			c.report(t.Line, s.ID, "action %q is not bound", name)
			continue
		}
		r.actions = append(r.actions, act)
	}
	return r
}

// checkUnused reports bound names that the file does not use, such as an event
// that no state handles or an action that no transition runs.
func (c *compiler[T]) checkUnused() {
	reportUnused := func(kind, name string) {
		if !c.used[kind+" "+name] {
			c.report(1, "scxml", "%s %q is bound but the chart does not use it", kind, name)
		}
	}
	for _, n := range c.binding.States {
		reportUnused("state", n)
	}
	for _, n := range c.binding.Events {
		reportUnused("event", n)
	}
	for _, n := range sortedKeys(c.binding.Guards) {
		reportUnused("guard", n)
	}
	for _, n := range sortedKeys(c.binding.Actions) {
		reportUnused("action", n)
	}
	for _, n := range sortedKeys(c.binding.Delays) {
		reportUnused("delay", n)
	}
}
