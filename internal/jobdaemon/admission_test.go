package jobdaemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// heldTasks is the limit of the entries of a boundedSite.
const heldTasks = 1000

// newBoundedSite starts entries that can hold heldTasks tasks.
func newBoundedSite(t *testing.T) *ownerSite {
	s := newOwnerSite(t)
	s.memory = heldTasks * heldTaskBytes * heldTaskShare
	for i, share := range []model.MilliCPU{800, 400, 190} {
		s.start(fmt.Sprintf("entry-%d", i), share)
	}
	s.advance(5 * time.Second)
	return s
}

// boundedJob returns a job with a number of tasks, in two steps if it has several.
func boundedJob(id, tasks int) workload.Job {
	need := workload.Resources{MilliCPU: 1}
	j := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", id)), Steps: []workload.Step{{Count: tasks - tasks/2, Need: need}}}
	if tasks > 1 {
		j.Steps = append(j.Steps, workload.Step{Count: tasks / 2, Need: need, After: []int{0}})
	}
	return j
}

// submit submits a job at an entry.
func (s *ownerSite) submit(entry string, j workload.Job) error {
	c := s.entries[entry].controller
	h := &jobHandler{controller: c, log: c.log, metrics: c.metrics}
	return h.Submit(s.t.Context(), workload.Queue{Name: "q", Service: "desk", MaxAttempts: 3}, j)
}

func (s *ownerSite) cancel(entry string, j workload.Job) {
	c := s.entries[entry].controller
	require.NoError(s.t, (&jobHandler{controller: c, log: c.log, metrics: c.metrics}).Cancel(s.t.Context(), workload.Queue{Name: "q"}, j.ID))
	s.advance(time.Second)
}

// Guards against jobs that are accepted although no owner can hold their tasks: the owner,
// and each successor that read them, exceeded its memory, and nothing ran any more.
func TestJobsWhoseTasksCannotBeHeldAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBoundedSite(t)
		defer s.stop()
		require.ErrorIs(t, s.submit("entry-1", boundedJob(1, heldTasks+1)), jobapi.ErrNotAccepted)
		require.NoError(t, s.submit("entry-1", boundedJob(2, heldTasks-1)))
		s.advance(time.Second)
		require.ErrorIs(t, s.submit("entry-2", boundedJob(3, 2)), jobapi.ErrNotAccepted, "of another entry")
		require.NoError(t, s.submit("entry-2", boundedJob(4, 1)))
		require.NoError(t, s.submit("entry-1", boundedJob(2, heldTasks-1)), "submitted again")
		s.advance(time.Second)

		s.kill("entry-0")
		s.advance(5 * time.Second)
		s.start("entry-0", 800)
		s.advance(5 * time.Second)
		for entry := range s.entries {
			require.ErrorIs(t, s.submit(entry, boundedJob(5, 1)), jobapi.ErrNotAccepted, "%s, after a change of the owner", entry)
		}
		s.cancel("entry-2", boundedJob(2, heldTasks-1))
		for entry := range s.entries {
			require.NoError(t, s.submit(entry, boundedJob(6, heldTasks-2)), entry)
		}
		s.advance(time.Second)
		require.NoError(t, s.submit("entry-0", boundedJob(7, 1)))
	})
}

// Guards against submissions that are stored at the same time and exceed the limit
// together, and against those that fail and count for ever.
func TestSubmissionsThatAreBeingStoredCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBoundedSite(t)
		defer s.stop()
		s.setOutage(true)
		results := make(chan error, 10)
		for i := range 10 {
			go func() { results <- s.submit("entry-1", boundedJob(10+i, heldTasks/4)) }()
		}
		s.advance(10 * time.Second)
		s.setOutage(false)
		s.advance(10 * time.Second)
		for range 10 {
			require.Error(t, <-results)
		}
		for i := range 10 {
			go func() { results <- s.submit("entry-1", boundedJob(30+i, heldTasks/4)) }()
		}
		s.advance(5 * time.Second)
		accepted := 0
		for range 10 {
			if err := <-results; err == nil {
				accepted++
			} else {
				require.ErrorIs(t, err, jobapi.ErrNotAccepted)
			}
		}
		require.Equal(t, 4, accepted)
	})
}

// Guards against a job that was accepted and is refused when it is submitted again at an
// entry that does not know it yet.
func TestJobThatIsStoredIsNotRefusedForItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBoundedSite(t)
		defer s.stop()
		require.NoError(t, s.submit("entry-0", boundedJob(1, heldTasks)))
		s.advance(time.Second)
		s.net.CutBoth("entry-2", "entry-0")
		s.net.CutBoth("entry-2", "entry-1")
		s.cancel("entry-0", boundedJob(1, heldTasks))
		require.NoError(t, s.submit("entry-0", boundedJob(2, heldTasks)))
		require.NoError(t, s.submit("entry-2", boundedJob(2, heldTasks)))
		require.ErrorIs(t, s.submit("entry-2", boundedJob(3, 1)), jobapi.ErrNotAccepted)
	})
}

// Guards against a limit in other units than the memory.
func TestTasksThatCanBeHeldFollowTheMemory(t *testing.T) {
	for memory, tasks := range map[int64]int{0: 0, 3*700 - 1: 0, 3 * 700: 1, 284 << 20: 141_807} {
		require.Equal(t, tasks, maxHeldTasks(memory))
	}
}
