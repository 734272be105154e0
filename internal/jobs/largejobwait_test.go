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

// changePart lets a task of each of a number of parts of a job fail.
func (h *harness) changeParts(id string, parts, index int) {
	for part := range parts {
		h.reportEnd(runID(id, 0, part*tasksPerPart+index, 1), workload.EndFailed, "")
	}
}

// newLargeJob starts all tasks of a job with a number of parts.
func newLargeJob(t *testing.T, parts int) *harness {
	h := newHarness(t, 1)
	h.link(readyHost("host", int64(parts*tasksPerPart)))
	info := h.linked["host"]
	info.Capacity.MemoryMB = int64(parts * tasksPerPart)
	h.core.Announced(info)
	h.core.Submit(newSpec("large", newStep(parts*tasksPerPart, 1)))
	h.advance(time.Second)
	require.Len(t, h.started, parts*tasksPerPart)
	return h
}

// Guards against an end that is acknowledged although the batch with its row was not
// stored, while later batches are.
func TestEndsWaitForTheRowsOfAFailedBatch(t *testing.T) {
	h := newLargeJob(t, maxJobParts+4)
	h.changeParts("large", maxJobParts+4, 0)
	last := h.ends["host"]
	for i := 1; i < 4; i++ {
		h.core.NextBatch()
		h.core.BatchFailed()
		h.changeParts("large", maxJobParts+4, i)
	}
	h.storeBatch()
	require.Zero(t, h.acknowledged("host"))
	h.changeParts("large", maxJobParts+4, 4)
	h.core.NextBatch()
	h.core.BatchFailed()
	h.storeBatch()
	require.Equal(t, last, h.acknowledged("host"), "the later ends are not all stored")
	for range 3 {
		h.storeBatch()
	}
	require.Equal(t, h.ends["host"], h.acknowledged("host"))
}

// Guards against a task that never starts again because the rows of other tasks of its job
// change all the time, and against one that starts before its crashes are stored.
func TestCrashesOfALargeJobAreStoredWhileOthersEnd(t *testing.T) {
	const parts = maxJobParts + 4
	h := newLargeJob(t, parts)
	j := h.core.jobs["large"]
	crashed := j.task(workload.TaskID{Job: "large", Index: parts*tasksPerPart - 1})
	h.changeParts("large", parts-1, 0)
	crashed.suspicion = taskUnstored
	crashed.storeCrashes()
	for i := 1; crashed.suspicion == taskUnstored; i++ {
		require.Less(t, i, 5, "its row was not stored by %d batches", i)
		b := h.core.NextBatch()
		written := false
		for _, w := range b.Writes {
			for _, p := range w.Parts {
				written = written || p.Number == crashed.part()
			}
		}
		h.core.BatchCommitted()
		require.Equal(t, written, crashed.suspicion != taskUnstored)
		h.changeParts("large", parts-1, i)
	}
}
