package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/run.scxml, in the order of RunBinding.
const (
	runOrdered chart.State = iota
	runRunning
	runStopping
	runEnded
)

// Events of charts/run.scxml, in the order of RunBinding.
const (
	evStarted chart.Event = iota
	evRefused
	evEnded
	evLost
	evStop
	evStopTimeout
)

// stopRetry is the time after which the request to stop a run is sent again if
// its end was not reported.
const stopRetry = time.Second

var runChart *chart.Machine[run]

func init() { runChart = chart.MustCompile(charts.Files, RunBinding()) }

// RunBinding binds charts/run.scxml.
func RunBinding() chart.Binding[run] {
	return chart.Binding[run]{
		Chart:  "run",
		States: []string{"ordered", "running", "stopping", "over"},
		Events: []string{"started", "refused", "ended", "lost", "stop", "late"},
		Actions: map[string]func(*run){
			"noteStarted":   (*run).noteStarted,
			"settleEnd":     (*run).settleEnd,
			"settleRefused": (*run).settleRefused,
			"settleLost":    (*run).settleLost,
			"requestStop":   (*run).requestStop,
		},
		Delays: map[string]time.Duration{"stopRetry": stopRetry},
	}
}

// run is one run of a task on a host.
type run struct {
	id    workload.RunID
	task  *task
	host  *host
	state chart.State
	timed bool // its state has a timeout

	countedAs *int // in Core.runStates; nil: it is not charged to the host

	orderedAt  time.Duration
	startedAt  time.Duration
	status     msg.RunStatus
	statusAt   time.Duration
	end        msg.RunEnd // set during the event ended only
	stopReason string     // why it was stopped, for the log
	lossCause  LossCause  // set during the event lost only

	inherited      bool // a former owner's row lists it, and its host has not answered
	mayHaveStarted bool // its agent reported it as started or as unconfirmed

	unproven bool // it may show that its task crashes backend servers
	holds    bool // nothing else starts beside it

	throttledSince time.Duration // since when a best-effort run is throttled; 0: it is not
}

func (r *run) core() *Core { return r.host.core }

func (r *run) step(e chart.Event) {
	before := r.state
	runChart.Step(r, &r.state, e)
	if r.countedAs != nil && r.state != before {
		r.count()
	}
	d, _, ok := runChart.Timeout(r.state)
	switch {
	case ok && (r.state != before || e == evStopTimeout):
		r.core().due.Set(r, r.core().now+d)
	case !ok && r.timed:
		r.core().due.Remove(r)
	}
	r.timed = ok
}

func (r *run) expire() {
	r.timed = false
	r.step(evStopTimeout)
}

// stop stops the run unless it is being stopped. The reason is logged.
func (r *run) stop(reason string) {
	if r.state == runStopping {
		return
	}
	r.stopReason = reason
	r.step(evStop)
}

// requestStop queues a stop request to the agent.
func (r *run) requestStop() {
	r.core().addDecision(Decision{Kind: RunStopped, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: r.stopReason})
	r.host.queueStop(r.id)
}

func (r *run) noteStarted() {
	r.startedAt, r.mayHaveStarted = r.core().now, true
	r.host.refusals = 0
	r.task.releaseEnds()
	r.task.step.job.step(evBegin)
}

// settleEnd applies the reported end of the run.
func (r *run) settleEnd() {
	c := r.core()
	c.addDecision(Decision{Kind: RunEnded, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: r.end.Reason.String(), Age: c.now - r.orderedAt})
	r.release()
	if r.end.Checkpoint != "" {
		r.task.checkpoint = r.end.Checkpoint
	} else if r.status.Checkpoint != "" {
		r.task.checkpoint = r.status.Checkpoint
	}
	r.task.attemptsChanged()
	r.host.recordEnd(r.end)
	r.task.applyEnd(r.end, r.host)
}

// applyEnd applies the end of a run to its task. The owner need not know the
// run.
func (t *task) applyEnd(e msg.RunEnd, h *host) {
	switch e.Reason {
	case workload.EndDone:
		t.holdEnd(h, e.Number)
		t.complete()
	case workload.EndFailed:
		t.fail(e.Run.Number, h.info.Name)
	}
	if t.step.mayStart() {
		t.release()
	}
}

// settleRefused ends a run that the agent refused; its task becomes ready again.
func (r *run) settleRefused() {
	c := r.core()
	c.addDecision(Decision{Kind: RunEnded, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: "refused", Age: c.now - r.orderedAt})
	r.host.recordRefusal()
	r.release()
	r.task.release()
}

// settleLost ends a run that has certainly ended without a report. Its task
// becomes ready again, and resumes from the last reported checkpoint.
func (r *run) settleLost() {
	c := r.core()
	c.addDecision(Decision{Kind: RunEnded, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: "lost", Cause: r.lossCause, Age: c.now - r.orderedAt})
	if r.status.Checkpoint != "" {
		r.task.checkpoint = r.status.Checkpoint
		r.task.attemptsChanged()
	}
	r.release()
	r.task.release()
}

// release removes the run from its host and its task.
func (r *run) release() {
	r.endObservation()
	r.host.uncharge(r)
	for i, other := range r.task.runs {
		if other == r {
			r.task.runs = append(r.task.runs[:i], r.task.runs[i+1:]...)
			break
		}
	}
	r.task.releaseEnds()
	r.core().planNeeded = true
}
