// Package runner defines the requests of an agent to the backend server on its
// host, which runs the tasks, and the announcements of that backend server. It
// does not know the protocol.
package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Errors of requests. After ErrOutcomeUnknown the request may have been
// executed, or may still be; after the others it was not and will not be.
var (
	ErrFenced           = errors.New("the backend server has seen a higher fencing token")
	ErrRunEnded         = errors.New("the run, or a later one, was stopped or has ended")
	ErrLeaseExpired     = errors.New("the lease of the start request has expired")
	ErrNoCapacity       = errors.New("the backend server has no free capacity")
	ErrOtherIncarnation = errors.New("another incarnation of the backend server answered")
	ErrUnavailable      = errors.New("the backend server refused the request")
	ErrNotListening     = errors.New("the backend server does not listen")
	ErrOutcomeUnknown   = errors.New("the backend server did not answer")
	ErrInvalid          = errors.New("the backend server rejected the request as invalid")
	ErrNotSent          = errors.New("the request waited too long for other requests and was not sent")
)

// Target is the backend server that a request is for, and the fencing token of
// the request.
type Target struct {
	Instance workload.Instance
	Token    uint64
}

// StartRequest asks to start a run. It also extends the lease of all runs on the
// backend server to LeaseMS, a time in milliseconds of the backend server's
// clock.
type StartRequest struct {
	Run           workload.RunID
	Specification string
	Checkpoint    string
	LeaseMS       int64
}

// PollRequest asks for the present runs and the ended ones. The backend server
// deletes its records of ends up to the number Acknowledged. LeaseMS extends
// the lease of all runs, as in StartRequest; 0 does not change it. While there
// is no unacknowledged end, the answer is delayed by up to Wait.
type PollRequest struct {
	Acknowledged uint64
	LeaseMS      int64
	Wait         time.Duration
}

// PollResponse is the answer to a PollRequest.
type PollResponse struct {
	ClockMS     int64
	StartedAtMS int64 // Unix time in milliseconds; 0: not reported
	Runs        []msg.RunStatus
	Ended       []msg.RunEnd
}

// Runner sends requests to a backend server. Start, Stop and Throttle return the
// clock of the backend server in milliseconds, or 0 if it did not answer.
// Throttle limits a run to a percentage of its processor time.
type Runner interface {
	Start(ctx context.Context, t Target, s StartRequest) (clockMS int64, err error)
	Stop(ctx context.Context, t Target, run workload.RunID) (clockMS int64, err error)
	Throttle(ctx context.Context, t Target, run workload.RunID, percent int) (clockMS int64, err error)
	Poll(ctx context.Context, t Target, p PollRequest) (PollResponse, error)
}

// Announcement is a backend server's announcement of its own state.
type Announcement struct {
	Host     workload.Host // without Name
	Sequence uint64
	ClockMS  int64
}

// Registry accepts announcements of the backend server on the agent's host. An
// error rejects the announcement. Leave reports that the backend server shuts
// down that started at startedAtMS, in Unix milliseconds; 0: not reported.
type Registry interface {
	Announce(ctx context.Context, a Announcement) error
	Leave(ctx context.Context, id workload.Instance, startedAtMS int64) error
}
