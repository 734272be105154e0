package taskagent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Errors of a Worker. Any other error leaves the outcome unknown.
var (
	// ErrRefused: the worker refused the call, which had no effect.
	ErrRefused = errors.New("the worker refused the call")
	// ErrNoTask: the worker does not know the task.
	ErrNoTask = errors.New("the worker does not know the task")
)

// WorkerClient is the interface of the host on which tasks run. Calls may be made by
// any goroutine. Start is idempotent by attempt.
type WorkerClient interface {
	Start(ctx context.Context, r StartRequest) error
	// Renew sets the worker's own lease of a task to d from receipt.
	Renew(ctx context.Context, id model.AttemptID, d time.Duration) error
	// Checkpoint returns the name of the object with the new checkpoint.
	Checkpoint(ctx context.Context, id model.AttemptID) (string, error)
	Throttle(ctx context.Context, id model.AttemptID, percent int) error
	// Stop returns nil when the task has ended, whatever the reason.
	Stop(ctx context.Context, id model.AttemptID) error
	List(ctx context.Context) ([]Task, error)
	Describe(ctx context.Context) (model.Worker, error)
}

// StartRequest is the description of a task for its worker.
type StartRequest struct {
	Attempt          model.AttemptID
	Resources        model.Resources
	Lease            time.Duration
	Program          string
	Checkpoint       string // object to resume from, or empty
	ResultName       string // object that the worker writes before the task is done
	CheckpointPrefix string // the worker appends a number
}

// Task is a task as its worker lists it.
type Task struct {
	Attempt    model.AttemptID
	State      model.TaskState
	Checkpoint string
	Result     string
	Reason     string
	Usage      model.Usage
	RanFor     time.Duration
}

// ResultName is the object name of the result of an attempt.
func ResultName(id model.AttemptID) string { return "result/" + id.String() }

// CheckpointPrefix is the prefix of the names of an attempt's checkpoints.
func CheckpointPrefix(id model.AttemptID) string { return "checkpoint/" + id.String() + "/" }
