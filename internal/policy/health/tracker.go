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
	// parkWorkers is on how many good workers a job must fail to be parked.
	parkAfterGoodWorkers = 3
	// parkFailures parks a job in a cell without enough good workers.
	parkAfterFailures = 10
	// suspectWorkers is on how many workers a class must fail, without a
	// success anywhere in between, to be blamed instead of the workers.
	classFailureWorkers = 3
	// goodFor is how long a success proves a worker good.
	goodDuration = 10 * time.Minute
)

// Change is a change that the owner has to apply: of a worker's state, or a
// job to park.
type Change struct {
	Worker    model.WorkerID // empty for a job
	State     place.WorkerState
	Removed   bool // the worker was removed
	ParkedJob model.JobID
	Reason    string
}

// Tracker follows the workers of a cell and the failures of its jobs. It has
// one owner.
type Tracker struct {
	workers  map[model.WorkerID]*worker
	jobs     map[model.JobID]*jobRecord
	failedOn map[model.Class]map[model.WorkerID]bool // failed there since the class's last success
	changes  []Change
	now      time.Duration // of the step in progress, for the guards
}

// jobRecord is where a job failed, with the time of the last failure there.
type jobRecord struct {
	failed   map[model.WorkerID]time.Duration
	failures int
}

// New returns a tracker without workers.
func New() *Tracker {
	return &Tracker{workers: map[model.WorkerID]*worker{}, jobs: map[model.JobID]*jobRecord{}, failedOn: map[model.Class]map[model.WorkerID]bool{}}
}

// Add starts to follow a worker in state ready.
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

// UnprovenAttempts returns how many attempts on the worker are unproven and how many
// may be; a limit of 0 is none.
func (t *Tracker) UnprovenAttempts(now time.Duration, id model.WorkerID) (unproven, limit int) {
	if w := t.workers[id]; w != nil {
		return w.unproven(now), w.maxUnproven()
	}
	return 0, 0
}

// Avoid lists the workers on which the job failed, in order.
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

// ForgetJob drops the record of a job that ended, was cancelled or is to be
// tried again by an operator's request.
func (t *Tracker) ForgetJob(job model.JobID) { delete(t.jobs, job) }

// Started notes a start of an attempt on a worker.
func (t *Tracker) Started(now time.Duration, id model.WorkerID, a model.AttemptID) {
	if w := t.workers[id]; w != nil {
		w.startedAt[a] = now
	}
}

// Stopped notes that an attempt ended without a verdict, such as an eviction.
func (t *Tracker) Stopped(id model.WorkerID, a model.AttemptID) {
	if w := t.workers[id]; w != nil {
		delete(w.startedAt, a)
	}
}

// Succeeded notes a completed attempt.
func (t *Tracker) Succeeded(now time.Duration, id model.WorkerID, a model.AttemptID, class model.Class) []Change {
	t.ForgetJob(a.Job)
	delete(t.failedOn, class)
	if w := t.workers[id]; w != nil {
		started, known := w.startedAt[a]
		delete(w.startedAt, a)
		// An attempt from before the failures does not show that the worker
		// can still start tasks.
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

// Failed notes a failed attempt. The failure counts against the worker, the
// job or its class, whichever the other records make likely.
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
	t.parkIfHopeless(now, a.Job, j)
	return t.takeChanges()
}

// clear lets workers go most of whose failures turned out to be the jobs' own.
func (t *Tracker) releaseCleared(now time.Duration) {
	t.now = now
	for _, id := range t.workerIDs() {
		if w := t.workers[id]; w.restricted && 2*w.attributedFailures() < len(w.failures) {
			t.step(now, w, evClear, "most of its failed jobs also fail on other workers")
		}
	}
}

func (t *Tracker) parkIfHopeless(now time.Duration, job model.JobID, j *jobRecord) {
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

// good reports whether another job's success shows that the worker was able
// to run tasks when the job failed.
func (t *Tracker) wasGood(now time.Duration, id model.WorkerID, job model.JobID, failed time.Duration) bool {
	w := t.workers[id]
	return w != nil && !w.restricted && w.hasSucceeded && w.lastSuccessJob != job && failed-w.lastSuccess < goodDuration && now-w.lastSuccess < 2*goodDuration
}

// suspectJob reports whether the job failed on a good worker other than this.
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

func (t *Tracker) classFailsElsewhere(class model.Class) bool {
	return len(t.failedOn[class]) >= classFailureWorkers
}

// mayHold reports whether one more worker may be taken out: never more than
// half of the cell, because then something else is at fault.
func (t *Tracker) mayRestrict() bool {
	restricted := 1
	for _, w := range t.workers {
		if w.restricted {
			restricted++
		}
	}
	return 2*restricted <= len(t.workers) || restricted == 1 && len(t.workers) > 1
}

// SetLinkUp notes that the link to a worker's agent was lost or is back.
func (t *Tracker) SetLinkUp(now time.Duration, id model.WorkerID, up bool) []Change {
	if up {
		return t.handle(now, id, evLinkBack, "the link is back")
	}
	return t.handle(now, id, evLinkLost, "the link to its agent is lost")
}

// SetDraining starts or ends the draining of a worker.
func (t *Tracker) SetDraining(now time.Duration, id model.WorkerID, on bool) []Change {
	if on {
		return t.handle(now, id, evDrain, "an operator drains it")
	}
	return t.handle(now, id, evUndrain, "an operator ended the draining")
}

// Remove stops following a worker.
func (t *Tracker) Remove(now time.Duration, id model.WorkerID) []Change {
	return t.handle(now, id, evRemove, "it was removed")
}

func (t *Tracker) handle(now time.Duration, id model.WorkerID, e chart.Event, reason string) []Change {
	if w := t.workers[id]; w != nil {
		t.step(now, w, e, reason)
	}
	return t.takeChanges()
}

// step feeds an event to a worker's chart and notes a change of its state.
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

// Tick fires the timeouts that are due.
func (t *Tracker) Tick(now time.Duration) []Change {
	for _, id := range t.workerIDs() {
		w := t.workers[id]
		if d, e, ok := workerChart.Timeout(w.state); ok && now-w.enteredAt >= d {
			t.step(now, w, e, fmt.Sprintf("%s for %s", workerChart.StateName(w.state), d))
		}
	}
	return t.takeChanges()
}

// NextTick returns when Tick has something to do; ok is false if it has nothing.
func (t *Tracker) NextTick() (at time.Duration, ok bool) {
	for _, w := range t.workers {
		if d, _, set := workerChart.Timeout(w.state); set && (!ok || w.enteredAt+d < at) {
			at, ok = w.enteredAt+d, true
		}
	}
	return at, ok
}

func (t *Tracker) workerIDs() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(t.workers))
	for id := range t.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (t *Tracker) takeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
