package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against ends that are never acknowledged because tasks in more parts of a large
// job end between two batches than one batch stores: the lowest parts came first in each
// batch, and an end is acknowledged only after a batch that leaves none.
func TestEndsOfALargeJobAreAcknowledgedWhileOthersEnd(t *testing.T) {
	const parts = maxJobParts + 4
	h := newHarness(t, 1)
	for i := range 6 {
		h.link(readyHost(fmt.Sprintf("host-%d", i), 4000))
	}
	h.core.Submit(newSpec("large", newStep(parts*tasksPerPart, 1)))
	h.advance(time.Second)
	require.Len(t, h.started, parts*tasksPerPart)
	number := func(part, index int) workload.RunID { return runID("large", 0, part*tasksPerPart+index, 1) }
	const batches = 40 // of 150 ms: 6 s
	for i := range batches {
		for part := range parts {
			h.reportEnd(number(part, i), workload.EndFailed, "")
		}
		h.storeBatch()
	}
	first := h.started[number(0, 0)]
	require.Positive(t, h.acknowledged(first), "the first end was stored %d batches ago", batches)
}
