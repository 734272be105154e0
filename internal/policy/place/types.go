// Package place decides which worker runs which task. It is pure: a plan is a
// function of a snapshot, which the caller verifies and applies.
package place

import (
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
	// the backend server's reservation.
	Charged  model.Resources
	Tasks    []Task         // attempts charged to the worker
	Services []model.Labels // labels of the services with a backend server here
}

// Task is an attempt charged to a worker.
type Task struct {
	Attempt model.AttemptID
	Team    model.Team
	Class   model.Class
	Labels  model.Labels // job labels with "team" and "class" added
	Size    model.Resources
	Urgent  bool
}

// Job is a job that waits for a place.
type Job struct {
	Spec    model.JobSpec
	Labels  model.Labels // spec labels with "team" and "class" added
	Size    model.Resources
	Waiting uint64 // submission order: lower was submitted earlier
}

// Snapshot is the input of a plan. The planner does not modify it.
type Snapshot struct {
	Workers   []Worker
	Jobs      []Job
	Selectors []NamedSelector
	Quotas    map[model.Team]model.Resources // a team without an entry has no quota
	TeamUse   map[model.Team]model.Resources
}

// NamedSelector is a selector of the configuration.
type NamedSelector struct {
	Name string
	model.Selector
}

// Assignment places a job on a worker.
type Assignment struct {
	Job    model.JobID
	Worker model.WorkerID
	Size   model.Resources
}

// Reason says why a worker was not chosen for a job, or why a job waits.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonResources
	ReasonWorkerState
	ReasonMayShare
	ReasonMustStayApart
	ReasonQuota
	ReasonImpossible // fits no worker even when it is empty
	ReasonRound      // the round placed the limit of tasks
)

// Verdict is the result for one job that was not placed.
type Verdict struct {
	Job      model.JobID
	Reason   Reason
	Selector string // name of the selector, for selector reasons
	Workers  map[Reason]int
}

// Plan is the result of a round.
type Plan struct {
	Assignments []Assignment
	Waiting     []Verdict
}
