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

// Guards against an urgent job that waits behind a full cell, and against the
// loss of what is evicted for it.
func TestUrgentJobPreempts(t *testing.T) {
	run(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(time.Minute, names("j", 4)...)
		w.reaches(5*time.Second, "running", names("j", 4)...)
		w.pass(10 * time.Second)
		w.submit(10*time.Second, "u")
		w.table.edit("u", func(r *model.JobRow) { r.Spec.Urgent = true })
		w.reaches(1400*time.Millisecond, "running", "u")
		require.Equal(t, 4, w.running())
		w.reaches(2*time.Minute, "done", append(names("j", 4), "u")...)
		require.Equal(t, 6, w.started())
	})
}

// Guards against a worker that fails every task and takes all the work, and
// against jobs that suffer from it.
func TestBadWorkerIsQuarantined(t *testing.T) {
	run(t, 4, []model.EntryID{"a"}, func(w *world) {
		w.submit(2*time.Second, names("warm", 16)...)
		w.reaches(20*time.Second, "done", names("warm", 16)...)
		w.agents["w2"].host.fails = true
		w.submit(2*time.Second, names("j", 60)...)
		w.reaches(3*time.Minute, "done", names("j", 60)...)
		require.LessOrEqual(t, w.started()-76, 5, "wasted attempts")
		require.Positive(t, w.started()-76, "the bad worker was used")
		require.Positive(t, w.logged(w.entries["a"], event.WorkerHealth))
	})
}

// Guards against tasks that take the room of a host's backend server.
func TestBackendServerKeepsItsRoom(t *testing.T) {
	run(t, 1, []model.EntryID{"a"}, func(w *world) {
		for _, m := range []control.Message{
			control.ConfigChanged{Config: control.Configuration{Reserved: map[model.Service]model.Resources{"s": {CPU: 2000}}}},
			control.FromAgent{Worker: "w1", Msg: &msg.BackendState{Service: "s", State: "ready"}},
		} {
			require.NoError(t, w.entries["a"].ctl.Send(w.ctx, m))
		}
		w.submit(time.Minute, names("j", 4)...)
		w.pass(20 * time.Second)
		require.Equal(t, 2, w.running())
	})
}
