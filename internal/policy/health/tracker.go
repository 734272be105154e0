package health

import (
	"fmt"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

const (
	// parkAfterGoodWorkers is the number of good workers on which a job must
	// fail to be parked.
	parkAfterGoodWorkers = 3
	// parkAfterFailures is the number of failures after which a job is parked
	// in a cell that does not have enough good workers.
	parkAfterFailures = 10
	// classFailureWorkers is the number of workers on which a class must fail,
	// without a success on any worker, for its failures to be attributed to the
	// class instead of the workers.
	classFailureWorkers = 3
	// goodDuration is the time for which a success shows that a worker is good.
	goodDuration = 10 * time.Minute
)

// Change is a decision that the caller has to apply: either a new state of a
// worker or a job to park.
type Change struct {
	Worker    model.WorkerID // empty if a job is parked
	State     place.WorkerState
	Removed   bool // State is final: the tracker no longer has the worker
	ParkedJob model.JobID
	Reason    string
}

// Tracker records the states of the workers of a cell and the failures of its
// jobs. It is not safe for concurrent use. Methods that return changes return
// those that the call caused, in order.
type Tracker struct {
	workers  map[model.WorkerID]*worker
	jobs     map[model.JobID]*jobRecord
	failedOn map[model.Class]map[model.WorkerID]bool // workers on which a class failed since its last success
	changes  []Change
	now      time.Duration // time of the present step, for the guards
}

// jobRecord holds the failures of a job.
type jobRecord struct {
	failed   map[model.WorkerID]time.Duration // time of the last failure on each worker
	failures int
}

// New returns a tracker without workers.
func New() *Tracker {
	return &Tracker{workers: map[model.WorkerID]*worker{}, jobs: map[model.JobID]*jobRecord{}, failedOn: map[model.Class]map[model.WorkerID]bool{}}
}

// Add adds a worker in the state ready. It does nothing if the worker exists.
func (t *Tracker) Add(now time.Duration, id model.WorkerID) {
	if t.workers[id] == nil {
		t.workers[id] = &worker{id: id, tracker: t, state: workerChart.Initial(), enteredAt: now, startedAt: map[model.AttemptID]time.Duration{}}
	}
}

// State returns a worker's state; an unknown worker is down.
func (t *Tracker) State(id model.WorkerID) place.WorkerState {
	if w := t.workers[id]; w != nil {
		return place.WorkerState(w.state)
	}
	return place.WorkerDown
}

// UnprovenAttempts returns the number of unproven attempts on the worker and
// their limit; a limit of 0 is no limit.
func (t *Tracker) UnprovenAttempts(now time.Duration, id model.WorkerID) (unproven, limit int) {
	if w := t.workers[id]; w != nil {
		return w.unproven(now), w.maxUnproven()
	}
	return 0, 0
}

// Avoid returns the workers on which the job failed, in ascending order. The
// job should not be placed on them.
func (t *Tracker) Avoid(job model.JobID) []model.WorkerID {
	j := t.jobs[job]
	if j == nil {
		return nil
	}
	ids := make([]model.WorkerID, 0, len(j.failed))
	for id := range j.failed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ForgetJob deletes the failures of a job that ended, was cancelled or is
// retried at an operator's request.
func (t *Tracker) ForgetJob(job model.JobID) { delete(t.jobs, job) }

// Started records the start of an attempt on a worker.
func (t *Tracker) Started(now time.Duration, id model.WorkerID, a model.AttemptID) {
	if w := t.workers[id]; w != nil {
		w.startedAt[a] = now
	}
}

// Stopped records that an attempt ended without success or failure, for
// example because it was evicted.
func (t *Tracker) Stopped(id model.WorkerID, a model.AttemptID) {
	if w := t.workers[id]; w != nil {
		delete(w.startedAt, a)
	}
}

// Succeeded records a successful attempt.
func (t *Tracker) Succeeded(now time.Duration, id model.WorkerID, a model.AttemptID, class model.Class) []Change {
	t.ForgetJob(a.Job)
	delete(t.failedOn, class)
	if w := t.workers[id]; w != nil {
		started, known := w.startedAt[a]
		delete(w.startedAt, a)
		// An attempt that started before the first failure does not show that
		// the worker can still start tasks.
		if len(w.failures) > 0 && (!known || started < w.failures[0].at) {
			return t.takeChanges()
		}
		w.failures = nil
		w.successes++
		w.lastSuccess, w.lastSuccessJob, w.hasSucceeded = now, a.Job, true
		t.step(now, w, evTaskDone, "probation passed")
	}
	return t.takeChanges()
}

// Failed records a failed attempt. The failure is attributed to the worker,
// the job or its class, whichever the other failures make likely.
func (t *Tracker) Failed(now time.Duration, id model.WorkerID, a model.AttemptID, class model.Class) []Change {
	t.now = now
	j := t.jobs[a.Job]
	if j == nil {
		j = &jobRecord{failed: map[model.WorkerID]time.Duration{}}
		t.jobs[a.Job] = j
	}
	j.failed[id] = now
	j.failures++
	if t.failedOn[class] == nil {
		t.failedOn[class] = map[model.WorkerID]bool{}
	}
	t.failedOn[class][id] = true
	if w := t.workers[id]; w != nil {
		delete(w.startedAt, a)
		w.successes = 0
		w.failures = append(w.failures, failure{a.Job, class, now})
		t.step(now, w, evTaskFailed, fmt.Sprintf("tasks of %d different jobs failed without a success in between", w.attributedFailures()))
	}
	t.releaseCleared(now)
	t.parkIfBroken(now, a.Job, j)
	return t.takeChanges()
}

// releaseCleared ends the restriction of workers of whose failures fewer than
// half are still attributed to them.
func (t *Tracker) releaseCleared(now time.Duration) {
	t.now = now
	for _, id := range t.workerIDs() {
		if w := t.workers[id]; w.restricted && 2*w.attributedFailures() < len(w.failures) {
			t.step(now, w, evClear, "most of its failed jobs also fail on other workers")
		}
	}
}

// parkIfBroken parks a job that failed on enough good workers or too often.
func (t *Tracker) parkIfBroken(now time.Duration, job model.JobID, j *jobRecord) {
	good := 0
	for id, at := range j.failed {
		if t.wasGood(now, id, job, at) {
			good++
		}
	}
	switch {
	case good >= parkAfterGoodWorkers:
		t.changes = append(t.changes, Change{ParkedJob: job, Reason: fmt.Sprintf("failed on %d good workers", good)})
	case j.failures >= parkAfterFailures:
		t.changes = append(t.changes, Change{ParkedJob: job, Reason: fmt.Sprintf("failed %d times", j.failures)})
	}
}

// wasGood reports whether another job's success shows that the worker was able
// to run tasks when the job failed.
func (t *Tracker) wasGood(now time.Duration, id model.WorkerID, job model.JobID, failed time.Duration) bool {
	w := t.workers[id]
	return w != nil && !w.restricted && w.hasSucceeded && w.lastSuccessJob != job && failed-w.lastSuccess < goodDuration && now-w.lastSuccess < 2*goodDuration
}

// failsElsewhere reports whether the job failed on a good worker other than
// except.
func (t *Tracker) failsElsewhere(now time.Duration, job model.JobID, except model.WorkerID) bool {
	j := t.jobs[job]
	if j == nil {
		return false
	}
	for id, at := range j.failed {
		if id != except && t.wasGood(now, id, job, at) {
			return true
		}
	}
	return false
}

// classFails reports whether the failures of a class are attributed to the
// class.
func (t *Tracker) classFails(class model.Class) bool {
	return len(t.failedOn[class]) >= classFailureWorkers
}

// mayRestrict reports whether one more worker may be restricted. At most half
// of the workers are, because failures on more of them have another cause.
func (t *Tracker) mayRestrict() bool {
	restricted := 1
	for _, w := range t.workers {
		if w.restricted {
			restricted++
		}
	}
	return 2*restricted <= len(t.workers) || restricted == 1 && len(t.workers) > 1
}

// SetLinkUp records that the link to a worker's agent was lost or restored.
func (t *Tracker) SetLinkUp(now time.Duration, id model.WorkerID, up bool) []Change {
	if up {
		return t.handle(now, id, evLinkRestored, "the link to its agent is restored")
	}
	return t.handle(now, id, evLinkLost, "the link to its agent is lost")
}

// SetDraining starts or ends draining a worker at an operator's request.
func (t *Tracker) SetDraining(now time.Duration, id model.WorkerID, on bool) []Change {
	if on {
		return t.handle(now, id, evDrain, "an operator requested draining")
	}
	return t.handle(now, id, evUndrain, "an operator ended draining")
}

// Remove removes a worker.
func (t *Tracker) Remove(now time.Duration, id model.WorkerID) []Change {
	return t.handle(now, id, evRemove, "the worker was removed")
}

// handle steps the chart of a worker, if it exists, and returns the changes.
func (t *Tracker) handle(now time.Duration, id model.WorkerID, e chart.Event, reason string) []Change {
	if w := t.workers[id]; w != nil {
		t.step(now, w, e, reason)
	}
	return t.takeChanges()
}

// step passes an event to a worker's chart and records a change of its state.
func (t *Tracker) step(now time.Duration, w *worker, e chart.Event, reason string) {
	t.now = now
	before := w.state
	if !workerChart.Step(w, &w.state, e) || w.state == before {
		return
	}
	w.enteredAt = now
	removed := workerChart.Final(w.state)
	if removed {
		delete(t.workers, w.id)
	}
	t.changes = append(t.changes, Change{Worker: w.id, State: place.WorkerState(w.state), Removed: removed, Reason: reason})
}

// Tick applies the timeouts that are due.
func (t *Tracker) Tick(now time.Duration) []Change {
	for _, id := range t.workerIDs() {
		w := t.workers[id]
		if d, e, ok := workerChart.Timeout(w.state); ok && now-w.enteredAt >= d {
			t.step(now, w, e, fmt.Sprintf("%s for %s", workerChart.StateName(w.state), d))
		}
	}
	return t.takeChanges()
}

// NextTick returns the time at which Tick has to be called next; ok is false
// if no timeout is pending.
func (t *Tracker) NextTick() (at time.Duration, ok bool) {
	for _, w := range t.workers {
		if d, _, set := workerChart.Timeout(w.state); set && (!ok || w.enteredAt+d < at) {
			at, ok = w.enteredAt+d, true
		}
	}
	return at, ok
}

// workerIDs returns the workers in ascending order.
func (t *Tracker) workerIDs() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(t.workers))
	for id := range t.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// takeChanges returns the recorded changes and clears them.
func (t *Tracker) takeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
