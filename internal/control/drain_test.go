package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
)

// Guards against a worker that cannot be drained: the label drain must move its
// tasks to other workers, where they resume from their checkpoints, and must keep
// new tasks away until it is removed.
func TestDrainLabelMovesTasks(t *testing.T) {
	runScenario(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(10*time.Minute, "j1", "j2")
		w.waitForPhase(10*time.Second, "running", "j1", "j2")
		from := w.table.job("j1").Worker
		label := func(value string) {
			require.NoError(w, w.entries["a"].controller.Send(w.ctx, control.ConfigChanged{Config: control.Configuration{
				Workers: map[model.WorkerID]model.Labels{from: {"drain": value}}}}))
		}
		label("true")
		w.waitUntil(2*time.Minute, "no task on the drained worker", func() bool {
			a, b := w.table.job("j1"), w.table.job("j2")
			return a.Phase == "running" && b.Phase == "running" && a.Worker != from && b.Worker != from
		})
		require.NotEmpty(t, w.table.job("j1").Checkpoint)
		w.submit(10*time.Minute, "j3")
		w.waitForPhase(10*time.Second, "running", "j3")
		require.NotEqual(t, from, w.table.job("j3").Worker)
		label("false")
		w.waitUntil(time.Minute, "the worker is ready again", func() bool {
			for _, s := range w.status()["a"].Workers {
				if s.Worker == from {
					return s.State == "ready"
				}
			}
			return false
		})
	})
}
