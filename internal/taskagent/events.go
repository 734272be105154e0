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
	// Tick only runs the timers that are due.
	Tick struct{}
	// Paused reports that the process was paused.
	Paused struct{}
	// LinkUp reports a link to an entry.
	LinkUp struct{ Entry model.EntryID }
	// LinkDown reports that the link to an entry is lost.
	LinkDown struct{ Entry model.EntryID }
	// Received is a message of an entry.
	Received struct {
		Entry model.EntryID
		Msg   msg.Control
	}
	// CallResult is the result of a call to the worker. Each call but CallList is
	// answered once.
	CallResult struct {
		Call       Call
		Attempt    model.AttemptID
		Checkpoint string
		Err        error
		Refused    bool // the call certainly had no effect
		NoTask     bool // the worker does not know the task
	}
	// ListResult answers CallList.
	ListResult struct {
		Tasks []Task
		Err   error
	}
)

// over reports whether a call failed only because the task has ended at the
// worker, which the next list shows.
func (a CallResult) over() bool {
	switch a.Call {
	case RenewCall, CheckpointCall, ThrottleCall:
		return a.NoTask || a.Refused
	case StopCall:
		return a.NoTask
	}
	return false
}

// Call names a call to the worker.
type Call uint8

// Calls to the worker.
const (
	StartCall Call = iota
	RenewCall
	CheckpointCall
	ThrottleCall
	StopCall
)

// String returns the name of the call for logs.
func (c Call) String() string {
	return [...]string{"start", "renew", "checkpoint", "throttle", "stop"}[c]
}

// Effect is an output of Core.
type Effect interface{ isEffect() }

// Effects of Core. Until is the end of the agent's lease, which the worker's
// lease must not outlast; it is applied immediately before the call.
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
