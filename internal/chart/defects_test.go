package chart

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a defect of a chart file that is accepted silently or makes
// the parser panic.
func TestParseReportsDefects(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"transition in a misplaced state": {
			`<state id="a"><transition event="e"/></state>`, "c.scxml:1: state: element <state> must be inside <scxml>",
		},
		"timeout in a misplaced state": {
			`<state id="a"><onentry><send event="e" delayexpr="d"/></onentry></state>`, "element <state> must be inside <scxml>",
		},
		"negation without a guard": {
			`<scxml name="x" initial="a"><state id="a"><transition event="e" cond="!"/></state></scxml>`,
			`c.scxml:1: transition: cond "!" names no guard`,
		},
		"second chart in the file": {
			"<scxml initial=\"a\"><final id=\"a\"/></scxml>\n<scxml name=\"y\" initial=\"a\"/>",
			"c.scxml:2: scxml: a file holds one chart",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseBytes("c.scxml", []byte(c.text))
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against an index that overflows State or Event and so denotes another
// state or event.
func TestCheckBoundsStatesAndEvents(t *testing.T) {
	var b strings.Builder
	b.WriteString(`<scxml xmlns:c="urn:bambooscale:chart" name="x" initial="s0">`)
	for i := range 257 {
		fmt.Fprintf(&b, `<state id="s%d" c:rest="true"><transition event="e%d" target="s%d"/></state>`, i, i, (i+1)%257)
	}
	b.WriteString(`</scxml>`)
	doc, err := ParseBytes("c.scxml", []byte(b.String()))
	require.NoError(t, err)
	findings := doc.Check().Err()
	require.ErrorContains(t, findings, "257 states, at most 256")
	require.ErrorContains(t, findings, "257 events, at most 256")
}
