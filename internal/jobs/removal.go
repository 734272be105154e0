package jobs

import (
	"math"
	"time"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// notDeleted is the time in Core.dropped of a job whose rows are not deleted yet.
const notDeleted time.Duration = math.MaxInt64

// remove drops an ended job, whose rows are to be deleted.
func (c *Core) remove(j *job) {
	delete(c.jobs, j.spec.ID)
	delete(c.dirty, j)
	delete(c.round.jobs, j)
	c.dropped[j.spec.ID] = notDeleted
	c.expired = append(c.expired, j.spec.ID)
	if n := j.parts(); n > 0 {
		c.expiredParts[j.spec.ID] = n
	}
}

// addRemovals adds rows to be deleted to the batch. The progress row of a job is
// deleted after its rows of attempts.
func (c *Core) addRemovals(b *Batch) {
	room := maxBatchRows
	for i := range b.Writes {
		room -= 1 + len(b.Writes[i].Parts)
	}
	n := min(len(c.partRemovals), room)
	b.RemovedParts, c.partRemovals = c.partRemovals[:n:n], c.partRemovals[n:]
	if len(c.partRemovals) > 0 {
		return
	}
	n = min(len(c.removals), room-n)
	b.Removed, c.removals = c.removals[:n:n], c.removals[n:]
}

// maxExpired bounds the jobs whose rows are deleted together. Each has two rows
// beside its progress, and the store accepts 100 entries in a transaction.
const maxExpired = 50

// Expired returns dropped jobs whose rows of specification and cancellation have to
// be deleted, each once. The caller calls RowsDeleted when that is done: without its
// progress row, a job that is still stored would be taken for one that has not begun.
func (c *Core) Expired() []workload.JobID {
	n := min(len(c.expired), maxExpired)
	ids := c.expired[:n:n]
	c.expired = c.expired[n:]
	return ids
}

// RowsDeleted queues the deletion of the progress rows of jobs whose other rows have
// been deleted.
func (c *Core) RowsDeleted(ids []workload.JobID) {
	for _, id := range ids {
		c.dropped[id] = c.now
		for part := range c.expiredParts[id] {
			c.partRemovals = append(c.partRemovals, PartRow{id, part})
		}
		delete(c.expiredParts, id)
	}
	c.removals = append(c.removals, ids...)
}

// forgetDropped forgets the dropped jobs whose rows were deleted before a time. A load of
// the jobs that was requested later does not read them.
func (c *Core) forgetDropped(before time.Duration) {
	for id, deletedAt := range c.dropped {
		if deletedAt < before {
			delete(c.dropped, id)
		}
	}
}
