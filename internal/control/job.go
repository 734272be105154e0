package control

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// States of charts/job.scxml.
const (
	stPending chart.State = iota
	stPlaced
	stJobRunning
	stEvicting
	stParked
	stDone
	stFailed
	stCancelled
)

// Events of charts/job.scxml.
const (
	evPlace chart.Event = iota
	evJobStarted
	evFinished
	evFailed
	evInterrupted
	evJobEvict
	evCancel
)

// maxFailures is the number of failed attempts, on any workers, after which a
// job fails.
const maxFailures = 20

// job is a job that has not ended. Its row may be newer than the row in the
// table; effects that depend on the newer row wait in hooks until it is
// committed.
type job struct {
	id          model.JobID
	row         model.JobRow // Phase is set when the row is written
	phase       chart.State
	version     storage.Revision // of the row in the table
	order       uint64           // version of the row when the job was added; orders jobs by submission
	size        model.Resources  // measured peak, at least the declared size
	lastVerdict place.Verdict    // of the last plan that did not place the job
	attempt     attempt
	parkReason  string       // why the health tracker wants the job parked; empty: it does not
	labels      model.Labels // by which selectors match its tasks; nil: not computed

	generation uint64 // number of changes of the row
	inFlight   uint64 // generation in the unanswered transaction; 0: none
	committed  uint64 // newest generation in the table
	queued     bool   // in the batch's queue
	hooks      []hook

	core         *Core          // set during a step
	targetWorker model.WorkerID // of a placement, set during the step
}

// hook is an action that runs once a generation of the row is committed.
type hook struct {
	generation uint64
	kind       hookKind
	attempt    uint32 // number
	worker     model.WorkerID
}

type hookKind uint8

const (
	hookStart               hookKind = iota // sends the start command
	hookCheckpointCommitted                 // stops the attempt, which can resume from the checkpoint
	hookAcknowledge                         // lets the agent remove the attempt
)

// JobBinding binds charts/job.scxml to its guards and actions.
func JobBinding() chart.Binding[job] {
	return chart.Binding[job]{
		Chart:  "job",
		States: []string{"pending", "placed", "running", "evicting", "parked", "done", "failed", "cancelled"},
		Events: []string{"place", "started", "finished", "failed", "interrupted", "evict", "cancel"},
		Guards: map[string]func(*job) bool{
			"cancelling": func(j *job) bool { return j.row.CancelRequested },
			"exhausted":  func(j *job) bool { return j.row.Failures+1 >= maxFailures },
			"parking":    func(j *job) bool { return j.parkReason != "" },
		},
		Actions: map[string]func(*job){
			"assign":      (*job).assign,
			"write":       func(j *job) { j.core.queueWrite(j) },
			"awaitCommit": func(j *job) { j.awaitCommit(hookStart) },
			"finish":      func(j *job) { j.row.Result, j.row.Reason = j.attempt.report.Result, "" },
			"countFailure": func(j *job) {
				j.row.Failures++
				j.row.Reason = j.attempt.report.Reason
				if j.parkReason != "" {
					j.row.Reason = j.parkReason + ": " + j.row.Reason
				}
			},
			"countEviction": func(j *job) {
				j.row.Evictions++
				j.core.evictions[evictionKey{j.row.Spec.Team, j.row.Spec.Class}]++
			},
			"evictAttempt": func(j *job) { j.core.stepAttempt(j, evEvict) },
			"stopAttempt":  func(j *job) { j.core.stepAttempt(j, evStop) },
		},
	}
}

// stepJob feeds an event to the chart of a job and reports whether the chart
// has a transition for it.
func (c *Core) stepJob(j *job, e chart.Event) bool {
	j.core = c
	before := j.phase
	if !jobChart.Step(j, &j.phase, e) {
		return false
	}
	if j.phase == stParked && before != stParked {
		c.log(event.JobParked, map[string]any{"job": j.id, "reason": j.row.Reason})
	}
	c.updatePending(j)
	c.planNeeded = c.planNeeded || j.phase == stPending
	return true
}

// assign creates the next attempt on the target worker. The ledger has already
// reserved its resources.
func (j *job) assign() {
	j.row.Attempt++
	j.row.Worker, j.row.Reason = j.targetWorker, ""
	j.attempt = attempt{live: true, state: attemptChart.Initial(), number: j.row.Attempt, worker: j.targetWorker}
	j.core.peers[j.targetWorker].chargedAttempts++
	j.core.trackStart(j)
}

// awaitCommit adds a hook for the present generation of the row.
func (j *job) awaitCommit(kind hookKind) {
	j.hooks = append(j.hooks, hook{j.generation, kind, j.attempt.number, j.attempt.worker})
}

func (j *job) attemptID() model.AttemptID {
	return model.AttemptID{Job: j.id, Number: j.attempt.number}
}

// ledgerTask returns the task that the ledger charges for an attempt.
func (c *Core) ledgerTask(j *job, number uint32) place.Task {
	spec := j.row.Spec
	return place.Task{
		Attempt: model.AttemptID{Job: j.id, Number: number}, Team: spec.Team, Class: spec.Class,
		Labels: c.labelsOf(j), Size: j.size, Urgent: spec.Urgent, LongRunning: spec.LongRunning,
	}
}

// onRow handles a job row that was read from the table. For a known job only
// the cancel flag can be new, because the owner makes every other change.
func (c *Core) onRow(r JobRow) {
	j := c.jobs[r.ID]
	switch {
	case r.Deleted:
		if j != nil && !j.attempt.live {
			c.removeJob(r.ID)
		}
		return
	case j == nil:
		c.addJob(r)
		return
	}
	j.version = max(j.version, r.Version)
	if r.Row.CancelRequested && !j.row.CancelRequested {
		j.row.CancelRequested = true
		c.stepJob(j, evCancel)
	}
}

// addJob creates the record of a job from its row.
func (c *Core) addJob(r JobRow) {
	phase, known := phaseState[r.Row.Phase]
	switch {
	case !known:
		c.log(event.ControlRowMalformed, map[string]any{"job": r.ID, "phase": r.Row.Phase})
		return
	case jobChart.Final(phase):
		if !c.loaded { // later ones were counted when they were written
			c.finishedCounts[r.Row.Phase]++
		}
		return
	}
	j := &job{id: r.ID, row: r.Row, phase: phase, version: r.Version, order: uint64(r.Version),
		size: r.Row.Spec.Resources}
	c.jobs[r.ID] = j
	c.updatePending(j)
	c.planNeeded = true
	if phase == stPlaced || phase == stJobRunning || phase == stEvicting {
		c.adoptAttempt(j)
	}
	if j.row.CancelRequested {
		c.stepJob(j, evCancel)
	}
}

// adoptAttempt charges an attempt of an earlier owner, which may be running.
func (c *Core) adoptAttempt(j *job) {
	p := c.peer(j.row.Worker)
	if p.grants.Until(false) == 0 {
		p.grants.SetUntil(c.now+lease.SuccessorWait(false), c.now+lease.SuccessorWait(true))
	}
	j.attempt = attempt{live: true, state: attemptChart.Initial(), number: j.row.Attempt, worker: j.row.Worker}
	p.chargedAttempts++
	c.ledger.Adopt(p.worker.ID, c.ledgerTask(j, j.row.Attempt))
	c.stepAttempt(j, evAdopt)
}

// evict starts the eviction of a job. It does nothing if the job has no task or
// the cell is not owned.
func (c *Core) evict(id model.JobID, reason string) {
	j := c.jobs[id]
	if j == nil || c.cell.state != stOwning || !jobChart.Can(j, j.phase, evJobEvict) {
		return
	}
	j.row.Reason = reason
	c.stepJob(j, evJobEvict)
}

// updatePending adds the job to the pending jobs or removes it, by its phase.
func (c *Core) updatePending(j *job) {
	if j.phase == stPending {
		c.pending[j.id] = j
	} else {
		delete(c.pending, j.id)
	}
}

func (c *Core) removeJob(id model.JobID) {
	delete(c.jobs, id)
	delete(c.pending, id)
}

// selectJobs returns the jobs of a set for which keep returns true, in
// submission order. It filters before it sorts, because a cell has thousands of
// jobs and a sweep concerns few.
func selectJobs(set map[model.JobID]*job, keep func(*job) bool) []*job {
	var list []*job
	for _, j := range set {
		if keep(j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.id, b.id)) })
	return list
}
