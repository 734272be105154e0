package taskagent

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
)

// States of charts/agentattempt.scxml.
const (
	stAbsent chart.State = iota
	stStarting
	stRunning
	stStopping
	stReporting
	stKept
	stForgotten
)

// Events of charts/agentattempt.scxml.
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
	// keepFor is longer than a command can stay under way on a link, which is
	// closed after 4 s of silence.
	keepFor = 2 * time.Minute
)

// attempt is what the agent knows of one attempt.
type attempt struct {
	id       model.AttemptID
	state    chart.State
	deadline time.Duration // of the state's timeout; 0 when it has none

	spec       model.JobSpec // only the id is known of an adopted attempt
	resume     string        // checkpoint to start from
	adoptedAt  time.Duration
	adopted    bool
	unwanted   bool // stop as soon as the start call answered
	percent    int
	report     report
	changedAt  time.Duration // when the state began
	renewing   bool          // a renew call is under way
	listed     bool          // the worker's last list had it
	checkpoint bool          // a checkpoint call is under way

	core *Core // set during a step
}

// report is the part of a TaskReport that the attempt itself determines.
type report struct {
	state      model.TaskState
	checkpoint string
	result     string
	reason     string
	usage      model.Usage
	usageAt    time.Duration // when usage was received
	ranFor     time.Duration
}

var attemptChart = chart.MustCompile(charts.Files, AttemptBinding())

// AttemptBinding binds charts/agentattempt.scxml. It is exported for the checks that
// explore the chart.
func AttemptBinding() chart.Binding[attempt] {
	return chart.Binding[attempt]{
		Chart:  "agentattempt",
		States: []string{"absent", "starting", "running", "stopping", "reporting", "kept", "forgotten"},
		Events: []string{"start", "started", "notStarted", "unknown", "stop", "expire", "found", "ended", "lost",
			"checkpoint", "checkpointed", "throttle", "renew", "stopped", "retry", "acknowledge"},
		Guards: map[string]func(*attempt) bool{
			"leased":   func(h *attempt) bool { return h.core.lease.Valid(h.core.now, h.spec.LongRunning) },
			"unwanted": func(h *attempt) bool { return h.unwanted },
			"listed":   func(h *attempt) bool { return h.listed },
		},
		Actions: attemptActions(),
		Delays:  map[string]time.Duration{"stopRetry": stopRetry, "reportRetry": reportRetry, "keepFor": keepFor},
	}
}

func attemptActions() map[string]func(*attempt) {
	stopped := func(reason string) func(*attempt) {
		return func(h *attempt) { h.report.state, h.report.reason = model.TaskStopped, reason }
	}
	return map[string]func(*attempt){
		"callStart":      (*attempt).callStart,
		"callStop":       (*attempt).callStop,
		"callRenew":      (*attempt).callRenew,
		"callCheckpoint": (*attempt).callCheckpoint,
		"callThrottle":   func(h *attempt) { h.core.emit(CallThrottle{h.id, h.percent}) },
		"report":         func(h *attempt) { h.core.sendReport(h) },
		"refuse":         stopped("no valid lease when the start command arrived"),
		"bar":            stopped("stopped before it started"),
		"lapse":          stopped("lease expired"),
		"lose":           stopped("lost by the worker"),
		"fail":           (*attempt).fail,
		"adopt":          (*attempt).adopt,
		"record":         func(*attempt) {}, // the owner stored the worker's record before the event
		"unwant":         func(h *attempt) { h.unwanted = true },
	}
}

func (h *attempt) callStart() {
	h.report.state = model.TaskRunning
	h.core.emit(CallStart{
		Request: StartRequest{
			Attempt: h.id, Resources: h.spec.Resources, Program: h.spec.Program, Checkpoint: h.resume,
			ResultName: ResultName(h.id), CheckpointPrefix: CheckpointPrefix(h.id),
		},
		Until: h.core.lease.Until(h.spec.LongRunning),
	})
}

func (h *attempt) callStop() {
	if h.report.state == model.TaskRunning {
		h.report.state, h.report.reason = model.TaskStopped, "stopped by command"
	}
	h.core.emit(CallStop{h.id})
}

func (h *attempt) callRenew() {
	if h.renewing {
		return // the worker is slow; the next round sends a newer lease
	}
	h.renewing = true
	h.core.emit(CallRenew{h.id, h.core.lease.Until(h.spec.LongRunning)})
}

func (h *attempt) callCheckpoint() {
	if !h.checkpoint {
		h.checkpoint = true
		h.core.emit(CallCheckpoint{h.id})
	}
}

// fail blames the task unless the start call came too late for the lease.
func (h *attempt) fail() {
	h.report.state = model.TaskFailed
	if !h.core.lease.Valid(h.core.now, h.spec.LongRunning) {
		h.report.state = model.TaskStopped
	}
}

func (h *attempt) adopt() {
	h.adopted, h.adoptedAt = true, h.core.now
	h.report.state = model.TaskRunning
}

// expiresAt is when the attempt has to be stopped for lack of a lease. An
// adopted attempt runs on the worker's own lease until the controller renews.
func (h *attempt) expiresAt(c *Core) time.Duration {
	at := max(c.lease.Until(h.spec.LongRunning), c.confirmBy)
	if h.adopted {
		at = max(at, h.adoptedAt+workerTTL)
	}
	return at
}
