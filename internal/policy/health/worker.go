// Package health decides which workers get no tasks because they fail what
// they start, and which jobs are parked because they fail wherever they run.
// It is pure: times are durations on the owner's monotonic clock.
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
	evLinkBack
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
	// quarantine bounds the waste of a worker that stays bad to one attempt
	// in this time.
	quarantineTime = 10 * time.Minute
	// quarantineJobs is how many different jobs must fail on a worker without
	// a success in between. It leaves one of the 5 attempts that a bad worker
	// may waste for one in flight. With 3, several broken jobs that were
	// submitted together took good workers out.
	quarantineJobs = 4
	// probationTasks is how many successes end a probation.
	probationSuccesses = 2
	// wastedLimit is the target for attempts that a bad worker may waste.
	maxWastedAttempts = 5
	// firstStarts is how many unproven attempts a worker without a success may
	// have at once: all may fail, and one more may be on its way.
	initialMaxUnproven = maxWastedAttempts - 1
	// settleAfter is how long an attempt must run to count as proven.
	provenAfter = 10 * time.Second
)

// failure is one failed attempt on a worker.
type failure struct {
	job   model.JobID
	class model.Class
	at    time.Duration
}

// worker is the machine's view of one worker.
type worker struct {
	id             model.WorkerID
	tracker        *Tracker
	state          chart.State
	enteredAt      time.Duration
	failures       []failure // since the last success
	successes      int       // since the last failure
	lastSuccess    time.Duration
	lastSuccessJob model.JobID // of the last success
	hasSucceeded   bool
	startedAt      map[model.AttemptID]time.Duration
	restricted     bool // quarantined or in probation, also while the link is lost
	drainRequested bool
}

var workerChart = chart.MustCompile(charts.Files, WorkerBinding())

// WorkerBinding binds charts/worker.scxml. It is exported for the checks that
// explore the chart.
func WorkerBinding() chart.Binding[worker] {
	return chart.Binding[worker]{
		Chart:  "worker",
		States: stateNames(),
		Events: []string{"taskFailed", "taskDone", "linkLost", "linkBack", "expire", "probe", "clear", "drain", "undrain", "remove"},
		Guards: map[string]func(*worker) bool{
			"failsEverything": func(w *worker) bool { return w.tooManyFailures() && w.tracker.mayRestrict() },
			"blamed":          func(w *worker) bool { return w.attributedFailures() > 0 },
			"proven":          func(w *worker) bool { return w.successes >= probationSuccesses },
			"held":            func(w *worker) bool { return w.restricted },
			"drainAsked":      func(w *worker) bool { return w.drainRequested },
		},
		Actions: map[string]func(*worker){
			"hold":     func(w *worker) { w.restricted = true },
			"release":  func(w *worker) { w.restricted = false; w.failures = nil },
			"askDrain": func(w *worker) { w.drainRequested = true },
			"endDrain": func(w *worker) { w.drainRequested = false },
		},
		Delays: map[string]time.Duration{"leaseExpiry": leaseExpiry, "quarantine": quarantineTime},
	}
}

// blamed counts the different jobs whose failure speaks against the worker:
// not those that, or whose whole class, also fail on other workers.
func (w *worker) attributedFailures() int {
	n := 0
	for i, f := range w.failures {
		first := true
		for _, earlier := range w.failures[:i] {
			first = first && earlier.job != f.job
		}
		if first && !w.tracker.failsElsewhere(w.tracker.now, f.job, w.id) && !w.tracker.classFailsElsewhere(f.class) {
			n++
		}
	}
	return n
}

func (w *worker) tooManyFailures() bool { return w.attributedFailures() >= quarantineJobs }

// unproven counts the attempts that neither ended nor ran long enough.
func (w *worker) unproven(now time.Duration) int {
	n := 0
	for _, at := range w.startedAt {
		if now-at < provenAfter {
			n++
		}
	}
	return n
}

// maxUnproven is the bound for unproven; 0 is none. It starts small, so that
// a worker that fails everything wastes few attempts, and grows with each
// success.
func (w *worker) maxUnproven() int {
	switch {
	case len(w.failures) > 0:
		return max(1, quarantineJobs-len(w.failures))
	case w.successes >= initialMaxUnproven:
		return 0
	}
	return initialMaxUnproven + w.successes
}
