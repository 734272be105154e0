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

// besideServing brings a core to where a filler of the image "batch" runs on
// host a beside a serving task that it harms. Host b comes up later, with a
// serving task that it does not harm.
func newInterferenceHarness(t *testing.T, checkpointing bool) (*harness, workload.RunID) {
	w := newHarness(t, 1)
	w.core.contention.SetCoefficient(contention.Pair{Serving: "desk", BestEffort: "batch"}, 2)
	w.core.contention.SetCoefficient(contention.Pair{Serving: "watch", BestEffort: "batch"}, 0.05)
	w.link(readyHost("a", 8000))
	w.core.Submit(newSpec("s1", servingStep("desk")))
	w.process()
	w.core.Submit(newSpec("f", bestEffortStep("batch", checkpointing)))
	w.advance(2 * time.Second) // no host bears the filler; it starts after its patience
	filler := runID("f", 0, 0, 1)
	require.EqualValues(t, "a", w.started[filler])
	w.core.RunsChanged("a", &msg.RunsChanged{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Started: []workload.RunID{filler, runID("s1", 0, 0, 1)}})
	return w, filler
}

func (w *harness) linkTolerantHost() {
	w.link(readyHost("b", 8000))
	spec := newSpec("s2", servingStep("watch"))
	spec.Steps[0].Label = "b"
	w.core.hosts["b"].info.Labels = []string{"b"}
	w.core.Submit(spec)
	w.process()
	require.EqualValues(w.t, "b", w.started[runID("s2", 0, 0, 1)])
}

// report tells that the filler works at a share of its speed.
func (w *harness) reportThrottle(filler workload.RunID, percent int) {
	w.core.RunsProgress("a", &msg.RunsProgress{
		Epoch: 1, Instance: "i-a", StartedAtMS: 1, ClockMS: w.now.Milliseconds(),
		Runs: []msg.RunStatus{{Run: filler, CPULimitPercent: percent, Checkpoint: "c1"}, {Run: runID("s1", 0, 0, 1), Usage: 60}},
	})
	w.advance(500 * time.Millisecond)
}

// A crest on every host: fillers are held back where they harm while other
// hosts' serving tasks would bear them. Guards against a filler that waits
// there until its job is late, and against one that loses its work by a move.
func TestThrottledBestEffortRunsMoveToATolerantHost(t *testing.T) {
	w, filler := newInterferenceHarness(t, true)
	w.reportThrottle(filler, 0)
	w.reportThrottle(filler, 0)
	w.reportThrottle(filler, 0)
	require.False(t, w.stopped[filler], "no other host")
	w.linkTolerantHost()
	w.reportThrottle(filler, 0)
	require.True(t, w.stopped[filler])
	w.reportEnd(filler, workload.EndStopped, "c2")
	moved := runID("f", 0, 0, 2)
	require.EqualValues(t, "b", w.started[moved])
	starts := w.sent["b"][len(w.sent["b"])-1].(*msg.StartRuns)
	require.Equal(t, "c2", starts.Starts[0].Checkpoint)
}

// Guards against moves for a short crest, of tasks that would begin again from
// nothing, and of tasks that serve.
func TestUnthrottledRunsAndRunsWithoutCheckpointsStay(t *testing.T) {
	w, filler := newInterferenceHarness(t, true)
	w.linkTolerantHost()
	for range 4 {
		w.reportThrottle(filler, 0)
		w.reportThrottle(filler, 100)
	}
	require.Empty(t, w.stopped)

	w, filler = newInterferenceHarness(t, false)
	w.linkTolerantHost()
	for range 4 {
		w.reportThrottle(filler, 0)
	}
	require.Empty(t, w.stopped)
}

// Guards against fillers that are kept from a host because of others there
// that are held anyway: the agent holds the most harmful first.
func TestThrottledRunsUseNoPressureBudget(t *testing.T) {
	w := newHarness(t, 1)
	w.core.contention.SetCoefficient(contention.Pair{Serving: "desk", BestEffort: "loud"}, 2)
	w.core.contention.SetCoefficient(contention.Pair{Serving: "desk", BestEffort: "calm"}, 0.05)
	w.link(readyHost("a", 8000))
	w.core.Submit(newSpec("s", servingStep("desk")))
	disruptive := bestEffortStep("loud", false)
	disruptive.Count = 6
	w.core.Submit(newSpec("l", disruptive))
	w.advance(2 * time.Second)
	require.Len(t, w.started, 7)
	w.core.Submit(newSpec("c", bestEffortStep("calm", false)))
	w.process()
	require.Contains(t, w.started, runID("c", 0, 0, 1), "at once")
}

// Guards against a new owner that has to learn again, at the cost of the users
// of serving tasks, what fillers do to them, and against a row that is
// rewritten with each batch.
func TestCoefficientsSurviveAChangeOfOwner(t *testing.T) {
	pair := contention.Pair{Serving: "desk", BestEffort: "batch"}
	w, _ := newInterferenceHarness(t, true)
	w.core.contention.SetCoefficient(pair, 2)
	w.advance(interferenceInterval)
	stored := w.core.NextBatch().Interference
	w.core.BatchCommitted()
	require.Contains(t, stored, msg.Interference{ServingImage: "desk", BestEffortImage: "batch", Coefficient: 2})
	require.Nil(t, w.core.NextBatch().Interference, "they are young")
	w.core.BatchCommitted()

	next := New(2, 0)
	next.RestoreInterference(stored)
	require.Equal(t, 2.0, next.contention.Coefficient(pair))
}
