// Package history holds what callers, backend servers, workers and the table
// service observed during a test run with faults, and checks whether the
// guarantees of docs/design.md section 1.1 held. It does not rely on the state
// that the system reports about itself. Configuration versions are the only
// exception, because the guarantee is about the version that a process uses. Only
// tests use this package.
package history

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// History is everything that was observed in one run. Times are nanoseconds
// since the Unix epoch, from the clocks of one machine.
type History struct {
	Calls     []Call              `json:"calls"`
	Backends  []Backend           `json:"backends"`
	Workers   []Worker            `json:"workers"`
	Commits   []standin.Committed `json:"commits"`  // of the table, in revision order
	Steps     map[string]int      `json:"steps"`    // checkpoint object to its step
	Accepted  []string            `json:"accepted"` // jobs whose submission was accepted
	Edits     []Edit              `json:"edits"`
	Views     []ConfigView        `json:"views"`
	Shutdowns []Shutdown          `json:"shutdowns"`
	Faults    []FaultInterval     `json:"faults"`
	// Settled reports that the run continued without faults until every accepted
	// job had ended. Then each of them must have a result.
	Settled bool `json:"settled"`
}

// Call is a request as its caller saw it.
type Call struct {
	Key     string `json:"key"` // standin.RequestRecord.Key
	Method  string `json:"method"`
	Entry   string `json:"entry"` // process to which the caller sent it
	Want    string `json:"want"`  // body of a complete response to this request
	Sent    int64  `json:"sent"`
	Ended   int64  `json:"ended"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"` // header Bambooscale-Outcome
	Body    string `json:"body"`
	Error   string `json:"error"` // error of the transport; empty if a response was read
}

// Backend is the request log of a backend server.
type Backend struct {
	ID      string                  `json:"id"`
	Agent   string                  `json:"agent"`
	Records []standin.RequestRecord `json:"records"`
	Drained int64                   `json:"drained"` // when its agent accepted the drain; 0: never
}

// Worker is the log of the runs of tasks on a worker.
type Worker struct {
	ID       string            `json:"id"`
	Capacity model.Resources   `json:"capacity"`
	Runs     []standin.TaskRun `json:"spans"`
}

// Edit is an accepted edit of the configuration.
type Edit struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	At      int64  `json:"at"`
}

// ConfigView is the configuration version that a process used at a time.
type ConfigView struct {
	Process string `json:"process"`
	Via     string `json:"via"` // process that reported the version
	At      int64  `json:"at"`
	Version uint64 `json:"version"`
}

// Shutdown is a graceful shutdown of a process, from the signal to its end.
type Shutdown struct {
	Process string `json:"process"`
	At      int64  `json:"at"` // when the signal was sent
	Ended   int64  `json:"ended"`
}

// FaultInterval is a time during which a fault was active.
type FaultInterval struct {
	Fault string `json:"fault"`
	From  int64  `json:"from"`
	Until int64  `json:"until"` // 0: active until the end of the run
}

// Bounds from docs/design.md section 1.1.
const (
	drainBound  = 3 * time.Second
	configBound = 5 * time.Second
	// recoveryTime is the time after a fault before configBound starts: a lost
	// link is detected after 4 s and dialled again with a backoff.
	recoveryTime = 20 * time.Second
)
