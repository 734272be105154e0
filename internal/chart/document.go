// Package chart loads, checks and interprets lifecycle state charts. A chart
// is a file in a subset of W3C SCXML (https://www.w3.org/TR/scxml/). The
// package knows no lifecycle; the owners of the lifecycles bind the names of
// guards, actions and delays to functions and durations of theirs.
package chart

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"io/fs"
	"strings"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// Namespace is the XML namespace of the attributes that extend SCXML.
const Namespace = "urn:bambooscale:chart"

// Document is a parsed chart whose names are not bound.
type Document struct {
	File    string
	Name    string
	Initial string
	States  []StateNode
}

// StateNode is one state of a Document in document order.
type StateNode struct {
	ID          string
	Line        int
	Final       bool
	Rest        bool // may wait forever
	Timeout     *TimeoutNode
	Transitions []TransitionNode
}

// TimeoutNode is the delayed event that a state sends on entry.
type TimeoutNode struct {
	Line  int
	Event string
	Delay string // name of a bound duration
}

// TransitionNode is one transition in document order.
type TransitionNode struct {
	Line    int
	Event   string
	Cond    string // guard name, without the negation mark
	Negated bool
	Target  string // empty: stay in the state
	Actions []string
}

// Parse reads the chart name+".scxml" from fsys. The error is a finding.List
// with every syntax finding when the file can be read.
func Parse(fsys fs.FS, name string) (*Document, error) {
	file := name + ".scxml"
	raw, err := fs.ReadFile(fsys, file)
	if err != nil {
		return nil, err
	}
	return ParseBytes(file, raw)
}

// ParseBytes parses a chart held in memory; file is used in findings.
func ParseBytes(file string, raw []byte) (*Document, error) {
	p := &parser{dec: xml.NewDecoder(bytes.NewReader(raw)), doc: &Document{File: file}}
	p.run()
	if err := p.found.Err(); err != nil {
		return nil, err
	}
	return p.doc, nil
}

// parser holds the position in the element tree: scxml > state > transition
// or onentry > script or send.
type parser struct {
	dec   *xml.Decoder
	doc   *Document
	found finding.List
	root  bool // the root element was met
	path  []string
	text  strings.Builder
}

func (p *parser) run() {
	for {
		tok, err := p.dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.add("", "not well-formed XML: %v", err)
			return
		}
		switch t := tok.(type) {
		case xml.StartElement:
			p.start(t)
		case xml.EndElement:
			p.end(t)
		case xml.CharData:
			p.text.Write(t)
		}
	}
	if p.doc.Name == "" {
		p.add("scxml", "the root element <scxml> needs a name")
	}
}

func (p *parser) line() int {
	line, _ := p.dec.InputPos()
	return line
}

func (p *parser) add(where, format string, args ...any) {
	p.found.Add(p.doc.File, p.line(), where, format, args...)
}

// parents maps an element to the element that must contain it.
var parents = map[string]string{
	"scxml": "", "state": "scxml", "final": "scxml", "transition": "state",
	"onentry": "state", "script": "transition", "send": "onentry",
}

func (p *parser) start(e xml.StartElement) {
	name := e.Name.Local
	parent := ""
	if n := len(p.path); n > 0 {
		parent = p.path[n-1]
	}
	p.path = append(p.path, name)
	p.text.Reset()
	want, known := parents[name]
	if !known {
		p.add(name, "element <%s> is not in the supported subset", name)
		return
	}
	if want != parent {
		p.add(name, "element <%s> must be inside <%s>, not <%s>", name, want, parent)
		return
	}
	attrs := p.attributes(e, name)
	if (name == "transition" || name == "send") && len(p.doc.States) == 0 {
		return // inside a misplaced state, which is a finding already
	}
	p.open(name, attrs)
}

// allowed lists the attributes of each element.
var allowed = map[string]string{
	"scxml": "name initial version", "state": "id rest", "final": "id",
	"transition": "event cond target", "send": "event delayexpr",
}

func (p *parser) attributes(e xml.StartElement, name string) map[string]string {
	attrs := map[string]string{}
	for _, a := range e.Attr {
		if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" {
			continue
		}
		if !contains(strings.Fields(allowed[name]), a.Name.Local) {
			p.add(name, "attribute %q is not in the supported subset", a.Name.Local)
			continue
		}
		if a.Name.Local == "rest" && a.Name.Space != Namespace {
			p.add(name, "attribute rest must be in the namespace %s", Namespace)
		}
		attrs[a.Name.Local] = a.Value
	}
	return attrs
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func (p *parser) open(name string, attrs map[string]string) {
	switch name {
	case "scxml":
		if p.root {
			p.add(name, "a file holds one chart")
		}
		p.root = true
		p.doc.Name, p.doc.Initial = attrs["name"], attrs["initial"]
	case "state", "final":
		if attrs["id"] == "" {
			p.add(name, "element <%s> needs an id", name)
		}
		p.doc.States = append(p.doc.States, StateNode{
			ID: attrs["id"], Line: p.line(), Final: name == "final", Rest: attrs["rest"] == "true",
		})
	case "transition":
		p.openTransition(attrs)
	case "send":
		p.openSend(attrs)
	}
}

func (p *parser) current() *StateNode { return &p.doc.States[len(p.doc.States)-1] }

func (p *parser) openTransition(attrs map[string]string) {
	if attrs["event"] == "" {
		p.add("transition", "a transition needs an event")
	}
	s := p.current()
	cond := strings.TrimSpace(attrs["cond"])
	if cond == "!" {
		p.add("transition", "cond %q names no guard", cond)
	}
	s.Transitions = append(s.Transitions, TransitionNode{
		Line: p.line(), Event: attrs["event"], Target: attrs["target"],
		Cond: strings.TrimPrefix(cond, "!"), Negated: strings.HasPrefix(cond, "!"),
	})
}

func (p *parser) openSend(attrs map[string]string) {
	s := p.current()
	switch {
	case attrs["event"] == "" || attrs["delayexpr"] == "":
		p.add("send", "a send needs an event and a delayexpr")
	case s.Timeout != nil:
		p.add("send", "state %q has a second timeout", s.ID)
	default:
		s.Timeout = &TimeoutNode{Line: p.line(), Event: attrs["event"], Delay: attrs["delayexpr"]}
	}
}

func (p *parser) end(e xml.EndElement) {
	p.path = p.path[:len(p.path)-1]
	if e.Name.Local != "script" || len(p.doc.States) == 0 {
		return
	}
	s := p.current()
	if len(s.Transitions) == 0 {
		return
	}
	t := &s.Transitions[len(s.Transitions)-1]
	t.Actions = append(t.Actions, strings.Fields(p.text.String())...)
}
