// Package labels parses, checks and matches label selectors. It knows the
// syntax of labels and not what they are attached to.
package labels

import (
	"strings"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Operator is the comparison that a requirement makes.
type Operator uint8

// Operators.
const (
	In     Operator = iota // the label has one of the values
	NotIn                  // the label has none of the values or, as in other label-selector implementations, is absent
	Exists                 // the label is present
	Absent                 // the label is not present
)

// Requirement is one condition on one label.
type Requirement struct {
	Key      string
	Operator Operator
	Values   []string // for In and NotIn
}

// Selector is a parsed selector: all its requirements must hold. The zero
// value has none and matches everything. A Selector is immutable and may be
// shared between goroutines.
type Selector struct {
	requirements []Requirement
}

// Matches reports whether every requirement holds for the labels. It does not
// allocate.
func (s Selector) Matches(l model.Labels) bool {
	for i := range s.requirements {
		if !s.requirements[i].matches(l) {
			return false
		}
	}
	return true
}

// Empty reports whether the selector has no requirement.
func (s Selector) Empty() bool { return len(s.requirements) == 0 }

// RequiresLabel reports whether the selector requires some label to be
// present. Otherwise it also matches an object without labels.
func (s Selector) RequiresLabel() bool {
	for _, r := range s.requirements {
		if r.Operator == In || r.Operator == Exists {
			return true
		}
	}
	return false
}

func (r *Requirement) matches(l model.Labels) bool {
	value, ok := l[r.Key]
	switch r.Operator {
	case Exists:
		return ok
	case Absent:
		return !ok
	case In:
		return ok && r.has(value)
	}
	return !ok || !r.has(value)
}

func (r *Requirement) has(value string) bool {
	for _, v := range r.Values {
		if v == value {
			return true
		}
	}
	return false
}

// String formats the selector in the syntax that Parse reads.
func (s Selector) String() string {
	var b strings.Builder
	for i, r := range s.requirements {
		if i > 0 {
			b.WriteByte(',')
		}
		r.write(&b)
	}
	return b.String()
}

func (r Requirement) write(b *strings.Builder) {
	if r.Operator == Absent {
		b.WriteByte('!')
	}
	b.WriteString(r.Key)
	if r.Operator == Exists || r.Operator == Absent {
		return
	}
	equals, set := "=", " in ("
	if r.Operator == NotIn {
		equals, set = "!=", " notin ("
	}
	if len(r.Values) == 1 {
		b.WriteString(equals + r.Values[0])
		return
	}
	b.WriteString(set + strings.Join(r.Values, ",") + ")")
}
