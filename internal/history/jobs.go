package history

import (
	"math"
	"sort"
	"strings"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// phaseDone is the phase of a job's row once its result is committed.
const phaseDone model.Phase = "done"

// placedRun is a run of a task with the id of its worker.
type placedRun struct {
	standin.TaskRun
	worker string
}

// end returns the end of the run, or the largest time if it has not ended.
func (r placedRun) end() int64 {
	if r.Ended == 0 {
		return math.MaxInt64
	}
	return r.Ended
}

// job returns the id of the task's job.
func (r placedRun) job() string {
	job, _ := splitTaskID(r.Task)
	return job
}

// splitTaskID splits the id of a task, JOB/ATTEMPT.
func splitTaskID(id string) (job, attempt string) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return id, ""
	}
	return id[:i], id[i+1:]
}

// capacity finds starts of tasks that exceed the worker's capacity.
func capacity(h *History, report reportFunc) {
	for _, w := range h.Workers {
		runs := append([]standin.TaskRun{}, w.Runs...)
		sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started < runs[j].Started })
		for i, run := range runs {
			sum := run.Declared
			for _, other := range runs[:i] {
				if other.Ended == 0 || other.Ended > run.Started {
					sum = sum.Add(other.Declared)
				}
			}
			if !sum.Fits(w.Capacity) {
				report("%s has tasks of %+v in total, above its capacity %+v, when %s starts", w.ID, sum, w.Capacity, run.Task)
			}
		}
	}
}

// runsByJob groups the runs by job, in the order of their starts.
func (h *History) runsByJob() map[string][]placedRun {
	jobs := map[string][]placedRun{}
	for _, w := range h.Workers {
		for _, run := range w.Runs {
			p := placedRun{run, w.ID}
			jobs[p.job()] = append(jobs[p.job()], p)
		}
	}
	for _, runs := range jobs {
		sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started < runs[j].Started })
	}
	return jobs
}

// oneActiveAttempt finds runs of a job that overlap in time, and attempts that ran
// twice.
func oneActiveAttempt(h *History, report reportFunc) {
	for job, runs := range h.runsByJob() {
		attempts := map[string]string{}
		for i, run := range runs {
			if worker, repeated := attempts[run.Task]; repeated {
				report("attempt %s ran on %s and then on %s", run.Task, worker, run.worker)
			}
			attempts[run.Task] = run.worker
			for _, other := range runs[:i] {
				if other.end() > run.Started {
					report("job %s: %s started on %s while %s ran on %s", job, run.Task, run.worker, other.Task, other.worker)
				}
			}
		}
	}
}

// jobRows returns the committed values of each job's row, in the order of the
// commits.
func (h *History) jobRows() map[string][]model.JobRow {
	jobs := map[string][]model.JobRow{}
	for _, c := range h.Commits {
		for _, p := range c.Puts {
			if !strings.HasPrefix(p.Key, "job/") {
				continue
			}
			if row, err := rows.Decode[model.JobRow](p.Value); err == nil {
				jobs[string(row.Spec.ID)] = append(jobs[string(row.Spec.ID)], row)
			}
		}
	}
	return jobs
}

// oneResult finds results that changed after their commit, results that no run
// wrote, accepted jobs without a row, and in a settled history accepted jobs that
// are not done.
func oneResult(h *History, report reportFunc) {
	rowsByJob := h.jobRows()
	finished := map[string]bool{}
	for _, w := range h.Workers {
		for _, run := range w.Runs {
			finished["result/"+run.Task] = finished["result/"+run.Task] || run.State == model.TaskDone
		}
	}
	for job, jobRows := range rowsByJob {
		result := ""
		for _, row := range jobRows {
			switch {
			case result != "" && (row.Phase != phaseDone || row.Result != result):
				report("job %s had result %s and then phase %s with result %q", job, result, row.Phase, row.Result)
			case row.Phase == phaseDone && !finished[row.Result]:
				report("job %s is done with result %q, which no run wrote", job, row.Result)
			case row.Phase == phaseDone:
				result = row.Result
			}
		}
	}
	for _, job := range h.Accepted {
		jobRows := rowsByJob[job]
		if len(jobRows) == 0 {
			report("job %s was accepted but has no row", job)
		} else if last := jobRows[len(jobRows)-1]; h.Settled && last.Phase != phaseDone {
			report("job %s was accepted but ended as %s: %s", job, last.Phase, last.Reason)
		}
	}
}

// committedCheckpoint finds runs of attempts that no row names, and runs that did
// not start at the checkpoint that the row named when it committed the attempt.
// A run at step 0 that is not done is allowed: it may not have loaded its
// checkpoint.
func committedCheckpoint(h *History, report reportFunc) {
	committed := map[string]string{} // task id to checkpoint name
	for job, list := range h.jobRows() {
		last := uint32(0)
		for _, row := range list {
			if row.Attempt > last {
				committed[taskID(job, row.Attempt)], last = row.Checkpoint, row.Attempt
			}
		}
	}
	for _, runs := range h.runsByJob() {
		for _, run := range runs {
			name, named := committed[run.Task]
			step, stored := h.Steps[name]
			switch {
			case !named:
				report("%s ran on %s, but no row names this attempt", run.Task, run.worker)
			case name != "" && !stored:
				report("%s resumes from %s, which is not stored", run.Task, name)
			case run.FromStep != step && (run.FromStep > 0 || run.State == model.TaskDone):
				report("%s started at step %d, its committed checkpoint %q is of step %d", run.Task, run.FromStep, name, step)
			}
		}
	}
}
