// Package jobapi defines the calls that submitters make to the job scheduler.
// It does not know the protocol of the calls.
package jobapi

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Errors of calls. After ErrNotAccepted and ErrNotReady the job was not accepted
// and this call never makes it run; after ErrOutcomeUnknown it may have been
// accepted.
var (
	ErrNoQueue        = errors.New("no queue is configured for this host and path")
	ErrNotReady       = errors.New("this entry has no configuration yet")
	ErrNotAccepted    = errors.New("the job was not accepted")
	ErrOutcomeUnknown = errors.New("the outcome is not known")
	ErrNoJob          = errors.New("no such job exists")
	ErrInvalid        = errors.New("the job is invalid")
)

// Handler serves calls. The context carries the deadline of the caller.
type Handler interface {
	// Queue returns the queue for a host and a path.
	Queue(host, path string) (workload.Queue, error)
	// Submit stores a job with the attributes of its queue. It succeeds without
	// a change if a job with the same id was accepted before.
	Submit(ctx context.Context, q workload.Queue, j workload.Job) error
	// Status returns the phase of a job and why it has failed.
	Status(ctx context.Context, q workload.Queue, id workload.JobID) (workload.JobStatus, error)
	// Cancel stores the cancellation of a job. It succeeds without a change if
	// the job's phase is final.
	Cancel(ctx context.Context, q workload.Queue, id workload.JobID) error
	// QueueLength returns the number of accepted jobs of which no task has
	// started.
	QueueLength(ctx context.Context, q workload.Queue) (int, error)
	// Ready reports whether the entry should receive calls.
	Ready() bool
	// RetryAfter returns how long a refused caller should wait before it retries.
	RetryAfter() time.Duration
}
