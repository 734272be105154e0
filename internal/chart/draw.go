package chart

import (
	"fmt"
	"sort"
	"strings"
)

// Mermaid draws the chart as a Mermaid state diagram.
func (d *Document) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", d.Initial)
	for _, s := range d.States {
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.ID)
		}
		for _, t := range s.Transitions {
			target := t.Target
			if target == "" {
				target = s.ID
			}
			fmt.Fprintf(&b, "    %s --> %s: %s\n", s.ID, target, t.label(s))
		}
	}
	return b.String()
}

// StateNames lists the states in document order.
func (d *Document) StateNames() []string {
	names := make([]string, 0, len(d.States))
	for _, s := range d.States {
		names = append(names, s.ID)
	}
	return names
}

func (t TransitionNode) label(s StateNode) string {
	label := t.Event
	if s.Timeout != nil && s.Timeout.Event == t.Event {
		label += " (after " + s.Timeout.Delay + ")"
	}
	if t.Cond != "" {
		not := ""
		if t.Negated {
			not = "not "
		}
		label += " [" + not + t.Cond + "]"
	}
	if len(t.Actions) > 0 {
		label += " / " + strings.Join(t.Actions, ", ")
	}
	return label
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
