package jobs

import (
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// failingAfter is how many jobs in a row must fail on a host before it
	// gets no more tasks.
	failingThreshold = 2
	// probation is when a failing host gets a task again.
	probation = 3 * time.Second
)

// health is what the ends of runs say of a host.
type health struct {
	failedJobs map[workload.JobID]bool // since the last run that was done
	lastFailed time.Duration
}

func (h *host) recordEnd(e msg.RunEnd) {
	switch e.Reason {
	case workload.EndDone:
		h.health.failedJobs = nil
	case workload.EndFailed:
		if h.health.failedJobs == nil {
			h.health.failedJobs = map[workload.JobID]bool{}
		}
		h.health.failedJobs[e.Run.Task.Job] = true
		h.health.lastFailed = h.core.now
	}
}

func (h *host) suspect() bool { return len(h.health.failedJobs) > 0 }

func (h *host) failing() bool {
	return len(h.health.failedJobs) >= failingThreshold && h.core.now-h.health.lastFailed < probation
}

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
