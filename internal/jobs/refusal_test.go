package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// refusingStore stands in for a table service that refuses some batches. It records the
// jobs that were stored, and how many batches it has refused.
type refusingStore struct {
	refuses  func(*Batch) bool
	phases   map[workload.JobID]workload.Phase
	accepted contents
	refused  int
}

// store lets d pass, and stores what the core wants to store meanwhile.
func (h *harness) store(s *refusingStore, d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.advance(100 * time.Millisecond)
		for n := 0; ; n++ {
			require.Less(h.t, n, 50, "batches are repeated without a pause")
			if pending, _ := h.core.Pending(); !pending {
				break
			}
			h.offer(s, h.core.NextBatch())
		}
	}
}

// offer stores a batch, or refuses it.
func (h *harness) offer(s *refusingStore, b *Batch) {
	if s.refuses(b) {
		s.refused++
		require.True(h.t, h.core.BatchRefused())
		return
	}
	for _, w := range b.Writes {
		s.phases[w.Job] = w.Progress.Phase
	}
	for kind, in := range b.contents {
		s.accepted[kind] = s.accepted[kind] || in
	}
	h.core.BatchCommitted()
	h.process()
}

// contentToStore makes the core want to store content of a kind.
var contentToStore = [contentKinds]func(*harness){
	jobContent:     func(*harness) {},
	removalContent: func(h *harness) { h.core.RowsDeleted([]workload.JobID{"expired"}) },
	hostContent: func(h *harness) {
		h.core.Linked(readyHost("new", 1000))
	},
	endingLeaseContent: func(h *harness) {
		h.core.Unlinked("lost")
		delete(h.linked, "lost")
		h.advance(endingLeasesAfter + 100*time.Millisecond)
	},
	interferenceContent: func(h *harness) {
		h.core.contention.SetCoefficient(contention.Pair{Serving: "s", BestEffort: "b"}, 1)
		h.advance(interferenceInterval)
	},
}

// Guards against a job that is given up, or never stored, because another row of its batch
// is refused: its ends were acknowledged, and the next owner ran its tasks again. The row
// that is refused does not keep other content from being stored either, and is not
// sent again without a pause.
func TestCompletedJobIsStoredAlthoughOtherContentIsRefused(t *testing.T) {
	for bad := removalContent; bad < contentKinds; bad++ {
		t.Run(contentNames[bad], func(t *testing.T) {
			h := newHarness(t, 1)
			for _, name := range []string{"a", "lost"} {
				h.link(readyHost(name, 1000))
			}
			s := &refusingStore{phases: map[workload.JobID]workload.Phase{}, refuses: func(b *Batch) bool { return b.contents[bad] }}
			h.store(s, time.Second)
			for kind := range contentKinds {
				contentToStore[kind](h)
			}
			for i := range 20 {
				id := fmt.Sprintf("job-%02d", i)
				h.core.Submit(newSpec(id, newStep(1, 1000)))
				h.process()
				require.Equal(t, workload.HostName("a"), h.started[runID(id, 0, 0, 1)])
				h.reportEnd(runID(id, 0, 0, 1), workload.EndDone, "")
				h.store(s, 500*time.Millisecond)
			}
			require.Len(t, s.phases, 20)
			for id, phase := range s.phases {
				require.Equal(t, workload.Completed, phase, id)
			}
			require.EqualValues(t, 20, h.acknowledged("a"))
			require.Positive(t, s.refused)
			require.LessOrEqual(t, s.refused, 1+int(10*time.Second/refusedRetry)*2, "in 10 s")
			for kind, stored := range s.accepted {
				require.Equal(t, contentKind(kind) != bad, stored, contentNames[kind])
			}
		})
	}
}

// Guards against a batch without a job that is refused and sent again for ever: nothing was
// stored any more.
func TestRefusedBatchWithoutAJobIsNotRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 1000))
	h.core.RowsDeleted([]workload.JobID{"expired"})
	b := h.core.NextBatch()
	require.Empty(t, b.Writes)
	require.Equal(t, 1, b.contents.count())
	require.True(t, h.core.BatchRefused())
	pending, _ := h.core.Pending()
	require.False(t, pending, "it is held back")
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.core.Cancel("j")
	b = h.core.NextBatch()
	require.Len(t, b.Writes, 1)
	require.Empty(t, b.Removed)
	h.core.BatchCommitted()
	h.advance(refusedRetry)
	require.Equal(t, []workload.JobID{"expired"}, h.core.NextBatch().Removed, "it is not lost")
}

// Guards against a job that can't be stored and hides behind the other content of its
// batch, and against other content that waits for it.
func TestRefusedJobFailsBesideOtherContent(t *testing.T) {
	h := newHarness(t, 1)
	for _, name := range []string{"a", "lost"} {
		h.link(readyHost(name, 1000))
	}
	s := &refusingStore{phases: map[workload.JobID]workload.Phase{}, refuses: func(b *Batch) bool {
		for _, w := range b.Writes {
			if w.Job == "bad" && !w.Progress.Phase.Final() {
				return true
			}
		}
		return false
	}}
	h.store(s, time.Second)
	for kind := range contentKinds {
		contentToStore[kind](h)
	}
	for _, id := range []string{"bad", "good"} {
		h.core.Submit(newSpec(id, newStep(1, 100)))
		h.process()
		h.core.jobs[workload.JobID(id)].step(evBegin)
		h.core.jobs[workload.JobID(id)].markDirty()
	}
	h.store(s, 2*time.Second)
	require.Equal(t, map[workload.JobID]workload.Phase{"bad": workload.Failed, "good": workload.Running}, s.phases)
	h.store(s, separateTime)
	h.core.Cancel("good") // the coefficients are stored with other content
	h.store(s, time.Second)
	for kind, stored := range s.accepted {
		require.True(t, stored, contentNames[kind])
	}
}

// Guards against a batch of the owner's row alone that counts as another one after its
// refusal: it would be sent again without a pause.
func TestRefusalOfTheOwnersRowChangesNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.core.NextBatch()
	require.False(t, h.core.BatchRefused())
}
