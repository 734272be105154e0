// Package runner defines how an agent orders runs from the backend server on
// its host. It does not know the protocol.
package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Errors of orders. After ErrOutcomeUnknown the order may have been executed, or may
// still be; after the others it was not and will not be.
var (
	ErrFenced           = errors.New("the backend server has seen a higher fencing token")
	ErrRunEnded         = errors.New("the run, or a later one, was stopped or has ended")
	ErrLeaseExpired     = errors.New("the lease of the start is over")
	ErrNoCapacity       = errors.New("the backend server has no room")
	ErrOtherIncarnation = errors.New("another life of the backend server answered")
	ErrUnavailable      = errors.New("the backend server refused the order")
	ErrNotListening     = errors.New("the backend server does not run")
	ErrOutcomeUnknown   = errors.New("the backend server did not answer")
	ErrInvalid          = errors.New("the backend server calls the order invalid")
)

// Target names the life of a backend server that is meant, and the fencing
// token of the order.
type Target struct {
	Instance workload.Instance
	Token    uint64
}

// Start is an order to start a run. The lease of everything on the backend
// server is extended to Lease, in milliseconds of its clock.
type StartRequest struct {
	Run           workload.RunID
	Specification string
	Checkpoint    string
	LeaseMS       int64
}

// Hold asks for what runs and what has ended. Ends up to Taken are forgotten.
// LeaseMS extends the lease of everything that runs; 0 leaves it. The answer
// waits for an end for at most Wait.
type PollRequest struct {
	Acknowledged uint64
	LeaseMS      int64
	Wait         time.Duration
}

// Listing is the answer to a Hold.
type PollResponse struct {
	ClockMS     int64
	StartedAtMS int64 // 0: not told
	Runs        []msg.RunStatus
	Ended       []msg.RunEnd
}

// Runner orders runs. Start, Stop and Pace return the clock of the backend
// server in milliseconds where it answered.
type Runner interface {
	Start(ctx context.Context, t Target, s StartRequest) (clockMS int64, err error)
	Stop(ctx context.Context, t Target, run workload.RunID) (clockMS int64, err error)
	Throttle(ctx context.Context, t Target, run workload.RunID, percent int) (clockMS int64, err error)
	Poll(ctx context.Context, t Target, h PollRequest) (PollResponse, error)
}

// Announcement is what a backend server tells of itself.
type Announcement struct {
	Host     workload.Host // without Name
	Sequence uint64
	ClockMS  int64
}

// Registry takes the announcements of the backend server on its host. An
// error refuses the announcement.
type Registry interface {
	Announce(ctx context.Context, a Announcement) error
	Leave(ctx context.Context, id workload.Instance) error
}
