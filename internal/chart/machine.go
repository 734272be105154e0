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

// Binding ties the names in a chart to the constants and functions of its
// owner. Every name in the file must be bound and every bound name used.
type Binding[T any] struct {
	Chart   string   // file name without the ending
	States  []string // index is the owner's State constant
	Events  []string // index is the owner's Event constant
	Guards  map[string]func(*T) bool
	Actions map[string]func(*T)
	Delays  map[string]time.Duration
}

// Machine is a compiled chart. It is immutable and may be used by any number
// of goroutines; the instance's state is held by its owner.
type Machine[T any] struct {
	name     string
	states   []string
	events   []string
	initial  State
	final    []bool
	timeouts []timeout
	rows     []row[T] // sorted by state, in document order
	first    []int    // state*events+event: first row, or -1
}

type timeout struct {
	delay time.Duration
	event Event
	set   bool
}

type row[T any] struct {
	guard   func(*T) bool // nil: always
	negated bool
	move    bool
	target  State
	actions []func(*T)
	next    int // next row for the same state and event, or -1
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
	c := compiler[T]{doc: doc, b: b, found: doc.Check(), used: map[string]bool{}}
	c.states, c.events = indexOf(b.States), indexOf(b.Events)
	m := c.machine()
	c.checkUnused()
	if err := c.found.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

// Initial returns the chart's initial state.
func (m *Machine[T]) Initial() State { return m.initial }

// Final reports whether s is a final state.
func (m *Machine[T]) Final(s State) bool { return m.final[s] }

// Name returns the name of s as the file has it.
func (m *Machine[T]) StateName(s State) string { return m.states[s] }

// EventName returns the name of e as the file has it.
func (m *Machine[T]) EventName(e Event) string { return m.events[e] }

// Timeout returns the event that s sends to itself and after how long; ok is
// false when s has no timeout. The owner arms the timer on entry.
func (m *Machine[T]) Timeout(s State) (d time.Duration, e Event, ok bool) {
	t := m.timeouts[s]
	return t.delay, t.event, t.set
}

// Step takes the first transition of *s in document order whose event is e
// and whose guard holds: it sets *s, then runs the actions in order. It
// returns false when there is none. It does not allocate.
func (m *Machine[T]) Step(t *T, s *State, e Event) bool {
	i := m.first[int(*s)*len(m.events)+int(e)]
	for ; i >= 0; i = m.rows[i].next {
		r := &m.rows[i]
		if r.guard != nil && r.guard(t) == r.negated {
			continue
		}
		if r.move {
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
	for i := m.first[int(s)*len(m.events)+int(e)]; i >= 0; i = m.rows[i].next {
		r := &m.rows[i]
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

type compiler[T any] struct {
	doc            *Document
	b              Binding[T]
	found          finding.List
	states, events map[string]int
	used           map[string]bool // "kind name" of every name met in the file
}

func (c *compiler[T]) add(line int, where, format string, args ...any) {
	c.found.Add(c.doc.File, line, where, format, args...)
}

func (c *compiler[T]) machine() *Machine[T] {
	n := len(c.b.States)
	m := &Machine[T]{
		name: c.doc.Name, states: c.b.States, events: c.b.Events,
		final: make([]bool, n), timeouts: make([]timeout, n),
		first: make([]int, n*len(c.b.Events)),
	}
	for i := range m.first {
		m.first[i] = -1
	}
	m.initial = State(c.states[c.doc.Initial])
	for _, s := range c.doc.States {
		c.state(m, s)
	}
	return m
}

func (c *compiler[T]) state(m *Machine[T], s StateNode) {
	i, ok := c.states[s.ID]
	c.used["state "+s.ID] = true
	if !ok {
		c.add(s.Line, s.ID, "state is not bound")
		return
	}
	m.final[i] = s.Final
	if s.Timeout != nil {
		m.timeouts[i] = c.timeout(s)
	}
	last := map[int]int{}
	for _, t := range s.Transitions {
		e, ok := c.events[t.Event]
		c.used["event "+t.Event] = true
		if !ok {
			c.add(t.Line, s.ID, "event %q is not bound", t.Event)
			continue
		}
		at := len(m.rows)
		m.rows = append(m.rows, c.row(s, t))
		if prev, twice := last[e]; twice {
			m.rows[prev].next = at
		} else {
			m.first[i*len(c.b.Events)+e] = at
		}
		last[e] = at
	}
}

func (c *compiler[T]) timeout(s StateNode) timeout {
	c.used["delay "+s.Timeout.Delay] = true
	d, ok := c.b.Delays[s.Timeout.Delay]
	if !ok || d <= 0 {
		c.add(s.Timeout.Line, s.ID, "delay %q is not bound to a positive duration", s.Timeout.Delay)
	}
	return timeout{delay: d, event: Event(c.events[s.Timeout.Event]), set: true}
}

func (c *compiler[T]) row(s StateNode, t TransitionNode) row[T] {
	r := row[T]{negated: t.Negated, move: t.Target != "", next: -1}
	if r.move {
		r.target = State(c.states[t.Target])
	}
	if t.Cond != "" {
		c.used["guard "+t.Cond] = true
		if r.guard = c.b.Guards[t.Cond]; r.guard == nil {
			c.add(t.Line, s.ID, "guard %q is not bound", t.Cond)
		}
	}
	for _, name := range t.Actions {
		c.used["action "+name] = true
		act := c.b.Actions[name]
		if act == nil {
			c.add(t.Line, s.ID, "action %q is not bound", name)
			continue
		}
		r.actions = append(r.actions, act)
	}
	return r
}

// checkUnused reports bound names that the file does not use: an event that
// no state handles, or code that no chart reaches.
func (c *compiler[T]) checkUnused() {
	report := func(kind, name string) {
		if !c.used[kind+" "+name] {
			c.add(1, "scxml", "%s %q is bound but the chart does not use it", kind, name)
		}
	}
	for _, n := range c.b.States {
		report("state", n)
	}
	for _, n := range c.b.Events {
		report("event", n)
	}
	for _, n := range sortedKeys(c.b.Guards) {
		report("guard", n)
	}
	for _, n := range sortedKeys(c.b.Actions) {
		report("action", n)
	}
	for _, n := range sortedKeys(c.b.Delays) {
		report("delay", n)
	}
}
