// Package place decides which worker runs which task. It is pure: a plan is a
// function of a snapshot and of the rounds that the planner has seen, which
// the caller verifies and applies.
package place

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

// WorkerState says whether a worker may get new tasks.
type WorkerState uint8

// States of a worker, as its chart and the health policy give them.
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
	// Charged is what the ledger counts: for each attempt that runs, stops or
	// has an unknown outcome, the larger of declared and measured size, plus
	// Reserved.
	Charged  model.Resources
	Reserved model.Resources // of the backend server, included in Charged
	Tasks    []Task          // attempts charged to the worker
	Services []model.Labels  // labels of the services with a backend server here
	// Unproven attempts have neither ended nor run long enough to show that
	// the worker can run tasks. There are at most MaxUnproven; 0 is no bound.
	Unproven, MaxUnproven int
	// Revision changes whenever another field changes. The planner keeps what
	// it derived from a worker while the revision is the same; 0 makes it
	// derive everything again.
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
	Stopping    bool          // it was told to stop, or its outcome is unknown
	LostWork    time.Duration // work that an eviction now would lose
}

// Job is a job that waits for a place.
type Job struct {
	Spec        model.JobSpec
	Labels      model.Labels // spec labels with "team" and "class" added
	Size        model.Resources
	SubmitOrder uint64 // submission order: lower was submitted earlier
	// Avoid lists workers on which the job failed. They are used only when
	// the job fits no other worker.
	Avoid []model.WorkerID
}

// Claim keeps room on a worker for an urgent job whose victims are stopping.
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

// NamedSelector is a selector of the configuration.
type NamedSelector struct {
	Name string
	model.Selector
}

// Assignment places a job on a worker. It carries what Verify needs.
type Assignment struct {
	Job    model.JobID
	Worker model.WorkerID
	Team   model.Team
	Size   model.Resources
	Labels model.Labels
}

// Verdict is the result for one job that was not placed.
type Verdict struct {
	Job      model.JobID `json:"job"`
	Reason   Reason      `json:"reason"`
	Selector string      `json:"selector,omitempty"` // name of the selector, for selector reasons
	// Workers counts the workers by reason; verdicts share it, so it is
	// read-only.
	Workers        map[Reason]int `json:"workers,omitempty"`
	Rounds         int            `json:"rounds"`         // number of rounds in which the job found no place
	ReservedWorker model.WorkerID `json:"kept,omitempty"` // the worker kept free for the job, if any
}

// Plan is the result of a round.
type Plan struct {
	Assignments []Assignment
	Unplaced    []Verdict
	Findings    finding.List // selectors that do not parse; they are not applied
}

// Explanation is what one worker means for a job. ReasonNone: it would take it.
type Explanation struct {
	Worker   model.WorkerID `json:"worker"`
	Reason   Reason         `json:"reason"`
	Selector string         `json:"selector,omitempty"`
	Text     string         `json:"text"`
}
