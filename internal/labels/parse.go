package labels

import (
	"fmt"
	"strings"
)

// SyntaxError is a syntax error in a selector.
type SyntaxError struct {
	Input  string
	Column int // 1-based, in bytes
	Text   string
}

// Error returns the input, the position and what was expected there.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("selector %q, column %d: %s", e.Input, e.Column, e.Text)
}

// Parse reads a selector: requirements separated by commas, each one of
// key=value, key==value, key!=value, key in (a,b), key notin (a,b), key and
// !key. Spaces and tabs between the parts are ignored. The empty string is the
// selector that matches everything. The error is a *SyntaxError.
func Parse(text string) (Selector, error) {
	p := &parser{text: text}
	var s Selector
	p.skipBlanks()
	if p.atEnd() {
		return s, nil
	}
	for {
		r, err := p.requirement()
		if err != nil {
			return Selector{}, err
		}
		s.requirements = append(s.requirements, r)
		p.skipBlanks()
		if p.atEnd() {
			return s, nil
		}
		if !p.accept(",") {
			return Selector{}, p.errorAt(p.pos, "expected a comma or the end, found %q", p.excerpt())
		}
	}
}

type parser struct {
	text string
	pos  int
}

func (p *parser) atEnd() bool { return p.pos >= len(p.text) }

// excerpt returns the start of the unread text, for error messages.
func (p *parser) excerpt() string { return p.text[p.pos:min(len(p.text), p.pos+16)] }

func (p *parser) errorAt(pos int, format string, args ...any) error {
	return &SyntaxError{Input: p.text, Column: pos + 1, Text: fmt.Sprintf(format, args...)}
}

func (p *parser) skipBlanks() {
	for !p.atEnd() && (p.text[p.pos] == ' ' || p.text[p.pos] == '\t') {
		p.pos++
	}
}

// accept skips blanks and then token, if it follows, and reports whether it did.
func (p *parser) accept(token string) bool {
	p.skipBlanks()
	if !strings.HasPrefix(p.text[p.pos:], token) {
		return false
	}
	p.pos += len(token)
	return true
}

// word skips blanks and reads a run of the characters that keys and values
// consist of. It returns the run, which may be empty, and its position.
func (p *parser) word() (string, int) {
	p.skipBlanks()
	start := p.pos
	for !p.atEnd() && isWordByte(p.text[p.pos]) {
		p.pos++
	}
	return p.text[start:p.pos], start
}

func (p *parser) key() (string, error) {
	key, start := p.word()
	if key == "" {
		return "", p.errorAt(start, "expected a label key")
	}
	if defect := keyDefect(key); defect != "" {
		return "", p.errorAt(start, "key %q %s", key, defect)
	}
	return key, nil
}

func (p *parser) value() (string, error) {
	value, start := p.word()
	if defect := valueDefect(value); defect != "" {
		return "", p.errorAt(start, "value %q %s", value, defect)
	}
	return value, nil
}

func (p *parser) requirement() (Requirement, error) {
	negated := p.accept("!")
	key, err := p.key()
	if err != nil {
		return Requirement{}, err
	}
	r := Requirement{Key: key, Operator: Exists}
	if negated {
		r.Operator = Absent
		return r, nil
	}
	switch {
	case p.accept("!="):
		r.Operator = NotIn
	case p.accept("=="), p.accept("="):
		r.Operator = In
	default:
		return r, p.parseSet(&r)
	}
	value, err := p.value()
	r.Values = []string{value}
	return r, err
}

// parseSet reads "in (a,b)" or "notin (a,b)" into r. It leaves r unchanged if
// no word follows; any other word is an error.
func (p *parser) parseSet(r *Requirement) error {
	word, start := p.word()
	switch word {
	case "":
		return nil
	case "in":
		r.Operator = In
	case "notin":
		r.Operator = NotIn
	default:
		return p.errorAt(start, "expected =, !=, in, notin or a comma, found %q", word)
	}
	if !p.accept("(") {
		return p.errorAt(p.pos, "expected ( after %q", word)
	}
	for {
		value, err := p.value()
		if err != nil {
			return err
		}
		if r.Values = append(r.Values, value); p.accept(")") {
			return nil
		}
		if !p.accept(",") {
			return p.errorAt(p.pos, "expected a comma or ) in the list of values")
		}
	}
}
