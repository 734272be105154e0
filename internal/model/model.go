// Package model holds the types that every part of the system shares: names,
// identifiers, sizes and outcomes. It knows neither transport nor storage.
package model

import (
	"fmt"
	"strconv"
	"strings"
)

// Names. They are opaque strings that operators or settings choose.
type (
	Service    string // a customer-facing service, such as permit-desk
	Class      string // a class of requests or jobs with similar needs
	Tenant     string // a customer on whose behalf callers send requests
	Team       string // the owner of jobs, with a quota
	Region     string // a group of data centres
	DataCentre string
	Rack       string
	WorkerID   string // a host that runs tasks and at most one backend server
	BackendID  string // one instance of a service
	EntryID    string // one entry daemon
	Cell       string // the workers that one controller schedules
	JobID      string
)

// Boot distinguishes the incarnations of a process. It is drawn at random
// when the process starts.
type Boot uint64

// Epoch numbers the successive owners of a cell. Commands with a lower epoch
// than the highest known one are rejected.
type Epoch uint64

// MilliCPU is processor time in thousandths of a core.
type MilliCPU int64

// Bytes is a size of memory or data.
type Bytes int64

// Resources is the capacity of a worker, or the amount that a task needs of it.
type Resources struct {
	CPU          MilliCPU `json:"milliCpu"`
	Memory       Bytes    `json:"memory"`
	Accelerators int64    `json:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r - o, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Max returns the larger amount in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// RequestID identifies a request from the entry that accepted it. The
// sequence numbers of one entry incarnation increase.
type RequestID struct {
	Entry EntryID
	Boot  Boot
	Seq   uint64
}

// String formats the id as entry/boot/sequence.
func (id RequestID) String() string {
	return fmt.Sprintf("%s/%016x/%d", id.Entry, uint64(id.Boot), id.Seq)
}

// AttemptID identifies one attempt of a job. Numbers start at 1.
type AttemptID struct {
	Job    JobID
	Number uint32
}

// String formats the id as job/number, which is also its form in names of
// objects and of the worker's tasks.
func (id AttemptID) String() string { return string(id.Job) + "/" + strconv.Itoa(int(id.Number)) }

// ParseAttemptID is the inverse of AttemptID.String.
func ParseAttemptID(s string) (AttemptID, bool) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return AttemptID{}, false
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 32)
	return AttemptID{Job: JobID(s[:i]), Number: uint32(n)}, err == nil && n > 0
}

// Outcome says whether a request is known to have run.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeUnknown Outcome = iota // the request may have run, or may still run
	OutcomeNotRun                 // the request was not started and never will be
	OutcomeRun                    // a backend server started it
)

// OutcomeHeader is the header field with the outcome, on responses that the
// scheduler itself generates.
const OutcomeHeader = "Bambooscale-Outcome"

// String is the value of OutcomeHeader.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRun:
		return "run"
	}
	return "unknown"
}

// Idempotent reports whether RFC 9110 section 9.2.2 defines the method as
// idempotent.
func Idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

// Labels are key-value pairs that operators attach to jobs, hosts and
// configuration items.
type Labels map[string]string
