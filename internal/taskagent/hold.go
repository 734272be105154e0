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
	// keepFor is longer than a command can stay under way on a link, which is
	// closed after 4 s of silence.
	keepFor = 2 * time.Minute
)

// hold is what the agent knows of one attempt.
type hold struct {
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

var holdChart = chart.MustCompile(charts.Files, HoldBinding())

// HoldBinding binds charts/hold.scxml. It is exported for the checks that
// explore the chart.
func HoldBinding() chart.Binding[hold] {
	return chart.Binding[hold]{
		Chart:  "hold",
		States: []string{"absent", "starting", "running", "stopping", "reporting", "kept", "forgotten"},
		Events: []string{"start", "started", "notStarted", "unknown", "stop", "expire", "found", "ended", "lost",
			"checkpoint", "checkpointed", "throttle", "renew", "stopped", "retry", "acknowledge"},
		Guards: map[string]func(*hold) bool{
			"leased":   func(h *hold) bool { return h.core.lease.Valid(h.core.now, h.spec.LongRunning) },
			"unwanted": func(h *hold) bool { return h.unwanted },
			"listed":   func(h *hold) bool { return h.listed },
		},
		Actions: holdActions(),
		Delays:  map[string]time.Duration{"stopRetry": stopRetry, "reportRetry": reportRetry, "keepFor": keepFor},
	}
}

func holdActions() map[string]func(*hold) {
	stopped := func(reason string) func(*hold) {
		return func(h *hold) { h.report.state, h.report.reason = model.TaskStopped, reason }
	}
	return map[string]func(*hold){
		"callStart":      (*hold).callStart,
		"callStop":       (*hold).callStop,
		"callRenew":      (*hold).callRenew,
		"callCheckpoint": (*hold).callCheckpoint,
		"callThrottle":   func(h *hold) { h.core.emit(CallThrottle{h.id, h.percent}) },
		"report":         func(h *hold) { h.core.sendReport(h) },
		"refuse":         stopped("no valid lease when the start command arrived"),
		"bar":            stopped("stopped before it started"),
		"lapse":          stopped("lease expired"),
		"lose":           stopped("lost by the worker"),
		"fail":           (*hold).fail,
		"adopt":          (*hold).adopt,
		"record":         func(*hold) {}, // the owner stored the worker's record before the event
		"unwant":         func(h *hold) { h.unwanted = true },
	}
}

func (h *hold) callStart() {
	h.report.state = model.TaskRunning
	h.core.emit(CallStart{
		Request: StartRequest{
			Attempt: h.id, Resources: h.spec.Resources, Program: h.spec.Program, Checkpoint: h.resume,
			ResultName: ResultName(h.id), CheckpointPrefix: CheckpointPrefix(h.id),
		},
		Until: h.core.lease.Until(h.spec.LongRunning),
	})
}

func (h *hold) callStop() {
	if h.report.state == model.TaskRunning {
		h.report.state, h.report.reason = model.TaskStopped, "stopped by command"
	}
	h.core.emit(CallStop{h.id})
}

func (h *hold) callRenew() {
	if h.renewing {
		return // the worker is slow; the next round sends a newer lease
	}
	h.renewing = true
	h.core.emit(CallRenew{h.id, h.core.lease.Until(h.spec.LongRunning)})
}

func (h *hold) callCheckpoint() {
	if !h.checkpoint {
		h.checkpoint = true
		h.core.emit(CallCheckpoint{h.id})
	}
}

// fail blames the task unless the start call came too late for the lease.
func (h *hold) fail() {
	h.report.state = model.TaskFailed
	if !h.core.lease.Valid(h.core.now, h.spec.LongRunning) {
		h.report.state = model.TaskStopped
	}
}

func (h *hold) adopt() {
	h.adopted, h.adoptedAt = true, h.core.now
	h.report.state = model.TaskRunning
}

// expiresAt is when the attempt has to be stopped for lack of a lease. An
// adopted attempt runs on the worker's own lease until the controller renews.
func (h *hold) expiresAt(c *Core) time.Duration {
	at := max(c.lease.Until(h.spec.LongRunning), c.confirmBy)
	if h.adopted {
		at = max(at, h.adoptedAt+workerTTL)
	}
	return at
}
