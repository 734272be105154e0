package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a job that runs again after it has completed: a load of the jobs after a
// lost history reads its row before that is deleted, and its progress after.
func TestJobWhoseRowsAreBeingDeletedIsNotRestored(t *testing.T) {
	h := newHarness(t, 1)
	h.core.StoredJobsRead(0)
	h.link(readyHost("a", 4000))
	spec := newSpec("j", newStep(1, 1000))
	h.core.Submit(spec)
	h.process()
	h.reportEnd(runID("j", 0, 0, 1), workload.EndDone, "")
	h.storeBatch()
	h.advance(endedJobRetention + time.Second)
	_, known := h.core.Phase("j")
	require.False(t, known)

	clear(h.started)
	restore := func() {
		h.core.Restore(spec, nil)
		h.process()
		require.Empty(t, h.started)
	}
	restore()
	ids := h.core.Expired()
	require.Equal(t, []workload.JobID{"j"}, ids)
	restore()
	h.core.RowsDeleted(ids)
	restore()
	h.storeBatch()
	restore()
	h.advance(time.Second)
	h.core.StoredJobsRead(h.now)
	require.Empty(t, h.core.dropped, "no later load can read the row")
}
