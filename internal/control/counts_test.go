package control_test

import (
	"strings"

	"github.com/bambooscale/bambooscale/internal/model"
)

// runningTasks counts the tasks that run on the workers.
func (w *world) runningTasks() (n int) {
	w.hosts.mu.Lock()
	defer w.hosts.mu.Unlock()
	for _, a := range w.agents {
		for _, t := range a.host.tasks {
			t.update()
			if t.state == model.TaskRunning {
				n++
			}
		}
	}
	return n
}

// commitCount counts the transactions of the controllers except heartbeats.
func (w *world) commitCount() (n int) {
	w.table.withLock(func() {
		for writer, count := range w.table.commits {
			if !strings.Contains(writer, "-beat-") {
				n += count
			}
		}
	})
	return n
}

// startedTasks counts the tasks that were started on the workers.
func (w *world) startedTasks() int {
	w.hosts.mu.Lock()
	defer w.hosts.mu.Unlock()
	return w.hosts.started
}

// completedRuns counts the completed runs of a job.
func (w *world) completedRuns(id model.JobID) int {
	w.hosts.mu.Lock()
	defer w.hosts.mu.Unlock()
	return w.hosts.completed[id]
}
