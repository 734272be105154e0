package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/batchjob.scxml have the values of the phases.
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
			"publish": (*job).publish,
			"close":   (*job).finalise,
		},
	}
}

// keepOver is how long the state of a job that is over can be asked for.
const endedJobRetention = 180 * time.Second

// job is one job and its steps.
type job struct {
	core        *Core
	spec        workload.Job
	state       chart.State
	storedPhase workload.Phase // phase of the stored row
	steps       []*step
	admittedAt  time.Duration // when this owner learned of it
	deadline    time.Duration // by which it should be completed
	recovered   bool          // accepted before this owner's epoch
	endedAtMS   int64
	removeAt    time.Duration
}

type step struct {
	job        *job
	number     int
	spec       *workload.Step
	tasks      []*task
	unfinished int // tasks that are not done
}

// task is one task of a step. It is ready when its step may run and it has no
// live run.
type task struct {
	step           *step
	index          int
	done           bool
	failedRuns     int
	lastFailedRun  uint64
	checkpoint     string
	starts         uint64
	runs           []*run
	failedHosts    map[workload.HostName]bool // hosts where it failed
	unplacedLogged bool                       // a decision was logged that it waits
	readySince     time.Duration
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.spec.ID, Step: t.step.number, Index: t.index}
}

func newJob(c *Core, spec workload.Job) *job {
	j := &job{core: c, spec: spec, state: jobChart.Initial(), admittedAt: c.now}
	for i := range j.spec.Steps {
		s := &step{job: j, number: i, spec: &j.spec.Steps[i], unfinished: j.spec.Steps[i].Count}
		for k := range s.spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: k})
		}
		j.steps = append(j.steps, s)
	}
	j.deadline = c.now + j.completionTarget()
	return j
}

// objective is the time in which the job should be completed: its longest
// chain of estimates, stretched, and the latency objective.
func (j *job) completionTarget() time.Duration {
	pathTimes := make([]time.Duration, len(j.steps))
	var longest time.Duration
	for i, s := range j.steps {
		for _, a := range s.spec.After {
			pathTimes[i] = max(pathTimes[i], pathTimes[a])
		}
		pathTimes[i] += s.spec.Estimate
		longest = max(longest, pathTimes[i])
	}
	return time.Duration(max(1, j.spec.TargetSlowdown)*float64(longest)) + j.spec.TargetLatency
}

func (j *job) phase() workload.Phase { return workload.Phase(j.state) }

// shown is the phase that callers may see: a final one only when it is stored.
func (j *job) visiblePhase() msg.JobPhase {
	p := j.phase()
	if p.Final() && p != workload.Cancelled && j.storedPhase != p {
		p = workload.Running
	}
	return msg.JobPhase{ID: j.spec.ID, Queue: j.spec.Queue, Phase: p}
}

func (j *job) publish() { j.core.phases = append(j.core.phases, j.visiblePhase()) }

func (j *job) step(e chart.Event) { jobChart.Step(j, &j.state, e) }

func (j *job) markDirty() { j.core.dirty[j] = struct{}{} }

// close stops what still runs after the job is over.
func (j *job) finalise() {
	j.endedAtMS = j.core.wallMS
	j.removeAt = j.core.now + endedJobRetention
	j.markDirty()
	j.core.addDecision(Decision{Kind: JobEnded, Job: j.spec.ID, Detail: j.phase().String(), Age: j.core.now - j.admittedAt})
	for _, s := range j.steps {
		for _, t := range s.tasks {
			delete(j.core.ready, t)
			t.stopRuns("job-over")
		}
	}
}

func (t *task) stopRuns(reason string) {
	for _, r := range append([]*run(nil), t.runs...) {
		r.stop(reason)
	}
}

// Submit takes a stored job. Jobs that are known are not taken again.
func (c *Core) Submit(spec workload.Job) { c.submit(spec, nil, false) }

// Restore takes a job as a former owner left it.
func (c *Core) Restore(spec workload.Job, p *workload.Progress) { c.submit(spec, p, true) }

func (c *Core) submit(spec workload.Job, p *workload.Progress, recovered bool) {
	if _, known := c.jobs[spec.ID]; known {
		return
	}
	j := newJob(c, spec)
	j.recovered = recovered
	c.jobs[spec.ID] = j
	if p != nil {
		j.restore(p)
	}
	c.addDecision(Decision{Kind: JobAdmitted, Job: spec.ID, Detail: j.phase().String()})
	if _, cancelled := c.cancelled[spec.ID]; cancelled {
		delete(c.cancelled, spec.ID)
		j.step(evCancel)
		return
	}
	j.publish()
	if !j.phase().Final() {
		j.release()
	}
}

// Cancel takes a stored cancellation.
func (c *Core) Cancel(id workload.JobID) {
	j, known := c.jobs[id]
	if !known {
		c.cancelled[id] = c.now
		return
	}
	j.step(evCancel)
}

// release makes the tasks ready whose step may run.
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

func (s *step) mayStart() bool {
	for _, a := range s.spec.After {
		if s.job.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

func (t *task) release() {
	j := t.step.job
	if t.done || len(t.runs) > 0 || j.phase().Final() {
		return
	}
	if _, already := j.core.ready[t]; already {
		return
	}
	j.core.ready[t] = struct{}{}
	j.core.planNeeded = true
	t.readySince = j.core.now
	t.unplacedLogged = false
}

// complete records that a run of the task ended done.
func (t *task) complete() {
	if t.done || t.step.spec.LongRunning {
		return
	}
	j := t.step.job
	t.done = true
	t.checkpoint = ""
	delete(j.core.ready, t)
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

// fail records a failed run of the task.
func (t *task) fail(number uint64, hostName workload.HostName) {
	if number <= t.lastFailedRun {
		return // counted before the last change of ownership
	}
	j := t.step.job
	t.lastFailedRun = number
	if t.failedHosts == nil {
		t.failedHosts = map[workload.HostName]bool{}
	}
	t.failedHosts[hostName] = true
	if t.step.spec.LongRunning {
		return
	}
	t.failedRuns++
	j.markDirty()
	if j.spec.MaxAttempts > 0 && t.failedRuns >= j.spec.MaxAttempts && !t.done {
		j.step(evFail)
	}
}

func (j *job) task(id workload.TaskID) *task {
	if id.Occurrence != 0 || id.Step >= len(j.steps) || id.Index >= len(j.steps[id.Step].tasks) {
		return nil
	}
	return j.steps[id.Step].tasks[id.Index]
}

func (c *Core) task(id workload.TaskID) *task {
	if j, ok := c.jobs[id.Job]; ok {
		return j.task(id)
	}
	return nil
}
