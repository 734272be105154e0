package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

func servingStep(image string) workload.Step {
	s := newStep(1, 1000)
	s.LongRunning, s.TargetLatency, s.Image = true, 100*time.Millisecond, image
	return s
}

func bestEffortStep(image string, checkpointing bool) workload.Step {
	s := newStep(1, 1000)
	s.BestEffort, s.Image, s.Checkpointing = true, image, checkpointing
	return s
}

// newInterferenceHarness returns a harness in which a best-effort run of image
// "batch" runs on host a beside a serving task that it slows down, and the
// identifier of that run. linkTolerantHost adds host b.
func newInterferenceHarness(t *testing.T, checkpointing bool) (*harness, workload.RunID) {
	h := newHarness(t, 1)
	h.core.contention.SetCoefficient(contention.Pair{Serving: "desk", BestEffort: "batch"}, 2)
	h.core.contention.SetCoefficient(contention.Pair{Serving: "watch", BestEffort: "batch"}, 0.05)
	h.link(readyHost("a", 8000))
	h.core.Submit(newSpec("s1", servingStep("desk")))
	h.process()
	h.core.Submit(newSpec("f", bestEffortStep("batch", checkpointing)))
	h.advance(2 * time.Second) // every host is too slow for the task, so it starts after hostselect.MaxWait
	id := runID("f", 0, 0, 1)
	require.EqualValues(t, "a", h.started[id])
	h.core.RunsChanged("a", &msg.RunsChanged{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Started: []workload.RunID{id, runID("s1", 0, 0, 1)}})
	return h, id
}

// linkTolerantHost links host b, on which a serving task runs that best-effort
// runs of image "batch" hardly slow down.
func (h *harness) linkTolerantHost() {
	h.link(readyHost("b", 8000))
	spec := newSpec("s2", servingStep("watch"))
	spec.Steps[0].Label = "b"
	h.core.hosts["b"].info.Labels = []string{"b"}
	h.core.Submit(spec)
	h.process()
	require.EqualValues(h.t, "b", h.started[runID("s2", 0, 0, 1)])
}

// reportThrottle reports the CPU limit of the best-effort run, and advances the
// time by 500 ms.
func (h *harness) reportThrottle(id workload.RunID, percent int) {
	h.core.RunsProgress("a", &msg.RunsProgress{
		Epoch: 1, Instance: "i-a", StartedAtMS: 1, ClockMS: h.now.Milliseconds(),
		Runs: []msg.RunStatus{{Run: id, CPULimitPercent: percent, Checkpoint: "c1"}, {Run: runID("s1", 0, 0, 1), Usage: 60}},
	})
	h.advance(500 * time.Millisecond)
}

// Guards against a best-effort run that stays throttled, until its job is late,
// although another host's serving tasks would tolerate it, and against a move
// that loses the run's work.
func TestThrottledBestEffortRunsMoveToATolerantHost(t *testing.T) {
	h, id := newInterferenceHarness(t, true)
	h.reportThrottle(id, 0)
	h.reportThrottle(id, 0)
	h.reportThrottle(id, 0)
	require.False(t, h.stopped[id], "no other host")
	h.linkTolerantHost()
	h.reportThrottle(id, 0)
	require.True(t, h.stopped[id])
	h.reportEnd(id, workload.EndStopped, "c2")
	moved := runID("f", 0, 0, 2)
	require.EqualValues(t, "b", h.started[moved])
	starts := h.sent["b"][len(h.sent["b"])-1].(*msg.StartRuns)
	require.Equal(t, "c2", starts.Starts[0].Checkpoint)
}

// Guards against moves because of a short load peak, and against moves of runs
// without checkpoints, which would lose their work.
func TestUnthrottledRunsAndRunsWithoutCheckpointsStay(t *testing.T) {
	h, id := newInterferenceHarness(t, true)
	h.linkTolerantHost()
	for range 4 {
		h.reportThrottle(id, 0)
		h.reportThrottle(id, 100)
	}
	require.Empty(t, h.stopped)

	h, id = newInterferenceHarness(t, false)
	h.linkTolerantHost()
	for range 4 {
		h.reportThrottle(id, 0)
	}
	require.Empty(t, h.stopped)
}

// Guards against a best-effort task that is kept from a host because of runs
// there that the agent throttles first, since their coefficient is higher.
func TestThrottledRunsUseNoPressureBudget(t *testing.T) {
	h := newHarness(t, 1)
	h.core.contention.SetCoefficient(contention.Pair{Serving: "desk", BestEffort: "loud"}, 2)
	h.core.contention.SetCoefficient(contention.Pair{Serving: "desk", BestEffort: "calm"}, 0.05)
	h.link(readyHost("a", 8000))
	h.core.Submit(newSpec("s", servingStep("desk")))
	disruptive := bestEffortStep("loud", false)
	disruptive.Count = 6
	h.core.Submit(newSpec("l", disruptive))
	h.advance(2 * time.Second)
	require.Len(t, h.started, 7)
	h.core.Submit(newSpec("c", bestEffortStep("calm", false)))
	h.process()
	require.Contains(t, h.started, runID("c", 0, 0, 1), "at once")
}

// Guards against a new owner that has to estimate the coefficients again while
// serving tasks miss their targets, and against a batch that writes them although
// they were stored shortly before.
func TestCoefficientsSurviveAChangeOfOwnership(t *testing.T) {
	pair := contention.Pair{Serving: "desk", BestEffort: "batch"}
	h, _ := newInterferenceHarness(t, true)
	h.core.contention.SetCoefficient(pair, 2)
	h.advance(interferenceInterval)
	stored := h.core.NextBatch().Interference
	h.core.BatchCommitted()
	require.Contains(t, stored, msg.Interference{ServingImage: "desk", BestEffortImage: "batch", Coefficient: 2})
	require.Nil(t, h.core.NextBatch().Interference, "stored less than interferenceInterval ago")
	h.core.BatchCommitted()

	next := New(2, 0)
	next.RestoreInterference(stored)
	require.Equal(t, 2.0, next.contention.Coefficient(pair))
}
