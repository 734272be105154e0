// Package jobapi defines what callers may ask of the job scheduler. It does
// not know the callers' protocol.
package jobapi

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Errors of calls. ErrNotAccepted and ErrNotReady say that the job was not
// accepted and never runs because of this call; ErrOutcomeUnknown says nothing.
var (
	ErrNoQueue        = errors.New("no queue has this address")
	ErrNotReady       = errors.New("this entry has no configuration yet")
	ErrNotAccepted    = errors.New("the job was not accepted")
	ErrOutcomeUnknown = errors.New("the outcome is not known")
	ErrNoJob          = errors.New("no such job exists")
	ErrInvalid        = errors.New("the job is invalid")
)

// Desk serves callers. The context carries the deadline of the caller.
type Handler interface {
	// Queue returns the queue that a host and a path select.
	Queue(host, path string) (workload.Queue, error)
	Submit(ctx context.Context, q workload.Queue, j workload.Job) error
	Phase(ctx context.Context, q workload.Queue, id workload.JobID) (workload.Phase, error)
	Cancel(ctx context.Context, q workload.Queue, id workload.JobID) error
	// Waiting returns the number of accepted jobs of which no task has started.
	QueueLength(ctx context.Context, q workload.Queue) (int, error)
	// Ready reports whether the entry should receive callers.
	Ready() bool
	// RetryAfter is when a refused caller should come again.
	RetryAfter() time.Duration
}
