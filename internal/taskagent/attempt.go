package taskagent

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
)

// States of charts/hold.scxml.
const (
	stAbsent chart.State = iota
	stStarting
	stRunning
	stStopping
	stReporting
	stKept
	stForgotten
)

// Events of charts/hold.scxml.
const (
	evStart chart.Event = iota
	evStarted
	evNotStarted
	evUnknown
	evStop
	evExpire
	evFound
	evEnded
	evLost
	evCheckpoint
	evCheckpointed
	evThrottle
	evRenew
	evStopped
	evRetry
	evAcknowledge
)

const (
	stopRetry   = 2 * time.Second
	reportRetry = 5 * time.Second
	// keepFor is how long the record of an ended attempt is kept. A command
	// cannot be delayed that long, because a link is closed after 4 s of
	// silence.
	keepFor = 2 * time.Minute
)

// attempt is the agent's record of one attempt.
type attempt struct {
	id       model.AttemptID
	state    chart.State
	deadline time.Duration // of the state's timeout; 0: the state has none

	spec               model.JobSpec // of an adopted attempt only the ID is known
	resumeFrom         string        // checkpoint to start from; empty: none
	adoptedAt          time.Duration
	startCalledAt      time.Duration // when the worker was asked to start it; 0: it was adopted
	adopted            bool          // found running; no renewal has been received since
	stopRequested      bool          // the task is stopped as soon as the start call returns
	cpuLimitPercent    int           // of the newest throttle command; 100 removes the limit
	report             report
	stateChangedAt     time.Duration // when the attempt entered its state
	renewInFlight      bool
	listed             bool // the most recent list of the worker contains the task
	checkpointInFlight bool

	core *Core // set by stepAttempt, for the actions of the chart
}

// report holds the fields of a TaskReport that are kept for each attempt.
type report struct {
	state           model.TaskState
	checkpoint      string
	result          string
	reason          string
	usage           model.Usage
	usageReceivedAt time.Duration // 0: none was received
	ranFor          time.Duration
}

var attemptChart = chart.MustCompile(charts.Files, AttemptBinding())

// AttemptBinding returns the binding of charts/hold.scxml.
func AttemptBinding() chart.Binding[attempt] {
	return chart.Binding[attempt]{
		Chart:  "hold",
		States: []string{"absent", "starting", "running", "stopping", "reporting", "kept", "forgotten"},
		Events: []string{"start", "started", "notStarted", "unknown", "stop", "expire", "found", "ended", "lost",
			"checkpoint", "checkpointed", "throttle", "renew", "stopped", "retry", "acknowledge"},
		Guards: map[string]func(*attempt) bool{
			"leased":        func(a *attempt) bool { return a.core.lease.Valid(a.core.now, a.spec.LongRunning) },
			"renewable":     (*attempt).renewable,
			"stopRequested": func(a *attempt) bool { return a.stopRequested },
			"listed":        func(a *attempt) bool { return a.listed },
		},
		Actions: attemptActions(),
		Delays:  map[string]time.Duration{"stopRetry": stopRetry, "reportRetry": reportRetry, "keepFor": keepFor},
	}
}

func attemptActions() map[string]func(*attempt) {
	stopped := func(reason string) func(*attempt) {
		return func(a *attempt) { a.report.state, a.report.reason = model.TaskStopped, reason }
	}
	return map[string]func(*attempt){
		"callStart":      (*attempt).callStart,
		"callStop":       (*attempt).callStop,
		"callRenew":      (*attempt).callRenew,
		"callCheckpoint": (*attempt).callCheckpoint,
		"callThrottle":   func(a *attempt) { a.core.emit(CallThrottle{a.id, a.cpuLimitPercent}) },
		"report":         func(a *attempt) { a.core.sendReport(a) },
		"recordRefused":  stopped("no valid lease when the start command arrived"),
		"recordStopped":  stopped("stopped before it started"),
		"recordExpired":  stopped("lease expired"),
		"recordLost":     stopped("lost by the worker"),
		"recordFailed":   (*attempt).recordFailed,
		"adopt":          (*attempt).adopt,
		"record":         func(*attempt) {}, // recordStatus and recordEnd are called before the event
		"requestStop":    func(a *attempt) { a.stopRequested = true },
	}
}

func (a *attempt) callStart() {
	a.report.state, a.startCalledAt = model.TaskRunning, a.core.now
	a.core.emit(CallStart{
		Request: StartRequest{
			Attempt: a.id, Resources: a.spec.Resources, Program: a.spec.Program, Checkpoint: a.resumeFrom,
			ResultName: ResultName(a.id), CheckpointPrefix: CheckpointPrefix(a.id),
		},
		Until: a.core.lease.Until(a.spec.LongRunning),
	})
}

func (a *attempt) callStop() {
	if a.report.state == model.TaskRunning {
		a.report.state, a.report.reason = model.TaskStopped, "stopped by command"
	}
	a.core.emit(CallStop{a.id})
}

func (a *attempt) callRenew() {
	if a.renewInFlight {
		return // the worker is slow; the next renewal sends a newer lease
	}
	a.renewInFlight = true
	a.core.emit(CallRenew{a.id, a.core.lease.Until(a.spec.LongRunning)})
}

func (a *attempt) callCheckpoint() {
	if !a.checkpointInFlight {
		a.checkpointInFlight = true
		a.core.emit(CallCheckpoint{a.id})
	}
}

// recordFailed records that the start call failed. When the lease has ended the
// attempt counts as stopped, because the failure is not that of the task.
func (a *attempt) recordFailed() {
	a.report.state = model.TaskFailed
	if !a.core.lease.Valid(a.core.now, a.spec.LongRunning) {
		a.report.state = model.TaskStopped
	}
}

func (a *attempt) adopt() {
	a.adopted, a.adoptedAt = true, a.core.now
	a.report.state = model.TaskRunning
}

// expiresAt returns when the attempt has to be stopped for lack of a lease. An
// adopted attempt may run for the length of the worker's own lease until the
// controller renews.
func (a *attempt) expiresAt(c *Core) time.Duration {
	at := max(c.lease.Until(a.spec.LongRunning), c.confirmBy)
	if a.adopted {
		at = max(at, a.adoptedAt+workerTTL)
	}
	return at
}
