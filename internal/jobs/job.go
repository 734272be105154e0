package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Events of charts/batchjob.scxml, in the order of JobBinding. The states have the
// values of the phases.
const (
	evBegin chart.Event = iota
	evFinish
	evFail
	evCancel
)

var jobChart *chart.Machine[job]

func init() { jobChart = chart.MustCompile(charts.Files, JobBinding()) }

// JobBinding binds charts/batchjob.scxml.
func JobBinding() chart.Binding[job] {
	return chart.Binding[job]{
		Chart:  "batchjob",
		States: []string{"queued", "running", "completed", "failed", "cancelled"},
		Events: []string{"begin", "finish", "fail", "cancel"},
		Actions: map[string]func(*job){
			"publish":  (*job).publish,
			"finalise": (*job).finalise,
		},
	}
}

// endedJobRetention is how long the phase of an ended job can be queried.
const endedJobRetention = 180 * time.Second

// job is one job and its steps.
type job struct {
	core        *Core
	spec        workload.Job
	state       chart.State
	storedPhase workload.Phase // phase of the stored row
	phaseChange uint64         // number of the newest change of the visible phase
	steps       []*step
	admittedAt  time.Duration // when this owner admitted the job
	deadline    time.Duration // by which the job should be completed
	recovered   bool          // accepted under an earlier owner
	endedAtMS   int64         // Unix milliseconds; 0: not ended
	failure     string        // why it has failed, if not by its failed runs
	// unstoredCrashes are the tasks whose counts of crashes the next batch stores.
	unstoredCrashes []*task
	dirtyParts      map[int]struct{} // rows of attempts that the next batches write
	roundParts      map[int]struct{} // those of them that belong to the round
}

// step is one step of a job.
type step struct {
	job        *job
	number     int
	spec       *workload.Step
	tasks      []*task
	firstTask  int // number of its first task among those of the job
	unfinished int // number of tasks that are not done

	ready      []*task       // tasks that may start, ordered by index
	lastReady  time.Duration // when a task became ready last
	waitsSince time.Duration // since when it has had ready tasks
	unlogged   int           // ready tasks whose TaskUnplaced was not logged
	group      *group        // while it has ready tasks
}

// task is one task of a step. It is ready to start when its step may start and
// it has no run.
type task struct {
	step           *step
	index          int
	done           bool
	failedRuns     failedRuns                 // runs that count as attempts; none of long-running tasks
	checkpoint     string                     // from which the next run resumes
	starts         uint64                     // counter of the run numbers of this epoch
	runs           []*run                     // runs that have not ended
	failedHosts    map[workload.HostName]bool // hosts on which it failed
	unplacedLogged bool                       // TaskUnplaced was logged since the task became ready
	ready          bool                       // it may start
	suspicion      chart.State                // of charts/crashsuspect.scxml
	crashes        crashes
	readyApart     bool   // it may start, apart from others
	searchedApart  uint64 // number of the last improvement of a host when none could run it apart
	readySince     time.Duration
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.spec.ID, Step: t.step.number, Index: t.index}
}

// lastRun identifies the newest run of the task that has not ended, or the task
// with the run number 0.
func (t *task) lastRun() workload.RunID {
	if n := len(t.runs); n > 0 {
		return t.runs[n-1].id
	}
	return workload.RunID{Task: t.id()}
}

func newJob(c *Core, spec workload.Job) *job {
	j := &job{core: c, spec: spec, state: jobChart.Initial(), admittedAt: c.now}
	tasks := 0
	for i := range j.spec.Steps {
		s := &step{job: j, number: i, spec: &j.spec.Steps[i], firstTask: tasks, unfinished: j.spec.Steps[i].Count}
		tasks += s.spec.Count
		for k := range s.spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: k, suspicion: suspectChart.Initial()})
		}
		j.steps = append(j.steps, s)
	}
	j.deadline = c.now + j.completionTarget()
	return j
}

// completionTarget returns the time in which the job should be completed: the
// estimates along its critical path, multiplied by the target slowdown, and the
// target latency. Long-running tasks do not complete and have to start in time, so
// their estimates do not count.
func (j *job) completionTarget() time.Duration {
	pathTimes := make([]time.Duration, len(j.steps))
	var longest time.Duration
	for i, s := range j.steps {
		for _, a := range s.spec.After {
			pathTimes[i] = max(pathTimes[i], pathTimes[a])
		}
		if !s.spec.LongRunning {
			pathTimes[i] += s.spec.Estimate
		}
		longest = max(longest, pathTimes[i])
	}
	return time.Duration(max(1, j.spec.TargetSlowdown)*float64(longest)) + j.spec.TargetLatency
}

func (j *job) step(e chart.Event) { jobChart.Step(j, &j.state, e) }

// markDirty makes the next batch write the job's row.
func (j *job) markDirty() { j.core.dirty[j] = struct{}{} }

// removeLater makes the job's rows be deleted after endedJobRetention.
func (j *job) removeLater() { j.core.due.Set(j, j.core.now+endedJobRetention) }

func (j *job) expire() { j.core.remove(j) }

// finalise records the end of the job and stops its runs.
func (j *job) finalise() {
	j.endedAtMS = j.core.wallMS
	j.removeLater()
	j.markDirty()
	j.core.addDecision(Decision{Kind: JobEnded, Job: j.spec.ID, Detail: j.phase().String(), Reason: j.failure, Age: j.core.now - j.admittedAt})
	for _, s := range j.steps {
		for _, t := range s.tasks {
			j.core.unready(t)
			t.stopRuns("job-over")
		}
	}
}

// stopRuns stops all runs of the task. The reason is logged.
func (t *task) stopRuns(reason string) {
	for _, r := range append([]*run(nil), t.runs...) {
		r.stop(reason)
	}
}

// Submit adds a stored job, whose Epoch must be that of its row. It ignores a job
// that is known already, and a job of a higher epoch than the owner's: its tasks
// are started by a later owner.
func (c *Core) Submit(spec workload.Job) { c.submit(spec, nil, false) }

// Restore is like Submit for a job that was stored before the owner began, with
// its stored progress, which is nil if none was stored. A job whose rows are being deleted
// is not restored: its progress may have been deleted between the two reads.
func (c *Core) Restore(spec workload.Job, p *workload.Progress) {
	if _, dropped := c.dropped[spec.ID]; !dropped {
		c.submit(spec, p, true)
	}
}

func (c *Core) submit(spec workload.Job, p *workload.Progress, recovered bool) {
	if _, known := c.jobs[spec.ID]; known || spec.Epoch > c.epoch {
		return
	}
	j := newJob(c, spec)
	j.numberPhase()
	j.recovered = recovered
	c.jobs[spec.ID] = j
	if p != nil {
		j.restore(p)
	}
	c.addDecision(Decision{Kind: JobAdmitted, Job: spec.ID, Detail: j.phase().String()})
	_, cancelled := c.cancelled[spec.ID]
	if cancelled {
		delete(c.cancelled, spec.ID)
		c.due.Remove(cancellation{c, spec.ID})
	}
	switch {
	case j.phase().Final():
		j.dropEarly()
		j.publish()
	case cancelled:
		j.dropEarly()
		j.step(evCancel)
	default:
		j.publish()
		j.applyEarly()
		j.chargeListedRuns()
		j.release()
	}
}

// Cancel applies a stored cancellation, which may arrive before its job.
func (c *Core) Cancel(id workload.JobID) {
	j, known := c.jobs[id]
	if !known {
		c.cancelled[id] = struct{}{}
		c.due.Set(cancellation{c, id}, c.now+cancellationRetention)
		return
	}
	j.step(evCancel)
}

// release makes the tasks of all steps ready that may start.
func (j *job) release() {
	for _, s := range j.steps {
		if !s.mayStart() {
			continue
		}
		for _, t := range s.tasks {
			t.release()
		}
	}
	j.finishIfDone()
}

// mayStart reports whether the steps that this one follows are done.
func (s *step) mayStart() bool {
	for _, a := range s.spec.After {
		if s.job.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// release makes the task ready unless it is done or has a run.
func (t *task) release() {
	j := t.step.job
	if t.done || t.ready || t.readyApart || len(t.runs) > 0 || j.phase().Final() {
		return
	}
	switch t.suspicion {
	case taskUnstored, taskRejected:
		return
	case taskSuspect, taskIsolated:
		t.readySince, t.unplacedLogged = j.core.now, false
		j.core.suspects.add(t)
	default:
		t.readySince, t.unplacedLogged = j.core.now, false
		j.core.waiting.add(t)
	}
	j.core.planNeeded = true
}

// complete records that a run of the task ended as done. It has no effect on a
// long-running task, which is started again.
func (t *task) complete() {
	if t.done || t.step.spec.LongRunning {
		return
	}
	j := t.step.job
	t.done = true
	t.checkpoint = ""
	j.core.unready(t)
	t.step.unfinished--
	t.stopRuns("done-elsewhere")
	j.markDirty()
	j.step(evBegin)
	if t.step.unfinished == 0 {
		j.release()
	}
}

func (j *job) finishIfDone() {
	for _, s := range j.steps {
		if s.unfinished > 0 {
			return
		}
	}
	j.step(evFinish)
}

// fail records that a run of the task failed, and fails the job when its
// attempts are used up.
func (t *task) fail(number uint64, hostName workload.HostName) {
	if t.failedHosts == nil {
		t.failedHosts = map[workload.HostName]bool{}
	}
	t.failedHosts[hostName] = true
	if t.step.spec.LongRunning || !t.failedRuns.add(number) {
		return
	}
	j := t.step.job
	t.attemptsChanged()
	j.markDirty()
	if j.spec.MaxAttempts > 0 && t.failedRuns.count >= j.spec.MaxAttempts && !t.done {
		j.step(evFail)
	}
}

// task returns a task of the job, or nil if the job has no such task.
func (j *job) task(id workload.TaskID) *task {
	if id.Occurrence != 0 || id.Step < 0 || id.Step >= len(j.steps) {
		return nil
	}
	tasks := j.steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil
	}
	return tasks[id.Index]
}

func (c *Core) task(id workload.TaskID) *task {
	if j, ok := c.jobs[id.Job]; ok {
		return j.task(id)
	}
	return nil
}
