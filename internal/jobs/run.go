package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/run.scxml.
const (
	runOrdered chart.State = iota
	runRunning
	runStopping
	runOver
)

// Events of charts/run.scxml.
const (
	evStarted chart.Event = iota
	evRefused
	evEnded
	evLost
	evStop
	evStopLate
)

// stopRetry is how long an agent may take to report the end of a run that it
// was told to stop.
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
			"orderStop":     (*run).orderStop,
		},
		Delays: map[string]time.Duration{"stopRetry": stopRetry},
	}
}

// run is one start of a task.
type run struct {
	id    workload.RunID
	task  *task
	host  *host
	state chart.State
	due   time.Duration // of the state's timeout; 0: none

	ordered  time.Duration
	started  time.Duration
	status   msg.RunStatus
	statusAt time.Duration
	end      msg.RunEnd // during the event ended
	why      string     // why it was stopped

	heldSince time.Duration // since when a filler is held back; 0: it is not
}

func (r *run) core() *Core { return r.host.core }

func (r *run) step(e chart.Event) {
	before := r.state
	runChart.Step(r, &r.state, e)
	if d, _, ok := runChart.Timeout(r.state); ok && (r.state != before || e == evStopLate) {
		r.due = r.core().now + d
	}
}

func (r *run) tick() {
	if r.due != 0 && r.core().now >= r.due && r.state == runStopping {
		r.step(evStopLate)
	}
}

func (r *run) stop(why string) {
	r.why = why
	r.step(evStop)
}

func (r *run) orderStop() {
	r.core().note(Decision{Kind: RunStopped, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: r.why})
	r.host.stops = append(r.host.stops, r.id)
	r.core().plan = true
}

func (r *run) noteStarted() {
	r.started = r.core().now
	r.task.step.job.step(evBegin)
}

func (r *run) settleEnd() {
	c := r.core()
	c.note(Decision{Kind: RunEnded, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: r.end.Reason.String(), Age: c.now - r.ordered})
	r.release()
	if r.end.Checkpoint != "" {
		r.task.checkpoint = r.end.Checkpoint
	} else if r.status.Checkpoint != "" {
		r.task.checkpoint = r.status.Checkpoint
	}
	r.host.record(r.end)
	r.task.applyEnd(r.end, r.host)
}

// applyEnd lets the end of a run, known or not, count for its task.
func (t *task) applyEnd(e msg.RunEnd, h *host) {
	switch e.Reason {
	case workload.EndDone:
		t.complete()
	case workload.EndFailed:
		t.fail(e.Run.Number, h.info.Name)
	}
	if t.step.open() {
		t.release()
	}
}

func (r *run) settleRefused() {
	c := r.core()
	c.note(Decision{Kind: RunEnded, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: "refused", Age: c.now - r.ordered})
	r.release()
	r.task.release()
}

func (r *run) settleLost() {
	c := r.core()
	c.note(Decision{Kind: RunEnded, Job: r.id.Task.Job, Run: r.id, Host: r.host.info.Name, Detail: "lost", Age: c.now - r.ordered})
	if r.status.Checkpoint != "" {
		r.task.checkpoint = r.status.Checkpoint
	}
	r.release()
	r.task.release()
}

// release takes the run off its host and its task.
func (r *run) release() {
	r.host.drop(r)
	for i, other := range r.task.live {
		if other == r {
			r.task.live = append(r.task.live[:i], r.task.live[i+1:]...)
			break
		}
	}
	r.core().plan = true
}
