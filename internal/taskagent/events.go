package taskagent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Event is an input of Core.
type Event interface{ isEvent() }

// Events of Core.
type (
	// Tick runs the timers that are due.
	Tick struct{}
	// Paused reports that the process was paused.
	Paused struct{}
	// LinkUp reports that a link to an entry is up.
	LinkUp struct{ Entry model.EntryID }
	// LinkDown reports that the link to an entry is lost.
	LinkDown struct{ Entry model.EntryID }
	// Received is a message from an entry.
	Received struct {
		Entry model.EntryID
		Msg   msg.Control
	}
	// CallResult is the result of a call to the worker. Each call has exactly
	// one; that of CallList is a ListResult.
	CallResult struct {
		Call       Call
		Attempt    model.AttemptID
		Checkpoint string
		Err        error
		Refused    bool // the call had no effect
		NoTask     bool // the worker does not know the task
	}
	// ListResult is the result of CallList.
	ListResult struct {
		Tasks []Task
		Err   error
	}
)

// taskEnded reports whether a call failed because the task has ended at the
// worker. Such a failure is not logged; the next list shows the end.
func (r CallResult) taskEnded() bool {
	switch r.Call {
	case RenewCall, CheckpointCall, ThrottleCall:
		return r.NoTask || r.Refused
	case StopCall:
		return r.NoTask
	}
	return false
}

// Call is the kind of a call to the worker.
type Call uint8

// Kinds of calls to the worker.
const (
	StartCall Call = iota
	RenewCall
	CheckpointCall
	ThrottleCall
	StopCall
)

// String returns the name of the call as it is logged.
func (c Call) String() string {
	return [...]string{"start", "renew", "checkpoint", "throttle", "stop"}[c]
}

// Effect is an output of Core.
type Effect interface{ isEffect() }

// Effects of Core: a message to an entry, calls to the worker and a log entry.
// Until is the end of the agent's lease. The worker's lease must not end later,
// so its length is computed immediately before the call.
type (
	Send struct {
		Entry model.EntryID
		Msg   msg.Control
	}
	CallStart struct {
		Request StartRequest
		Until   time.Duration
	}
	CallRenew struct {
		Attempt model.AttemptID
		Until   time.Duration
	}
	CallCheckpoint struct{ Attempt model.AttemptID }
	CallThrottle   struct {
		Attempt model.AttemptID
		Percent int
	}
	CallStop struct{ Attempt model.AttemptID }
	CallList struct{}
	Log      struct {
		Event  event.Event
		Fields map[string]any
	}
)

func (Tick) isEvent()       {}
func (Paused) isEvent()     {}
func (LinkUp) isEvent()     {}
func (LinkDown) isEvent()   {}
func (Received) isEvent()   {}
func (CallResult) isEvent() {}
func (ListResult) isEvent() {}

func (Send) isEffect()           {}
func (CallStart) isEffect()      {}
func (CallRenew) isEffect()      {}
func (CallCheckpoint) isEffect() {}
func (CallThrottle) isEffect()   {}
func (CallStop) isEffect()       {}
func (CallList) isEffect()       {}
func (Log) isEffect()            {}
