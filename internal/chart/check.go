package chart

import (
	"sort"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// maxNames is the number of values of State and of Event.
const maxNames = 256

// Check reports the findings that need no binding: undefined initial state or
// target, duplicate or unreachable state, wait state without a timeout, and a
// final state with transitions.
func (d *Document) Check() finding.List {
	var found finding.List
	index := map[string]int{}
	for i, s := range d.States {
		if _, twice := index[s.ID]; twice {
			found.Add(d.File, s.Line, s.ID, "state is defined twice")
		}
		index[s.ID] = i
	}
	if _, ok := index[d.Initial]; !ok {
		found.Add(d.File, 1, "scxml", "initial state %q is not defined", d.Initial)
	}
	for _, s := range d.States {
		d.checkState(s, index, &found)
	}
	d.checkReachable(index, &found)
	if n := len(d.States); n > maxNames {
		found.Add(d.File, 1, "scxml", "%d states, at most %d are supported", n, maxNames)
	}
	if n := len(d.Events()); n > maxNames {
		found.Add(d.File, 1, "scxml", "%d events, at most %d are supported", n, maxNames)
	}
	return found
}

func (d *Document) checkState(s StateNode, index map[string]int, found *finding.List) {
	for _, t := range s.Transitions {
		if _, ok := index[t.Target]; t.Target != "" && !ok {
			found.Add(d.File, t.Line, s.ID, "target %q of event %q is not defined", t.Target, t.Event)
		}
	}
	switch {
	case s.Final && len(s.Transitions) > 0:
		found.Add(d.File, s.Line, s.ID, "a final state has no transitions")
	case !s.Final && s.Timeout == nil && !s.Rest:
		found.Add(d.File, s.Line, s.ID, "wait state has neither a timeout nor rest=\"true\"")
	case s.Timeout != nil && !s.handles(s.Timeout.Event):
		found.Add(d.File, s.Timeout.Line, s.ID, "timeout event %q has no transition here", s.Timeout.Event)
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

func (d *Document) checkReachable(index map[string]int, found *finding.List) {
	reached := map[string]bool{}
	todo := []string{d.Initial}
	for len(todo) > 0 {
		id := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		i, ok := index[id]
		if !ok || reached[id] {
			continue
		}
		reached[id] = true
		for _, t := range d.States[i].Transitions {
			todo = append(todo, t.Target)
		}
	}
	for _, s := range d.States {
		if !reached[s.ID] {
			found.Add(d.File, s.Line, s.ID, "state is unreachable")
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
