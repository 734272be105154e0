package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against an urgent job that waits because the cell is full, and against
// preempted jobs that do not run again.
func TestUrgentJobPreempts(t *testing.T) {
	runScenario(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(time.Minute, jobIDs("j", 4)...)
		w.waitForPhase(5*time.Second, "running", jobIDs("j", 4)...)
		w.sleep(10 * time.Second)
		w.submit(10*time.Second, "u")
		w.table.edit("u", func(r *model.JobRow) { r.Spec.Urgent = true })
		w.waitForPhase(1400*time.Millisecond, "running", "u")
		require.Equal(t, 4, w.runningTasks())
		w.waitForPhase(2*time.Minute, "done", append(jobIDs("j", 4), "u")...)
		require.Equal(t, 6, w.startedTasks())
	})
}

// Guards against a worker that fails every task at once and so attracts most of
// the jobs, which then fail.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	runScenario(t, 4, []model.EntryID{"a"}, func(w *world) {
		w.submit(2*time.Second, jobIDs("warm", 16)...)
		w.waitForPhase(20*time.Second, "done", jobIDs("warm", 16)...)
		w.agents["w2"].host.failTasks = true
		w.submit(2*time.Second, jobIDs("j", 60)...)
		w.waitForPhase(3*time.Minute, "done", jobIDs("j", 60)...)
		require.LessOrEqual(t, w.startedTasks()-76, 5, "wasted attempts")
		require.Positive(t, w.startedTasks()-76, "attempts on the failing worker")
		require.Positive(t, w.eventCount(w.entries["a"], event.WorkerHealth))
	})
}

// Guards against tasks that use the capacity reserved for the backend server of
// their host.
func TestCapacityReservedForBackendServer(t *testing.T) {
	runScenario(t, 1, []model.EntryID{"a"}, func(w *world) {
		for _, m := range []control.Message{
			control.ConfigChanged{Config: control.Configuration{Reserved: map[model.Service]model.Resources{"s": {CPU: 2000}}}},
			control.FromAgent{Worker: "w1", Msg: &msg.BackendState{Service: "s", State: "ready"}},
		} {
			require.NoError(t, w.entries["a"].controller.Send(w.ctx, m))
		}
		w.submit(time.Minute, jobIDs("j", 4)...)
		w.sleep(20 * time.Second)
		require.Equal(t, 2, w.runningTasks())
	})
}
