package model

import "time"

// JobSpec is what a client submits. Two submissions with the same ID and the
// same content are the same job.
type JobSpec struct {
	ID        JobID     `json:"id"`
	Team      Team      `json:"team"`
	Class     Class     `json:"class"`
	Labels    Labels    `json:"labels,omitempty"`
	Resources Resources `json:"resources"`
	Urgent    bool      `json:"urgent,omitempty"`
	// LongRunning marks work such as watchers, for which a stop is worse than
	// a late failover. Its attempts run on for longer without a controller.
	LongRunning bool   `json:"longRunning,omitempty"`
	Program     string `json:"program"` // passed to the worker unchanged
}

// Phase is the state of a job that its row records. The values are the state
// names of charts/job.scxml.
type Phase string

// JobRow is the durable state of a job.
type JobRow struct {
	Spec            JobSpec  `json:"spec"`
	Phase           Phase    `json:"phase"`
	Attempt         uint32   `json:"attempt"` // number of the latest attempt; 0 before the first
	Worker          WorkerID `json:"worker,omitempty"`
	Checkpoint      string   `json:"checkpoint,omitempty"` // object name of the latest committed checkpoint
	Result          string   `json:"result,omitempty"`     // object name
	Reason          string   `json:"reason,omitempty"`     // why the job waits, failed or is parked
	CancelRequested bool     `json:"cancel,omitempty"`     // a client asked to cancel
	Evictions       uint32   `json:"evictions,omitempty"`
	Failures        uint32   `json:"failures,omitempty"`
}

// TaskState is the state of a task as its worker reports it.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// Usage is the measured consumption of a task. Age is how old the
// measurement is when it is reported.
type Usage struct {
	Resources Resources
	Age       time.Duration
}

// Worker describes a host as its agent announces it.
type Worker struct {
	ID         WorkerID   `json:"id"`
	DataCentre DataCentre `json:"dataCentre"`
	Rack       Rack       `json:"rack"`
	Capacity   Resources  `json:"capacity"`
	Labels     Labels     `json:"labels,omitempty"`
}
