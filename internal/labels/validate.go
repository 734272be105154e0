package labels

import (
	"fmt"
	"sort"
	"strings"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

// Limits of labels; those of names and prefixes are the usual ones of label
// syntax.
const (
	maxNameBytes   = 63
	maxPrefixBytes = 253
	maxLabels      = 64 // keeps the labels of an object within one small row
)

// Validate reports each defect of a set of labels, in the order of the keys.
func Validate(l model.Labels) finding.List {
	var findings finding.List
	if len(l) > maxLabels {
		findings.Add("labels", 0, "", "%d labels are more than the limit of %d", len(l), maxLabels)
	}
	keys := make([]string, 0, len(l))
	for k := range l {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if defect := keyDefect(k); defect != "" {
			findings.Add("labels", 0, k, "key %q %s", k, defect)
		}
		if defect := valueDefect(l[k]); defect != "" {
			findings.Add("labels", 0, k, "value %q %s", l[k], defect)
		}
	}
	return findings
}

// ValidateSelector reports each defect of a selector object.
func ValidateSelector(s model.Selector) finding.List {
	var findings finding.List
	switch s.Kind {
	case model.MayShare, model.MustStayApart:
		validateExpression(&findings, "subject", s.Subject)
		validateExpression(&findings, "object", s.Object)
	case model.YieldsFirst:
		validateExpression(&findings, "subject", s.Subject)
		if s.Object != "" {
			findings.Add("selector", 0, "object", "%s takes no object; remove it", s.Kind)
		}
	default:
		findings.Add("selector", 0, "kind", "kind %q is not one of %s, %s and %s",
			s.Kind, model.MayShare, model.MustStayApart, model.YieldsFirst)
	}
	return findings
}

func validateExpression(findings *finding.List, field, text string) {
	s, err := Parse(text)
	switch {
	case err != nil:
		findings.Add("selector", 0, field, "%v", err)
	case s.Empty():
		findings.Add("selector", 0, field, "is empty and would select everything; name at least one label")
	}
}

func isAlphanumeric(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}

func isWordByte(b byte) bool {
	return isAlphanumeric(b) || b == '-' || b == '_' || b == '.' || b == '/'
}

// keyDefect describes what is wrong with a key, which consists of an optional
// prefix with a slash and a name. It returns "" for a valid key.
func keyDefect(key string) string {
	prefix, name, hasPrefix := strings.Cut(key, "/")
	if !hasPrefix {
		prefix, name = "", key
	} else if prefix == "" || len(prefix) > maxPrefixBytes || nameDefect(prefix, maxPrefixBytes) != "" {
		return "has an invalid prefix before the slash"
	}
	if name == "" {
		return "has no name"
	}
	return nameDefect(name, maxNameBytes)
}

// valueDefect describes what is wrong with a value. It returns "" for a valid
// value, which may be empty.
func valueDefect(value string) string {
	if value == "" {
		return ""
	}
	return nameDefect(value, maxNameBytes)
}

// nameDefect describes what is wrong with a name, prefix or value, which must
// not be empty. It returns "" for a valid one.
func nameDefect(name string, maxBytes int) string {
	if len(name) > maxBytes {
		return fmt.Sprintf("is longer than %d bytes", maxBytes)
	}
	if !isAlphanumeric(name[0]) || !isAlphanumeric(name[len(name)-1]) {
		return "must begin and end with a letter or digit"
	}
	for i := 0; i < len(name); i++ {
		if !isWordByte(name[i]) || name[i] == '/' {
			return fmt.Sprintf("contains %q; use letters, digits, '-', '_' and '.'", name[i])
		}
	}
	return ""
}
