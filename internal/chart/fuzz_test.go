package chart

import (
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// Guards against a chart file that panics, whose defects are not reported as
// findings, or that passes Check and then cannot be compiled with every name
// bound.
func FuzzChart(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, err := ParseBytes("c.scxml", raw)
		if err != nil {
			require.IsType(t, finding.List{}, err)
			return
		}
		_ = doc.Mermaid()
		findings := doc.Check()
		m, err := Compile(fstest.MapFS{"c.scxml": {Data: raw}}, bindAll(doc))
		if len(findings) > 0 {
			require.Error(t, err)
			return
		}
		require.NoError(t, err)
		for s := range len(doc.States) {
			for e := range len(doc.Events()) {
				state, steps := State(s), 0
				require.Equal(t, m.Can(&steps, state, Event(e)), m.Step(&steps, &state, Event(e)))
				require.Less(t, int(state), len(doc.States))
			}
			if _, e, ok := m.Timeout(State(s)); ok {
				require.Less(t, int(e), len(doc.Events()))
			}
		}
	})
}

// bindAll binds every name of a chart. The actions increment the instance, an int.
func bindAll(doc *Document) Binding[int] {
	b := Binding[int]{
		Chart: "c", Events: doc.Events(), Guards: map[string]func(*int) bool{},
		Actions: map[string]func(*int){}, Delays: map[string]time.Duration{},
	}
	for _, s := range doc.States {
		b.States = append(b.States, s.ID)
		if s.Timeout != nil {
			b.Delays[s.Timeout.Delay] = time.Second
		}
		for _, tr := range s.Transitions {
			if tr.Cond != "" {
				b.Guards[tr.Cond] = func(n *int) bool { return *n%2 == 0 }
			}
			for _, a := range tr.Actions {
				b.Actions[a] = func(n *int) { *n++ }
			}
		}
	}
	return b
}
