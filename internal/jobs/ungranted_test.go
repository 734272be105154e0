package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against tasks that are never started again although the leases of their runs
// have expired: the host stays linked and ready, but its agent reports nothing to this
// owner, since it has another one or obeys none.
func TestRunsOfALinkedHostEndWhenItsLeasesWereNotGranted(t *testing.T) {
	h := newHarness(t, 1)
	a, b := readyHost("a", 2000), readyHost("b", 2000)
	h.link(a)
	spec := newSpec("j", newStep(1, 1000))
	spec.Steps[0].LongRunning = true
	h.core.Submit(spec)
	h.process()
	require.Len(t, h.started, 1)
	h.link(b)
	h.noReports["a"] = true
	for range 40 { // the agent of a is silent, that of b reports
		h.core.RunsProgress("b", &msg.RunsProgress{Epoch: 1, Instance: "i-b", StartedAtMS: 1, ClockMS: h.now.Milliseconds()})
		h.core.NotReplacedUntil(h.now)
		h.advance(500 * time.Millisecond)
	}
	require.EqualValues(t, "b", h.started[runID("j", 0, 0, 2)])
}
