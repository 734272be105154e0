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

// placedSpan is a run of a task and the worker on which it was.
type placedRun struct {
	standin.TaskRun
	worker string
}

func (s placedRun) end() int64 {
	if s.Ended == 0 {
		return math.MaxInt64
	}
	return s.Ended
}

// job and attempt are the parts of a task's id.
func (s placedRun) job() string {
	job, _ := splitTaskID(s.Task)
	return job
}

func splitTaskID(id string) (job, attempt string) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return id, ""
	}
	return id[:i], id[i+1:]
}

// capacity finds moments at which a worker runs more than it has.
func capacity(h *History, report reportFunc) {
	for _, w := range h.Workers {
		runs := append([]standin.TaskRun{}, w.Runs...)
		sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started < runs[j].Started })
		for i, s := range runs {
			sum := s.Declared
			for _, o := range runs[:i] {
				if o.Ended == 0 || o.Ended > s.Started {
					sum = sum.Add(o.Declared)
				}
			}
			if !sum.Fits(w.Capacity) {
				report("%s runs %+v of %+v when %s starts", w.ID, sum, w.Capacity, s.Task)
			}
		}
	}
}

// byJob groups the runs by job, in the order of their starts.
func (h *History) runsByJob() map[string][]placedRun {
	jobs := map[string][]placedRun{}
	for _, w := range h.Workers {
		for _, s := range w.Runs {
			p := placedRun{s, w.ID}
			jobs[p.job()] = append(jobs[p.job()], p)
		}
	}
	for _, runs := range jobs {
		sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started < runs[j].Started })
	}
	return jobs
}

// oneLiveAttempt finds two runs of a job at the same time, and an attempt that
// was run twice.
func oneLiveAttempt(h *History, report reportFunc) {
	for job, runs := range h.runsByJob() {
		attempts := map[string]string{}
		for i, s := range runs {
			if worker, repeated := attempts[s.Task]; repeated {
				report("attempt %s ran on %s and again on %s", s.Task, worker, s.worker)
			}
			attempts[s.Task] = s.worker
			for _, o := range runs[:i] {
				if o.end() > s.Started {
					report("job %s: %s started on %s while %s ran on %s", job, s.Task, s.worker, o.Task, o.worker)
				}
			}
		}
	}
}

// jobVersions returns the committed values of each job's row, in order.
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

// effectOnce finds results that changed, that no finished run wrote, and, in
// a settled history, accepted jobs without a result.
func effectOnce(h *History, report reportFunc) {
	rowsByJob := h.jobRows()
	finished := map[string]bool{}
	for _, w := range h.Workers {
		for _, s := range w.Runs {
			finished["result/"+s.Task] = finished["result/"+s.Task] || s.State == model.TaskDone
		}
	}
	for job, list := range rowsByJob {
		result := ""
		for _, row := range list {
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
		list := rowsByJob[job]
		if len(list) == 0 {
			report("job %s was accepted but has no row", job)
		} else if last := list[len(list)-1]; h.Settled && last.Phase != phaseDone {
			report("job %s was accepted but ended as %s: %s", job, last.Phase, last.Reason)
		}
	}
}

// committedCheckpoint finds runs that started elsewhere than at the
// checkpoint that the job's row named when it committed the attempt.
func committedCheckpoint(h *History, report reportFunc) {
	committed := map[string]string{} // attempt to checkpoint
	for job, list := range h.jobRows() {
		last := uint32(0)
		for _, row := range list {
			if row.Attempt > last {
				committed[taskID(job, row.Attempt)], last = row.Checkpoint, row.Attempt
			}
		}
	}
	for _, runs := range h.runsByJob() {
		for _, s := range runs {
			name, named := committed[s.Task]
			step, stored := h.Steps[name]
			switch {
			case !named:
				report("%s ran on %s, but no row names this attempt", s.Task, s.worker)
			case name != "" && !stored:
				report("%s resumes from %s, which is not stored", s.Task, name)
			case s.FromStep != step && (s.FromStep > 0 || s.State == model.TaskDone):
				report("%s started at step %d, its committed checkpoint %q is of step %d", s.Task, s.FromStep, name, step)
			}
		}
	}
}
