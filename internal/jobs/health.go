package jobs

import (
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// failingThreshold is the number of jobs that must fail on a host, with no
	// completed run in between, before it gets no more tasks.
	failingThreshold = 2
	// probation is the time during which a failing host gets no tasks. Failures in
	// that time are of runs that started before, and do not extend it.
	probation = 3 * time.Second
	// refusalPause is the time during which a host gets no tasks after its agent
	// has refused starts repeatedly. The agent's next report or inventory shows
	// what the owner does not know of the host.
	refusalPause = 100 * time.Millisecond
)

// health counts the failures on a host.
type health struct {
	failedJobs   map[workload.JobID]bool // jobs that failed since the last completed run
	probationEnd time.Duration           // when a failing host gets tasks again; 0: it is not failing
}

// recordEnd counts a failed run. A completed run resets the count.
func (h *host) recordEnd(e msg.RunEnd) {
	switch e.Reason {
	case workload.EndDone:
		h.health = health{}
		h.schedule()
		h.improve()
	case workload.EndFailed:
		if h.health.failedJobs == nil {
			h.health.failedJobs = map[workload.JobID]bool{}
		}
		h.health.failedJobs[e.Run.Task.Job] = true
		if len(h.health.failedJobs) >= failingThreshold && !h.failing() {
			h.health.probationEnd = h.core.now + probation
		}
		h.schedule()
	}
}

// endProbation ends the time in which a failing host gets no tasks if it is over. Overdue
// tasks go first then: more urgent ones that fail at once would begin it anew.
func (h *host) endProbation() {
	if h.health.probationEnd != 0 && h.core.now >= h.health.probationEnd {
		h.health.probationEnd = 0
		h.core.overdueFirst = true
		h.improve()
	}
}

// recordRefusal counts a refused start. From the second in succession on, the
// host gets no tasks for refusalPause: what it refused fits by what the owner
// knows, so without a pause the start would be ordered again at once.
func (h *host) recordRefusal() {
	h.refusals++
	if h.refusals > 1 {
		h.pausedUntil = h.core.now + refusalPause
		h.schedule()
	}
}

// endPause ends the pause after repeated refusals if it is over.
func (h *host) endPause() {
	if h.pausedUntil != 0 && h.core.now >= h.pausedUntil {
		h.pausedUntil = 0
		h.improve()
	}
}

// suspect reports whether the host has failed a run since its last completed
// one. hostselect lowers the score of such a host.
func (h *host) suspect() bool { return len(h.health.failedJobs) > 0 }

// failing reports whether the host gets no tasks at present.
func (h *host) failing() bool {
	return h.core.now < h.health.probationEnd
}

// sortedRuns returns the host's runs ordered by identifier.
func (h *host) sortedRuns() []*run {
	list := make([]*run, 0, len(h.runs))
	for _, r := range h.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool { return runIDLess(list[i].id, list[k].id) })
	return list
}

func runIDLess(a, b workload.RunID) bool {
	switch {
	case a.Task.Job != b.Task.Job:
		return a.Task.Job < b.Task.Job
	case a.Task.Step != b.Task.Step:
		return a.Task.Step < b.Task.Step
	case a.Task.Index != b.Task.Index:
		return a.Task.Index < b.Task.Index
	}
	return a.Number < b.Number
}
