// Package history records what callers, backend servers, workers and the
// table saw during a run with faults, and decides whether the guarantees of
// docs/design.md section 1.1 held. It does not read what the system believes:
// configuration versions are the only values that come from its processes,
// because the version in force is itself the promise. It is used by tests
// only.
package history

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// History is everything that was observed. Times are nanoseconds since the
// Unix epoch, from the clocks of one machine.
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
	// Settled says that the run went on without faults until every accepted
	// job had ended; then each of them must have had its effect.
	Settled bool `json:"settled"`
}

// Call is one request as its caller saw it.
type Call struct {
	Key     string `json:"key"`
	Method  string `json:"method"`
	Entry   string `json:"entry"`
	Want    string `json:"want"` // body of a whole answer of its own
	Sent    int64  `json:"sent"`
	Ended   int64  `json:"ended"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"` // header Bambooscale-Outcome
	Body    string `json:"body"`
	Error   string `json:"error"` // the connection broke
}

// Backend is the log of a backend server.
type Backend struct {
	ID      string                  `json:"id"`
	Agent   string                  `json:"agent"`
	Records []standin.RequestRecord `json:"records"`
	Drained int64                   `json:"drained"` // when its agent accepted the drain; 0: never
}

// Worker is the log of a worker.
type Worker struct {
	ID       string            `json:"id"`
	Capacity model.Resources   `json:"capacity"`
	Runs     []standin.TaskRun `json:"spans"`
}

// Edit is an accepted edit.
type Edit struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	At      int64  `json:"at"`
}

// ConfigView is the configuration version in force at a process at a moment.
type ConfigView struct {
	Process string `json:"process"`
	Via     string `json:"via"` // process that reported it
	At      int64  `json:"at"`
	Version uint64 `json:"version"`
}

// Shutdown is a graceful shutdown of a process, from the signal to its end.
type Shutdown struct {
	Process string `json:"process"`
	At      int64  `json:"at"`
	Ended   int64  `json:"ended"`
}

// FaultInterval is a time during which a fault was in force.
type FaultInterval struct {
	Fault string `json:"fault"`
	From  int64  `json:"from"`
	Until int64  `json:"until"` // 0: still in force
}

// Bounds of docs/design.md section 1.1.
const (
	drainBound  = 3 * time.Second
	configBound = 5 * time.Second
	// recovery is allowed after a fault before configBound counts: a lost
	// link is noticed after 4 s and dialled again with a backoff.
	recoveryTime = 20 * time.Second
)
