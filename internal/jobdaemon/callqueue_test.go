package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// slowStops is a backend server that answers a stop when the run has ended.
type slowStops struct{ *memoryBackend }

const slowStopTime = 400 * time.Millisecond

func (s slowStops) Stop(ctx context.Context, t runner.Target, id workload.RunID) (int64, error) {
	if !actor.Sleep(ctx, slowStopTime) {
		return 0, runner.ErrOutcomeUnknown
	}
	return s.memoryBackend.Stop(ctx, t, id)
}

// Guards against a start that waits behind the stops of other runs: it is given up
// after maxStartWait, but its owner learned of that only when the call came first.
func TestStartBehindSlowStopsGoesToAnotherHostInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		slow := &memoryBackend{instance: "i-slow", startedAt: time.Now(), runs: map[workload.RunID]bool{}, events: make(eventRecorder, 10_000)}
		slow.agent = startAgentActors(s.group, AgentConfig{
			Core: hostagent.Config{Name: "slow", OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
			Boot: 1, Seeds: []string{"entry-0"}, Store: s.store, Runner: slowStops{slow}, Log: &log.Logger{Handler: slow.events, Level: log.DebugLevel},
		}, s.net.Dialer("slow"))
		actor.Go(s.group, "announcer", func(ctx context.Context) error { return slow.announce(ctx, slow.agent) })
		s.advance(3 * time.Second)

		h := &jobHandler{controller: s.entries["entry-1"].controller, log: s.entries["entry-1"].controller.log, metrics: s.entries["entry-1"].controller.metrics}
		queue := workload.Queue{Name: "q", Service: "desk", MaxAttempts: 3}
		submit := func(id workload.JobID, tasks int, milliCPU int64) {
			step := workload.Step{Count: tasks, LongRunning: true, Need: workload.Resources{MilliCPU: milliCPU, MemoryMB: 1}, Estimate: time.Second}
			require.NoError(t, h.Submit(t.Context(), queue, workload.Job{ID: id, Queue: "q", Service: "desk", MaxAttempts: 3, Steps: []workload.Step{step}}))
		}
		submit("00000000000000a1", 60, 50)
		s.advance(3 * time.Second)
		require.Len(t, slow.running(), 60)
		require.NoError(t, h.Cancel(t.Context(), queue, "00000000000000a1"))
		s.advance(100 * time.Millisecond)
		submit("00000000000000a2", 1, 500)
		s.advance(100 * time.Millisecond)

		other := s.startBackends(1)[0] // takes 3 s
		runsLasting := func(b *memoryBackend) bool {
			for _, task := range b.running() {
				if task.Job == "00000000000000a2" {
					return true
				}
			}
			return false
		}
		s.advance(3 * time.Second)
		require.True(t, runsLasting(other) || runsLasting(slow), "%d runs are still to be stopped", len(slow.running()))
	})
}
