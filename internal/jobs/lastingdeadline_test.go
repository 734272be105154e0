package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a long-running task that does not start while short tasks of the same
// priority go on arriving: its job counted as due after the estimate of a task that never
// completes, so each later job with a shorter estimate came first.
func TestLongRunningTaskStartsBeforeShortTasksOfLaterJobs(t *testing.T) {
	h := newHarness(t, 1)
	lasting := newLongRunningJob("lasting")
	lasting.Steps[0].Estimate = time.Minute
	h.core.Submit(lasting)
	h.process()
	h.advance(3 * time.Second)
	h.core.Submit(newSpec("short", newStep(1, 1000)))
	h.link(readyHost("a", 1000))
	require.Equal(t, map[workload.RunID]workload.HostName{runID("lasting", 0, 0, 1): "a"}, h.started)
}
