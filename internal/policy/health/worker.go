// Package health decides which workers get no tasks because the tasks that
// they start fail, and which jobs are parked because they fail on every
// worker. It does no input or output and reads no clock: times are durations
// on the caller's monotonic clock.
package health

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// stateNames returns the states of charts/worker.scxml: those of
// place.WorkerState with their values, and gone.
func stateNames() []string {
	var names []string
	for s := place.WorkerReady; s <= place.WorkerProbation; s++ {
		names = append(names, s.String())
	}
	return append(names, "gone")
}

// Events of charts/worker.scxml.
const (
	evTaskFailed chart.Event = iota
	evTaskDone
	evLinkLost
	evLinkRestored
	evExpire
	evProbe
	evClear
	evDrain
	evUndrain
	evRemove
)

const (
	// leaseExpiry covers the agent's lease of 30 s, 1% clock drift and the
	// margin of 2 s, rounded up.
	leaseExpiry = 33 * time.Second
	// quarantineTime limits the attempts that a worker wastes while it stays
	// bad to one in this time.
	quarantineTime = 10 * time.Minute
	// quarantineJobs is the number of different jobs that must fail on a worker
	// without a success in between for it to be quarantined. It is one less
	// than maxWastedAttempts, because one more attempt may be running. With 3,
	// several broken jobs that were submitted together quarantined good workers.
	quarantineJobs = 4
	// probationSuccesses is the number of successes that end a probation.
	probationSuccesses = 2
	// maxWastedAttempts is the target for the number of attempts that a bad
	// worker wastes.
	maxWastedAttempts = 5
	// initialMaxUnproven is the limit of unproven attempts on a worker without
	// a success: all of them may fail, and one more may be starting.
	initialMaxUnproven = maxWastedAttempts - 1
	// provenAfter is the time that an attempt must run to count as proven.
	provenAfter = 10 * time.Second
)

// failure is one failed attempt on a worker.
type failure struct {
	job   model.JobID
	class model.Class
	at    time.Duration
}

// worker is the data of one worker's state machine.
type worker struct {
	id             model.WorkerID
	tracker        *Tracker
	state          chart.State
	enteredAt      time.Duration // when the worker entered its state
	failures       []failure     // since the last success
	successes      int           // since the last failure
	lastSuccess    time.Duration
	lastSuccessJob model.JobID
	hasSucceeded   bool
	startedAt      map[model.AttemptID]time.Duration // of the attempts that have not ended
	restricted     bool                              // quarantined or in probation, even if the link is lost or the worker drains
	drainRequested bool
}

var workerChart = chart.MustCompile(charts.Files, WorkerBinding())

// WorkerBinding returns the binding of charts/worker.scxml.
func WorkerBinding() chart.Binding[worker] {
	return chart.Binding[worker]{
		Chart:  "worker",
		States: stateNames(),
		Events: []string{"taskFailed", "taskDone", "linkLost", "linkRestored", "expire", "probe", "clear", "drain", "undrain", "remove"},
		Guards: map[string]func(*worker) bool{
			"tooManyFailures":   func(w *worker) bool { return w.tooManyFailures() && w.tracker.mayRestrict() },
			"failureAttributed": func(w *worker) bool { return w.attributedFailures() > 0 },
			"proven":            func(w *worker) bool { return w.successes >= probationSuccesses },
			"restricted":        func(w *worker) bool { return w.restricted },
			"drainRequested":    func(w *worker) bool { return w.drainRequested },
		},
		Actions: map[string]func(*worker){
			"restrict":        func(w *worker) { w.restricted = true },
			"liftRestriction": func(w *worker) { w.restricted = false; w.failures = nil },
			"requestDrain":    func(w *worker) { w.drainRequested = true },
			"endDrain":        func(w *worker) { w.drainRequested = false },
		},
		Delays: map[string]time.Duration{"leaseExpiry": leaseExpiry, "quarantine": quarantineTime},
	}
}

// attributedFailures counts the different jobs whose failures are attributed
// to the worker: not those that also fail on another good worker, or whose
// failures are attributed to their class.
func (w *worker) attributedFailures() int {
	n := 0
	for i, f := range w.failures {
		first := true
		for _, earlier := range w.failures[:i] {
			first = first && earlier.job != f.job
		}
		if first && !w.tracker.failsElsewhere(w.tracker.now, f.job, w.id) && !w.tracker.classFails(f.class) {
			n++
		}
	}
	return n
}

// tooManyFailures reports whether the failures suffice for a quarantine.
func (w *worker) tooManyFailures() bool { return w.attributedFailures() >= quarantineJobs }

// unproven counts the attempts that have neither ended nor run for
// provenAfter.
func (w *worker) unproven(now time.Duration) int {
	n := 0
	for _, at := range w.startedAt {
		if now-at < provenAfter {
			n++
		}
	}
	return n
}

// maxUnproven returns the limit of unproven; 0 is no limit. It starts small,
// so that a worker on which everything fails wastes few attempts, and grows
// with each success.
func (w *worker) maxUnproven() int {
	switch {
	case len(w.failures) > 0:
		return max(1, quarantineJobs-len(w.failures))
	case w.successes >= initialMaxUnproven:
		return 0
	}
	return initialMaxUnproven + w.successes
}
