// Package load measures a running system with an open loop: requests start by
// a schedule that does not depend on the answers, and latency counts from the
// intended start, so that a stall of the system is not hidden.
package load

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// Bounds of a plan.
const (
	maxDuration    = time.Hour
	maxRate        = 50_000 // requests a second
	maxClasses     = 32
	maxConnections = 1024
	maxBytes       = 1 << 20
	// MaxRequests bounds the requests of a run.
	MaxRequests = 10_000_000
)

// Plan says what is sent.
type Plan struct {
	Target   string  `json:"target"`   // URL of an entry's callers' listener
	Seed     uint64  `json:"seed"`     // of the arrivals
	Requests int     `json:"requests"` // largest number in all
	Classes  []Class `json:"classes"`
}

// Class is a stream of similar requests.
type Class struct {
	Name        string  `json:"name"`
	Method      string  `json:"method,omitempty"` // default GET
	Path        string  `json:"path"`
	Service     string  `json:"service,omitempty"`     // header Bambooscale-Service
	Tenant      string  `json:"tenant,omitempty"`      // header Bambooscale-Tenant
	DeadlineMs  int     `json:"deadlineMs,omitempty"`  // header Bambooscale-Deadline-Ms; answers after it count as late
	Bytes       int     `json:"bytes,omitempty"`       // size of the body
	Connections int     `json:"connections,omitempty"` // default 64
	Phases      []Phase `json:"phases"`
}

// Phase is a part of a class's schedule. The rate goes linearly from From to
// To; a To of 0 keeps From, unless Ramp is set.
type Phase struct {
	Seconds float64 `json:"seconds"`
	From    float64 `json:"from"` // requests a second
	To      float64 `json:"to,omitempty"`
	Ramp    bool    `json:"ramp,omitempty"` // To is meant even when it is 0
}

func (p Phase) endRate() float64 {
	if p.To == 0 && !p.Ramp {
		return p.From
	}
	return p.To
}

func (p Phase) duration() time.Duration { return time.Duration(p.Seconds * float64(time.Second)) }

func (c Class) duration() time.Duration {
	var d time.Duration
	for _, p := range c.Phases {
		d += p.duration()
	}
	return d
}

// Duration is the length of the longest class.
func (p Plan) Duration() time.Duration {
	var d time.Duration
	for _, c := range p.Classes {
		d = max(d, c.duration())
	}
	return d
}

// Check fills in defaults and reports every finding.
func (p *Plan) Check() finding.List {
	var findings finding.List
	add := func(where, format string, args ...any) { findings.Add("plan", 0, where, format, args...) }
	if u, err := url.Parse(p.Target); err != nil || u.Scheme != "http" || u.Host == "" {
		add("target", "%q is not a URL such as http://127.0.0.1:8080", p.Target)
	}
	if p.Requests == 0 {
		p.Requests = MaxRequests
	}
	if p.Requests < 1 || p.Requests > MaxRequests {
		add("requests", "must be 1 to %d", MaxRequests)
	}
	if len(p.Classes) < 1 || len(p.Classes) > maxClasses {
		add("classes", "must be 1 to %d classes", maxClasses)
	}
	names := map[string]bool{}
	for i := range p.Classes {
		c := &p.Classes[i]
		if names[c.Name] {
			add(c.Name, "the name is used twice")
		}
		names[c.Name] = true
		c.check(func(field, format string, args ...any) { add(c.Name+"."+field, format, args...) })
	}
	return findings
}

func (c *Class) check(add func(field, format string, args ...any)) {
	if c.Method == "" {
		c.Method = http.MethodGet
	}
	if c.Connections == 0 {
		c.Connections = 64
	}
	if c.Name == "" {
		add("name", "must be set")
	}
	if !strings.HasPrefix(c.Path, "/") {
		add("path", "must begin with /")
	}
	if c.Connections < 1 || c.Connections > maxConnections {
		add("connections", "must be 1 to %d", maxConnections)
	}
	if c.Bytes < 0 || c.Bytes > maxBytes {
		add("bytes", "must be 0 to %d", maxBytes)
	}
	if c.DeadlineMs < 0 {
		add("deadlineMs", "must not be negative")
	}
	for _, p := range c.Phases {
		if p.Seconds <= 0 || p.From < 0 || p.endRate() < 0 || p.From > maxRate || p.endRate() > maxRate {
			add("phases", "seconds must be positive, rates 0 to %d", maxRate)
		}
	}
	if d := c.duration(); d <= 0 || d > maxDuration {
		add("phases", "must last more than 0 s and at most %s together", maxDuration)
	}
}
