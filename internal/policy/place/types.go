// Package place decides which worker runs which task. It does no input or
// output and reads no clock: a plan depends only on the snapshot and on the
// earlier rounds of the planner. The caller verifies and applies it.
package place

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

// WorkerState determines whether a worker may get new tasks.
type WorkerState uint8

// States of a worker. Their values and names are those of charts/worker.scxml.
const (
	WorkerReady WorkerState = iota
	WorkerSuspect
	WorkerDown
	WorkerDraining
	WorkerQuarantined
	WorkerProbation // takes one task at a time
)

// Worker is a worker in a snapshot.
type Worker struct {
	model.Worker
	State WorkerState
	// Charged is Reserved plus, for each attempt that runs, stops or has an
	// unknown outcome, the larger of its declared size and measured peak.
	Charged  model.Resources
	Reserved model.Resources // set aside for the backend server, included in Charged
	Tasks    []Task          // attempts charged to the worker
	Services []model.Labels  // labels of the services with a backend server here
	// Unproven is the number of attempts that have neither ended nor run long
	// enough to show that the worker can run tasks. No attempt is started
	// while it is MaxUnproven or more; a MaxUnproven of 0 is no limit.
	Unproven, MaxUnproven int
	// Revision changes whenever another field changes. The planner caches what
	// it derives from a worker while the revision stays the same; 0 disables
	// the cache.
	Revision uint64
}

// Task is an attempt charged to a worker.
type Task struct {
	Attempt     model.AttemptID
	Team        model.Team
	Class       model.Class
	Labels      model.Labels // job labels with "team" and "class" added
	Size        model.Resources
	Urgent      bool
	LongRunning bool
	Stopping    bool          // a stop was requested, or the outcome is unknown
	LostWork    time.Duration // work that evicting the attempt now would lose
}

// Job is a job that waits to be placed.
type Job struct {
	Spec        model.JobSpec
	Labels      model.Labels // spec labels with "team" and "class" added
	Size        model.Resources
	SubmitOrder uint64 // lower values were submitted earlier
	// Avoid lists workers on which the job failed. They are used only when no
	// other worker is large enough for the job.
	Avoid []model.WorkerID
}

// Claim sets aside resources on a worker for an urgent job whose victims are
// stopping.
type Claim struct {
	Job    model.JobID
	Worker model.WorkerID
	Size   model.Resources
}

// Snapshot is the input of a plan. The planner does not modify it.
type Snapshot struct {
	Workers   []Worker
	Jobs      []Job
	Selectors []NamedSelector
	Quotas    map[model.Team]model.Resources // a team without an entry has no quota
	TeamUse   map[model.Team]model.Resources
	Claims    []Claim
}

// NamedSelector is a selector of the configuration with its name.
type NamedSelector struct {
	Name string
	model.Selector
}

// Assignment places a job on a worker. It holds everything that Verify needs.
type Assignment struct {
	Job    model.JobID
	Worker model.WorkerID
	Team   model.Team
	Size   model.Resources
	Labels model.Labels
}

// Verdict says why a job was not placed.
type Verdict struct {
	Job      model.JobID `json:"job"`
	Reason   Reason      `json:"reason"`
	Selector string      `json:"selector,omitempty"` // name of the selector, for selector reasons
	// Workers is the number of workers by reason. Verdicts share the map, so
	// it is read-only.
	Workers        map[Reason]int `json:"workers,omitempty"`
	Rounds         int            `json:"rounds"`         // number of rounds in which no worker could take the job
	ReservedWorker model.WorkerID `json:"kept,omitempty"` // reserved for the job; empty if none is
}

// Plan is the result of a round.
type Plan struct {
	Assignments []Assignment
	Unplaced    []Verdict
	Findings    finding.List // defects of selectors that do not parse; these are ignored
}

// Explanation says whether one worker could take a job now. Reason is
// ReasonNone if it could.
type Explanation struct {
	Worker   model.WorkerID `json:"worker"`
	Reason   Reason         `json:"reason"`
	Selector string         `json:"selector,omitempty"`
	Text     string         `json:"text"`
}
