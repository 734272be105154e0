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
type placedSpan struct {
	standin.TaskRun
	worker string
}

func (s placedSpan) end() int64 {
	if s.Ended == 0 {
		return math.MaxInt64
	}
	return s.Ended
}

// job and attempt are the parts of a task's id.
func (s placedSpan) job() string {
	job, _ := splitTask(s.Task)
	return job
}

func splitTask(id string) (job, attempt string) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return id, ""
	}
	return id[:i], id[i+1:]
}

// capacity finds moments at which a worker runs more than it has.
func capacity(h *History, found report) {
	for _, w := range h.Workers {
		spans := append([]standin.TaskRun{}, w.Runs...)
		sort.SliceStable(spans, func(i, j int) bool { return spans[i].Started < spans[j].Started })
		for i, s := range spans {
			sum := s.Declared
			for _, o := range spans[:i] {
				if o.Ended == 0 || o.Ended > s.Started {
					sum = sum.Add(o.Declared)
				}
			}
			if !sum.Fits(w.Capacity) {
				found("%s runs %+v of %+v when %s starts", w.ID, sum, w.Capacity, s.Task)
			}
		}
	}
}

// byJob groups the runs by job, in the order of their starts.
func (h *History) byJob() map[string][]placedSpan {
	jobs := map[string][]placedSpan{}
	for _, w := range h.Workers {
		for _, s := range w.Runs {
			p := placedSpan{s, w.ID}
			jobs[p.job()] = append(jobs[p.job()], p)
		}
	}
	for _, spans := range jobs {
		sort.SliceStable(spans, func(i, j int) bool { return spans[i].Started < spans[j].Started })
	}
	return jobs
}

// oneLiveAttempt finds two runs of a job at the same time, and an attempt that
// was run twice.
func oneLiveAttempt(h *History, found report) {
	for job, spans := range h.byJob() {
		attempts := map[string]string{}
		for i, s := range spans {
			if worker, again := attempts[s.Task]; again {
				found("attempt %s ran on %s and again on %s", s.Task, worker, s.worker)
			}
			attempts[s.Task] = s.worker
			for _, o := range spans[:i] {
				if o.end() > s.Started {
					found("job %s: %s started on %s while %s ran on %s", job, s.Task, s.worker, o.Task, o.worker)
				}
			}
		}
	}
}

// jobVersions returns the committed values of each job's row, in order.
func (h *History) jobVersions() map[string][]model.JobRow {
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
func effectOnce(h *History, found report) {
	versions := h.jobVersions()
	finished := map[string]bool{}
	for _, w := range h.Workers {
		for _, s := range w.Runs {
			finished["result/"+s.Task] = finished["result/"+s.Task] || s.State == model.TaskDone
		}
	}
	for job, list := range versions {
		result := ""
		for _, row := range list {
			switch {
			case result != "" && (row.Phase != phaseDone || row.Result != result):
				found("job %s had result %s and then phase %s with result %q", job, result, row.Phase, row.Result)
			case row.Phase == phaseDone && !finished[row.Result]:
				found("job %s is done with result %q, which no run wrote", job, row.Result)
			case row.Phase == phaseDone:
				result = row.Result
			}
		}
	}
	for _, job := range h.Accepted {
		list := versions[job]
		if len(list) == 0 {
			found("job %s was accepted but has no row", job)
		} else if last := list[len(list)-1]; h.Settled && last.Phase != phaseDone {
			found("job %s was accepted but ended as %s: %s", job, last.Phase, last.Reason)
		}
	}
}

// committedCheckpoint finds runs that started elsewhere than at the
// checkpoint that the job's row named when it committed the attempt.
func committedCheckpoint(h *History, found report) {
	committed := map[string]string{} // attempt to checkpoint
	for job, list := range h.jobVersions() {
		last := uint32(0)
		for _, row := range list {
			if row.Attempt > last {
				committed[taskID(job, row.Attempt)], last = row.Checkpoint, row.Attempt
			}
		}
	}
	for _, spans := range h.byJob() {
		for _, s := range spans {
			name, placed := committed[s.Task]
			step, stored := h.Steps[name]
			switch {
			case !placed:
				found("%s ran on %s, but no row names this attempt", s.Task, s.worker)
			case name != "" && !stored:
				found("%s resumes from %s, which is not stored", s.Task, name)
			case s.FromStep != step && (s.FromStep > 0 || s.State == model.TaskDone):
				found("%s started at step %d, its committed checkpoint %q is of step %d", s.Task, s.FromStep, name, step)
			}
		}
	}
}
