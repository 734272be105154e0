package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	maxTxnEntries = 100
	maxTxnBytes   = 768 << 10 // 1 MB in base64
)

// changeAttempts gives each task of a job failed runs, crashes and a checkpoint.
func (j *job) changeAttempts(checkpoint string) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			t.failedRuns, t.checkpoint = failedRuns{}, checkpoint
			for n := range maxFailedRunNumbers {
				t.failedRuns.add(uint64(n) + 1)
			}
			t.crashes = crashes{possible: 2, alone: 1, age: time.Second}
			t.attemptsChanged()
		}
	}
	j.markDirty()
}

// Guards against a row that grows with the tasks of its job until the store refuses
// it: one such job stopped the storage of all.
func TestRowsOfLargeJobsAreBounded(t *testing.T) {
	for name, checkpoint := range map[string]string{"short": "00000bb87a21d94b", "long": strings.Repeat("x", 4000)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.core.Submit(newSpec("large", newStep(workload.MaxTasks-tasksPerPart, 1), newStep(tasksPerPart, 1)))
			for _, id := range []string{"small-1", "small-2", "small-3"} {
				h.core.Submit(newSpec(id, newStep(tasksPerPart, 1)))
			}
			for _, j := range h.core.jobs {
				j.changeAttempts(checkpoint)
			}
			stored := map[workload.TaskID]workload.TaskAttempts{}
			batches := 0
			for pending := true; pending; pending, _ = h.core.Pending() {
				b := h.core.NextBatch()
				entries, bytes := 3, 0 // the owner, hosts and interference
				for _, w := range b.Writes {
					require.LessOrEqual(t, progressSize(&w.Progress), MaxRowBytes)
					rows := [][]workload.TaskAttempts{w.Progress.Attempts}
					for _, p := range w.Parts {
						require.LessOrEqual(t, p.size(), MaxRowBytes)
						rows = append(rows, p.Attempts)
					}
					for _, row := range rows {
						for _, a := range row {
							stored[workload.TaskID{Job: w.Job, Step: a.Step, Index: a.Index}] = a
						}
					}
					entries, bytes = entries+len(rows), bytes+w.size()
				}
				require.LessOrEqual(t, entries, maxTxnEntries)
				require.LessOrEqual(t, bytes, maxTxnBytes)
				h.core.BatchCommitted()
				batches++
				require.Less(t, batches, 100)
			}
			require.Len(t, stored, workload.MaxTasks+3*tasksPerPart)
			for id, a := range stored {
				require.Equal(t, maxFailedRunNumbers, a.Failed, id)
				require.Len(t, a.FailedRuns, maxFailedRunNumbers, id)
			}
			t.Logf("%d batches", batches)
		})
	}
}

// Guards against ends that are acknowledged before the failed run that they report is
// stored, in a row of a large job that did not fit into the batch.
func TestEndsOfLargeJobsAreAcknowledgedAfterAllRows(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 1000))
	h.core.Submit(newSpec("large", newStep(100*tasksPerPart, 1000)))
	h.process()
	h.core.jobs["large"].changeAttempts("")
	h.reportEnd(runID("large", 0, 0, 1), workload.EndFailed, "")
	h.storeBatch()
	require.Zero(t, h.acknowledged("a"))
	for range 10 {
		h.storeBatch()
	}
	require.EqualValues(t, 1, h.acknowledged("a"))
}

// Guards against jobs that are not stored while a large job has more changed rows than
// fit into a batch.
func TestLargeJobLeavesRoomForOthers(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Submit(newSpec("a-large", newStep(workload.MaxTasks, 1)))
	h.core.Submit(newSpec("b-small", newStep(1, 1)))
	h.core.jobs["a-large"].changeAttempts("")
	h.core.jobs["b-small"].markDirty()
	b := h.core.NextBatch()
	require.Len(t, b.Writes, 2)
	require.Len(t, b.Writes[0].Parts, maxJobParts)
	require.Equal(t, workload.JobID("b-small"), b.Writes[1].Job)
}

// Guards against rows of attempts that outlive their job.
func TestRowsOfAttemptsAreDeletedBeforeTheJob(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Submit(newSpec("large", newStep(200*tasksPerPart, 1)))
	h.core.jobs["large"].changeAttempts("")
	h.core.Cancel("large")
	h.storeBatch()
	h.advance(endedJobRetention + time.Second)
	require.Equal(t, []workload.JobID{"large"}, h.core.Expired())
	h.core.RowsDeleted([]workload.JobID{"large"})
	deleted := map[int]bool{}
	for len(deleted) < 200 {
		b := h.core.NextBatch()
		require.NotEmpty(t, b.RemovedParts)
		for _, r := range b.RemovedParts {
			deleted[r.Part] = true
		}
		require.Equal(t, len(deleted) == 200, len(b.Removed) == 1)
		h.core.BatchCommitted()
	}
}

// Guards against a job that the store refuses for ever and that keeps all others from
// being stored.
func TestJobThatTheStoreRefusesFailsAlone(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 100 {
		h.core.Submit(newSpec("job-"+string(rune('a'+i%26))+string(rune('a'+i/26)), newStep(1, 1)))
	}
	const bad = workload.JobID("job-kb")
	for _, j := range h.core.jobs {
		j.step(evBegin)
		j.markDirty()
	}
	stored := map[workload.JobID]workload.Phase{}
	for i := 0; ; i++ {
		require.Less(t, i, 40)
		if pending, _ := h.core.Pending(); !pending {
			break
		}
		b := h.core.NextBatch()
		refused := false
		for _, w := range b.Writes {
			refused = refused || w.Job == bad && !w.Progress.Phase.Final()
		}
		if refused {
			require.True(t, h.core.BatchRefused())
			continue
		}
		for _, w := range b.Writes {
			stored[w.Job] = w.Progress.Phase
		}
		h.core.BatchCommitted()
	}
	require.Len(t, stored, 100)
	for id, phase := range stored {
		if id != bad {
			require.Equal(t, workload.Running, phase, id)
		}
	}
	require.Equal(t, workload.Failed, stored[bad])
	h.process()
	require.Equal(t, workload.Failed, h.lastPhase(bad))
}

// Guards against a batch that is refused for ever because even the row of the failed
// job cannot be stored.
func TestJobOfWhichNothingCanBeStoredIsLeftOut(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Submit(newSpec("bad", newStep(1, 1)))
	h.core.jobs["bad"].markDirty()
	for range 2 {
		h.core.NextBatch()
		require.True(t, h.core.BatchRefused())
	}
	pending, _ := h.core.Pending()
	require.False(t, pending)
}

// Guards against a batch above the limit of a transaction because a long list of hosts is
// in it.
func TestBatchWithALongListOfHostsIsBounded(t *testing.T) {
	for _, hosts := range []int{100, 15_000, 40_000} {
		h := newHarness(t, 1)
		for i := range hosts {
			h.core.Linked(readyHost(fmt.Sprintf("side-cairo-maadi-%06d", i), 1000))
			h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: readyHost(fmt.Sprintf("side-cairo-maadi-%06d", i), 1000)})
		}
		h.core.Submit(newSpec("large", newStep(100*tasksPerPart, 1_000_000)))
		h.core.jobs["large"].changeAttempts(strings.Repeat("x", 400))
		b := h.core.NextBatch()
		require.Len(t, b.Hosts, hosts)
		bytes := b.hostBytes()
		for _, w := range b.Writes {
			bytes += w.size()
		}
		require.LessOrEqual(t, bytes, max(maxTxnBytes, b.hostBytes()), "%d hosts", hosts)
		require.Equal(t, hosts < 40_000, len(b.Writes) > 0)
		h.core.BatchCommitted()
		require.NotEmpty(t, h.core.NextBatch().Writes, "the job follows")
	}
}
