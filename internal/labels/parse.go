package labels

import (
	"fmt"
	"strings"
)

// SyntaxError is a defect of a selector's text.
type SyntaxError struct {
	Input  string
	Column int // 1-based, in bytes
	Text   string
}

// Error states the position and what was expected there.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("selector %q, column %d: %s", e.Input, e.Column, e.Text)
}

// Parse reads a selector: requirements separated by commas, each one of
// key=value, key==value, key!=value, key in (a,b), key notin (a,b), key and
// !key. Blanks between the parts are ignored. The error is a *SyntaxError.
// The empty string is the selector that matches everything.
func Parse(text string) (Selector, error) {
	p := &parser{text: text}
	var s Selector
	p.blanks()
	if p.end() {
		return s, nil
	}
	for {
		r, err := p.requirement()
		if err != nil {
			return Selector{}, err
		}
		s.requirements = append(s.requirements, r)
		p.blanks()
		if p.end() {
			return s, nil
		}
		if !p.take(",") {
			return Selector{}, p.fail(p.at, "expected a comma or the end, found %q", p.rest())
		}
	}
}

type parser struct {
	text string
	at   int
}

func (p *parser) end() bool { return p.at >= len(p.text) }

// rest is the start of the unread text, for messages.
func (p *parser) rest() string { return p.text[p.at:min(len(p.text), p.at+16)] }

func (p *parser) fail(at int, format string, args ...any) error {
	return &SyntaxError{Input: p.text, Column: at + 1, Text: fmt.Sprintf(format, args...)}
}

func (p *parser) blanks() {
	for !p.end() && (p.text[p.at] == ' ' || p.text[p.at] == '\t') {
		p.at++
	}
}

func (p *parser) take(token string) bool {
	p.blanks()
	if !strings.HasPrefix(p.text[p.at:], token) {
		return false
	}
	p.at += len(token)
	return true
}

// word reads a run of the characters that keys and values consist of.
func (p *parser) word() (string, int) {
	p.blanks()
	start := p.at
	for !p.end() && wordByte(p.text[p.at]) {
		p.at++
	}
	return p.text[start:p.at], start
}

func (p *parser) key() (string, error) {
	key, at := p.word()
	if key == "" {
		return "", p.fail(at, "expected a label key")
	}
	if defect := keyDefect(key); defect != "" {
		return "", p.fail(at, "key %q %s", key, defect)
	}
	return key, nil
}

func (p *parser) value() (string, error) {
	value, at := p.word()
	if defect := valueDefect(value); defect != "" {
		return "", p.fail(at, "value %q %s", value, defect)
	}
	return value, nil
}

func (p *parser) requirement() (Requirement, error) {
	absent := p.take("!")
	key, err := p.key()
	if err != nil {
		return Requirement{}, err
	}
	r := Requirement{Key: key, Operator: Exists}
	if absent {
		r.Operator = Absent
		return r, nil
	}
	switch {
	case p.take("!="):
		r.Operator = NotIn
	case p.take("=="), p.take("="):
		r.Operator = In
	default:
		return r, p.set(&r)
	}
	value, err := p.value()
	r.Values = []string{value}
	return r, err
}

// set reads "in (a,b)" or "notin (a,b)", if either follows.
func (p *parser) set(r *Requirement) error {
	word, at := p.word()
	switch word {
	case "":
		return nil
	case "in":
		r.Operator = In
	case "notin":
		r.Operator = NotIn
	default:
		return p.fail(at, "expected =, !=, in, notin or a comma, found %q", word)
	}
	if !p.take("(") {
		return p.fail(p.at, "expected ( after %q", word)
	}
	for {
		value, err := p.value()
		if err != nil {
			return err
		}
		if r.Values = append(r.Values, value); p.take(")") {
			return nil
		}
		if !p.take(",") {
			return p.fail(p.at, "expected a comma or ) in the list of values")
		}
	}
}
