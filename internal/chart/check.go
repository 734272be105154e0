package chart

import (
	"sort"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// maxStatesOrEvents is the number of values of State, and of Event.
const maxStatesOrEvents = 256

// Check reports the defects that can be found without a binding: an undefined
// initial state or target, a duplicate or unreachable state, a state that is
// neither final nor marked rest="true" and has no timeout, a timeout event without a transition, a final state with
// transitions, and too many states or events.
func (d *Document) Check() finding.List {
	var findings finding.List
	index := map[string]int{}
	for i, s := range d.States {
		if _, duplicate := index[s.ID]; duplicate {
			findings.Add(d.File, s.Line, s.ID, "state is defined twice")
		}
		index[s.ID] = i
	}
	if _, ok := index[d.Initial]; !ok {
		findings.Add(d.File, 1, "scxml", "initial state %q is not defined", d.Initial)
	}
	for _, s := range d.States {
		d.checkState(s, index, &findings)
	}
	d.checkReachable(index, &findings)
	if n := len(d.States); n > maxStatesOrEvents {
		findings.Add(d.File, 1, "scxml", "%d states, at most %d are supported", n, maxStatesOrEvents)
	}
	if n := len(d.Events()); n > maxStatesOrEvents {
		findings.Add(d.File, 1, "scxml", "%d events, at most %d are supported", n, maxStatesOrEvents)
	}
	return findings
}

func (d *Document) checkState(s StateNode, index map[string]int, findings *finding.List) {
	for _, t := range s.Transitions {
		if _, ok := index[t.Target]; t.Target != "" && !ok {
			findings.Add(d.File, t.Line, s.ID, "target %q of event %q is not defined", t.Target, t.Event)
		}
	}
	switch {
	case s.Final && len(s.Transitions) > 0:
		findings.Add(d.File, s.Line, s.ID, "a final state has no transitions")
	case !s.Final && s.Timeout == nil && !s.Rest:
		findings.Add(d.File, s.Line, s.ID, "wait state has neither a timeout nor rest=\"true\"")
	case s.Timeout != nil && !s.handles(s.Timeout.Event):
		findings.Add(d.File, s.Timeout.Line, s.ID, "timeout event %q has no transition in this state", s.Timeout.Event)
	}
}

func (s StateNode) handles(event string) bool {
	for _, t := range s.Transitions {
		if t.Event == event {
			return true
		}
	}
	return false
}

func (d *Document) checkReachable(index map[string]int, findings *finding.List) {
	reached := map[string]bool{}
	pending := []string{d.Initial}
	for len(pending) > 0 {
		id := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		i, ok := index[id]
		if !ok || reached[id] {
			continue
		}
		reached[id] = true
		for _, t := range d.States[i].Transitions {
			pending = append(pending, t.Target)
		}
	}
	for _, s := range d.States {
		if !reached[s.ID] {
			findings.Add(d.File, s.Line, s.ID, "state is unreachable")
		}
	}
}

// Events lists the events of the chart in alphabetical order.
func (d *Document) Events() []string {
	seen := map[string]bool{}
	for _, s := range d.States {
		for _, t := range s.Transitions {
			seen[t.Event] = true
		}
	}
	list := make([]string, 0, len(seen))
	for e := range seen {
		list = append(list, e)
	}
	sort.Strings(list)
	return list
}
