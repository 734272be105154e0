// Package load measures a running system with an open loop: requests start on a
// schedule that does not depend on the responses. Latency is measured from the
// intended start, so that a stall of the system shows in it.
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
	maxRate        = 50_000 // requests/s
	maxClasses     = 32
	maxConnections = 1024    // of a class
	maxBytes       = 1 << 20 // of a request body
	// MaxRequests is the largest number of requests in a run.
	MaxRequests = 10_000_000
)

// Plan describes the requests of a run.
type Plan struct {
	Target   string  `json:"target"`   // URL of an entry's callers' listener
	Seed     uint64  `json:"seed"`     // of the random intervals between requests
	Requests int     `json:"requests"` // largest number of requests of all classes together
	Classes  []Class `json:"classes"`
}

// Class is a stream of similar requests.
type Class struct {
	Name        string  `json:"name"`
	Method      string  `json:"method,omitempty"` // default GET
	Path        string  `json:"path"`
	Service     string  `json:"service,omitempty"`     // header Bambooscale-Service
	Tenant      string  `json:"tenant,omitempty"`      // header Bambooscale-Tenant
	DeadlineMs  int     `json:"deadlineMs,omitempty"`  // header Bambooscale-Deadline-Ms; later responses count as late
	Bytes       int     `json:"bytes,omitempty"`       // size of the body
	Connections int     `json:"connections,omitempty"` // default 64
	Phases      []Phase `json:"phases"`
}

// Phase is a part of the schedule of a class. The rate changes linearly from
// From to To. If To is 0 and Ramp is not set, the rate stays at From.
type Phase struct {
	Seconds float64 `json:"seconds"`
	From    float64 `json:"from"`           // requests/s
	To      float64 `json:"to,omitempty"`   // requests/s
	Ramp    bool    `json:"ramp,omitempty"` // To is used even when it is 0
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

// Duration returns the duration of the longest class.
func (p Plan) Duration() time.Duration {
	var d time.Duration
	for _, c := range p.Classes {
		d = max(d, c.duration())
	}
	return d
}

// Check sets the defaults of the plan and returns every finding.
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
