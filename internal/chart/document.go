// Package chart loads, checks and interprets lifecycle state charts. A chart
// is a file in a subset of W3C SCXML (https://www.w3.org/TR/scxml/). The
// package knows no particular lifecycle: the packages that own one bind the
// names of guards, actions and delays to their functions and durations.
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

// Document is a parsed chart whose names are not bound yet.
type Document struct {
	File    string // used in findings
	Name    string
	Initial string      // name of the initial state
	States  []StateNode // in document order
}

// StateNode is one state of a Document.
type StateNode struct {
	ID          string
	Line        int
	Final       bool
	Rest        bool // an instance may stay in the state for any time, so no timeout is required
	Timeout     *TimeoutNode
	Transitions []TransitionNode // in document order
}

// TimeoutNode is the delayed event that a state sends to itself on entry.
type TimeoutNode struct {
	Line  int
	Event string
	Delay string // name of a bound duration
}

// TransitionNode is one transition of a state.
type TransitionNode struct {
	Line    int
	Event   string
	Cond    string // guard name without a leading "!"; empty: unconditional
	Negated bool
	Target  string // empty: stay in the state
	Actions []string
}

// Parse reads the chart name+".scxml" from fsys. The error is a finding.List
// of the defects found, unless the file cannot be read. Parsing stops at
// the first place that is not well-formed XML.
func Parse(fsys fs.FS, name string) (*Document, error) {
	file := name + ".scxml"
	raw, err := fs.ReadFile(fsys, file)
	if err != nil {
		return nil, err
	}
	return ParseBytes(file, raw)
}

// ParseBytes parses a chart held in memory; file is used in findings. The error
// is a finding.List, as in Parse.
func ParseBytes(file string, raw []byte) (*Document, error) {
	p := &parser{dec: xml.NewDecoder(bytes.NewReader(raw)), doc: &Document{File: file}}
	p.parse()
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	return p.doc, nil
}

// parser builds a Document from the elements scxml > state > transition >
// script and scxml > state > onentry > send.
type parser struct {
	dec          *xml.Decoder
	doc          *Document
	findings     finding.List
	sawRoot      bool // the root element has been parsed
	openElements []string
	text         strings.Builder
}

func (p *parser) parse() {
	for {
		tok, err := p.dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.report("", "not well-formed XML: %v", err)
			return
		}
		switch t := tok.(type) {
		case xml.StartElement:
			p.startElement(t)
		case xml.EndElement:
			p.endElement(t)
		case xml.CharData:
			p.text.Write(t)
		}
	}
	if p.doc.Name == "" {
		p.report("scxml", "the root element <scxml> needs a name")
	}
}

func (p *parser) line() int {
	line, _ := p.dec.InputPos()
	return line
}

func (p *parser) report(element, format string, args ...any) {
	p.findings.Add(p.doc.File, p.line(), element, format, args...)
}

// requiredParent maps an element to the element that must contain it.
var requiredParent = map[string]string{
	"scxml": "", "state": "scxml", "final": "scxml", "transition": "state",
	"onentry": "state", "script": "transition", "send": "onentry",
}

func (p *parser) startElement(e xml.StartElement) {
	name := e.Name.Local
	parent := ""
	if n := len(p.openElements); n > 0 {
		parent = p.openElements[n-1]
	}
	p.openElements = append(p.openElements, name)
	p.text.Reset()
	want, known := requiredParent[name]
	if !known {
		p.report(name, "element <%s> is not in the supported subset", name)
		return
	}
	if want != parent {
		p.report(name, "element <%s> must be inside <%s>, not <%s>", name, want, parent)
		return
	}
	attrs := p.attributes(e, name)
	if (name == "transition" || name == "send") && len(p.doc.States) == 0 {
		return // inside a misplaced state, which has been reported
	}
	p.addElement(name, attrs)
}

// allowedAttributes lists the supported attributes of each element.
var allowedAttributes = map[string]string{
	"scxml": "name initial version", "state": "id rest", "final": "id",
	"transition": "event cond target", "send": "event delayexpr",
}

func (p *parser) attributes(e xml.StartElement, name string) map[string]string {
	attrs := map[string]string{}
	for _, a := range e.Attr {
		if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" {
			continue
		}
		if !contains(strings.Fields(allowedAttributes[name]), a.Name.Local) {
			p.report(name, "attribute %q is not in the supported subset", a.Name.Local)
			continue
		}
		if a.Name.Local == "rest" && a.Name.Space != Namespace {
			p.report(name, "attribute rest must be in the namespace %s", Namespace)
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

func (p *parser) addElement(name string, attrs map[string]string) {
	switch name {
	case "scxml":
		if p.sawRoot {
			p.report(name, "a file holds one chart")
		}
		p.sawRoot = true
		p.doc.Name, p.doc.Initial = attrs["name"], attrs["initial"]
	case "state", "final":
		if attrs["id"] == "" {
			p.report(name, "element <%s> needs an id", name)
		}
		p.doc.States = append(p.doc.States, StateNode{
			ID: attrs["id"], Line: p.line(), Final: name == "final", Rest: attrs["rest"] == "true",
		})
	case "transition":
		p.addTransition(attrs)
	case "send":
		p.addTimeout(attrs)
	}
}

func (p *parser) currentState() *StateNode { return &p.doc.States[len(p.doc.States)-1] }

func (p *parser) addTransition(attrs map[string]string) {
	if attrs["event"] == "" {
		p.report("transition", "a transition needs an event")
	}
	s := p.currentState()
	cond := strings.TrimSpace(attrs["cond"])
	if cond == "!" {
		p.report("transition", "cond %q names no guard", cond)
	}
	s.Transitions = append(s.Transitions, TransitionNode{
		Line: p.line(), Event: attrs["event"], Target: attrs["target"],
		Cond: strings.TrimPrefix(cond, "!"), Negated: strings.HasPrefix(cond, "!"),
	})
}

func (p *parser) addTimeout(attrs map[string]string) {
	s := p.currentState()
	switch {
	case attrs["event"] == "" || attrs["delayexpr"] == "":
		p.report("send", "a send needs an event and a delayexpr")
	case s.Timeout != nil:
		p.report("send", "state %q has a second timeout", s.ID)
	default:
		s.Timeout = &TimeoutNode{Line: p.line(), Event: attrs["event"], Delay: attrs["delayexpr"]}
	}
}

func (p *parser) endElement(e xml.EndElement) {
	p.openElements = p.openElements[:len(p.openElements)-1]
	if e.Name.Local != "script" || len(p.doc.States) == 0 {
		return
	}
	s := p.currentState()
	if len(s.Transitions) == 0 {
		return
	}
	t := &s.Transitions[len(s.Transitions)-1]
	t.Actions = append(t.Actions, strings.Fields(p.text.String())...)
}
