package control

import (
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// batchRows is the maximum number of job rows in a transaction. The table
// service allows 128 rows, including the epoch row and the writer's row.
const batchRows = 120

// batch writes the changed job rows, in one transaction at a time.
type batch struct {
	queue    []model.JobID // jobs with changed rows, in the order of the change
	inFlight []model.JobID // jobs of the unanswered transaction
	busy     bool          // a Commit is unanswered
}

func (b *batch) reset() {
	// An unanswered transaction will still be answered; the epoch row fences it.
	*b = batch{busy: b.busy}
}

// full reports whether the next transaction has no space for placements.
func (b *batch) full() bool { return len(b.queue) >= batchRows }

// queueWrite queues the changed row of a job for the next transaction.
func (c *Core) queueWrite(j *job) {
	j.generation++
	if !j.queued && j.inFlight == 0 {
		j.queued = true
		c.batch.queue = append(c.batch.queue, j.id)
	}
}

// flush starts the next transaction if none is unanswered.
func (c *Core) flush() {
	b := &c.batch
	if b.busy || len(b.queue) == 0 || !c.isOwner() || !c.loaded {
		return
	}
	n := min(len(b.queue), batchRows)
	b.inFlight = slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	b.busy = true
	commit := Commit{Fence: c.cell.epochVersion}
	for _, id := range b.inFlight {
		j := c.jobs[id]
		if j == nil {
			continue // its row was deleted
		}
		j.queued = false
		j.inFlight = j.generation
		j.row.Phase = model.Phase(jobChart.StateName(j.phase))
		commit.Writes = append(commit.Writes, JobRow{ID: id, Row: j.row, Version: j.version})
	}
	c.emit(commit)
}

func (c *Core) onCommitted(e Committed) {
	if e.Fence != c.cell.epochVersion {
		c.batch.busy = false // the transaction was of an earlier ownership
		return
	}
	c.finishTransaction(func(j *job) {
		j.version = max(j.version, e.Revision)
		j.committed = j.inFlight
	})
}

func (c *Core) onRejected(e Rejected) {
	if e.Fence != c.cell.epochVersion || e.Fenced {
		c.batch.busy, c.batch.inFlight = false, nil
		if e.Fence == c.cell.epochVersion && c.isOwner() {
			c.stepCell(evFenced)
		}
		return
	}
	current := map[model.JobID]JobRow{}
	for _, r := range e.Rows {
		current[r.ID] = r
	}
	c.finishTransaction(func(j *job) {
		if r, ok := current[j.id]; ok {
			j.version = 0 // expects no row: a deleted row is created again
			c.onRow(r)
		}
	})
}

// finishTransaction applies the outcome of the transaction to its jobs, runs
// their hooks, and queues the rows that changed since or were rejected. It
// removes ended jobs whose row is committed.
func (c *Core) finishTransaction(outcome func(*job)) {
	b := &c.batch
	written := b.inFlight
	b.busy, b.inFlight = false, nil
	for _, id := range written {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		outcome(j)
		j.inFlight = 0
		c.runHooks(j)
		if j.committed < j.generation && !j.queued {
			j.queued = true
			b.queue = append(b.queue, id)
		}
		if jobChart.Final(j.phase) && j.committed == j.generation {
			c.finishedCounts[model.Phase(jobChart.StateName(j.phase))]++
			c.removeJobHealth(id)
			c.removeJob(id)
		}
	}
}

// runHooks runs the hooks of a job whose generation is committed. Hooks of an
// earlier attempt are dropped, except for acknowledgements.
func (c *Core) runHooks(j *job) {
	hooks := j.hooks
	j.hooks = nil
	for _, h := range hooks {
		switch {
		case h.generation > j.committed:
			j.hooks = append(j.hooks, h)
		case h.kind == hookAcknowledge:
			if p := c.peers[h.worker]; p != nil {
				c.acknowledge(p, j, model.AttemptID{Job: j.id, Number: h.attempt})
			}
		case h.attempt != j.attempt.number:
		case h.kind == hookStart:
			c.stepAttempt(j, evCommitted)
		case h.kind == hookCheckpointCommitted:
			c.stepAttempt(j, evCheckpointCommitted)
		}
	}
}
