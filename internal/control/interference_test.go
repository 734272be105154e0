package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// reportServiceUsage sends usage reports of a service as an agent does, one per
// second. The p99 is above its target while percent, the highest processor limit
// of the batch tasks, is above 50.
func (w *world) reportServiceUsage(worker model.WorkerID, seconds int, percent func() int) {
	controller := w.entries["a"].controller
	for s := range seconds {
		usage := msg.ServiceUsage{Service: "permit-desk", Class: "read", Slots: 8, Busy: 0.5, Arrivals: 400, Mean: 10 * time.Millisecond}
		if s%10 == 9 {
			usage.Requests, usage.P99 = 4000, 30*time.Millisecond
			if percent() > 50 {
				usage.P99 = 120 * time.Millisecond
			}
		}
		require.NoError(w, controller.Send(w.ctx, control.FromAgent{Worker: worker,
			Msg: &msg.UsageReport{Worker: worker, Services: []msg.ServiceUsage{usage}}}))
		w.sleep(time.Second)
	}
}

// Guards against tasks that make a service miss its target and are not
// throttled, and against their eviction where a processor limit is enough.
func TestTasksBesideAServiceAreThrottled(t *testing.T) {
	runScenario(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.sleep(10 * time.Second)
		require.NoError(t, w.entries["a"].controller.Send(w.ctx, control.ConfigChanged{Config: control.Configuration{
			Classes: map[model.Class]model.Labels{"read": {"target-p99-ms": "50"}}}}))
		w.submit(time.Hour, "j1", "j2", "j3")
		w.waitForPhase(5*time.Second, "running", "j1", "j2", "j3")
		highest := func() int {
			n := 0
			for _, id := range []model.JobID{"j1", "j2", "j3"} {
				n = max(n, w.hosts.cpuLimitPercent(id))
			}
			return n
		}
		require.Equal(t, 100, highest())
		w.reportServiceUsage("w1", 120, highest)
		require.LessOrEqual(t, highest(), 50)
		for _, id := range []model.JobID{"j1", "j2", "j3"} {
			require.Zero(t, w.table.job(id).Evictions)
		}
	})
}
