// Package finding collects the defects of an input with their positions, so
// that one error reports every defect of a file or request.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one defect of an input.
type Finding struct {
	Source  string `json:"source"`          // file name, or the part of a request
	Line    int    `json:"line,omitempty"`  // 1-based; 0 when the source has no lines
	Element string `json:"where,omitempty"` // section and key, element or field
	Text    string `json:"text"`            // what is wrong and what to do
}

// String formats a finding as "source:line: element: text", without the parts
// that are empty.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.Source)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Element != "" {
		b.WriteString(f.Element)
		b.WriteString(": ")
	}
	b.WriteString(f.Text)
	return b.String()
}

// List holds the findings of one input. Use Err to return it as an error: an
// empty List is not a nil error.
type List []Finding

// Add appends a finding with a text formatted as by fmt.Sprintf.
func (l *List) Add(source string, line int, element, format string, args ...any) {
	*l = append(*l, Finding{Source: source, Line: line, Element: element, Text: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
