package taskagent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Errors of a WorkerClient. After any other error the outcome is unknown.
var (
	// ErrRefused: the worker refused the call, which had no effect.
	ErrRefused = errors.New("the worker refused the call")
	// ErrNoTask: the worker does not know the task.
	ErrNoTask = errors.New("the worker does not know the task")
)

// WorkerClient makes calls to the worker of the host, which runs its tasks. Its
// methods may be called by any goroutine. Start may be repeated: the worker
// runs an attempt at most once.
type WorkerClient interface {
	Start(ctx context.Context, r StartRequest) error
	// Renew lets the worker's own lease of a task end d after the call is
	// received.
	Renew(ctx context.Context, id model.AttemptID, d time.Duration) error
	// Checkpoint makes the task write a checkpoint and returns the name of
	// the object that holds it.
	Checkpoint(ctx context.Context, id model.AttemptID) (string, error)
	// Throttle limits a task to percent of its processor time; 100 removes
	// the limit.
	Throttle(ctx context.Context, id model.AttemptID, percent int) error
	// Stop ends a task. It returns nil when the task has ended for any reason.
	Stop(ctx context.Context, id model.AttemptID) error
	// List returns the tasks that the worker runs or has a record of.
	List(ctx context.Context) ([]Task, error)
	// Describe returns the description of the worker.
	Describe(ctx context.Context) (model.Worker, error)
}

// StartRequest describes the task to start.
type StartRequest struct {
	Attempt          model.AttemptID
	Resources        model.Resources
	Lease            time.Duration // from receipt of the call
	Program          string
	Checkpoint       string // object to resume from; empty: none
	ResultName       string // object that the worker writes before the task is done
	CheckpointPrefix string // the worker appends a number
}

// Task is an entry of the worker's list of tasks.
type Task struct {
	Attempt    model.AttemptID
	State      model.TaskState
	Checkpoint string
	Result     string
	Reason     string
	Usage      model.Usage
	RanFor     time.Duration
}

// ResultName returns the name of the object that holds the result of an
// attempt.
func ResultName(id model.AttemptID) string { return "result/" + id.String() }

// CheckpointPrefix returns the prefix of the names of an attempt's checkpoints.
func CheckpointPrefix(id model.AttemptID) string { return "checkpoint/" + id.String() + "/" }
