package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against tasks that wait for ever for starts that were not sent, because the message
// was too large for the link, and that no agent knows.
func TestStartsThatWereNotSentAreOrderedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 1000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	sent := h.sent["a"][len(h.sent["a"])-1].(*msg.StartRuns)
	require.Equal(t, runID("j", 0, 0, 1), sent.Starts[0].Size.Run)
	h.core.StartsUnsent("a", &msg.StartRuns{Epoch: 2, Starts: sent.Starts})
	h.process()
	require.Len(t, h.started, 1, "they were not this owner's")
	h.core.StartsUnsent("a", sent)
	h.advance(refusalPause)
	require.Equal(t, workload.HostName("a"), h.started[runID("j", 0, 0, 2)])
}
