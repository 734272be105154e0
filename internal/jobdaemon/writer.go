package jobdaemon

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// batchDelay is how long changes that are not urgent are collected for one
	// transaction.
	batchDelay = 150 * time.Millisecond
	// The pause before a failed transaction is repeated doubles from
	// minStoreRetryInterval to maxStoreRetryInterval.
	minStoreRetryInterval = 100 * time.Millisecond
	maxStoreRetryInterval = 400 * time.Millisecond
)

// writer stores the owner's batches one after another. Each transaction checks
// the version of the owner's row and rewrites the row. So a transaction that
// arrives late fails, and so does every write of an owner that was replaced.
type writer struct {
	owner   workload.Owner
	version table.Revision // of the owner's row

	committing   bool          // a transaction is in flight or will be repeated
	removing     bool          // rows of expired jobs are being deleted
	retryPause   time.Duration // before the transaction is repeated
	pendingSince time.Duration // when the first pending change was observed; 0: no change is pending
	releasing    bool          // the next transaction releases the jobs
	hostRows     int           // rows of the list of hosts that were stored when the jobs were read
	hostRowsSent int           // rows of the last list that was sent
	retireReply  actor.Reply[bool]
}

// batchStored reports the outcome of a transaction of the writer.
type batchStored struct {
	epoch  uint64
	sentAt time.Duration  // when the last attempt began
	owner  workload.Owner // as written in the owner's row
	result commitResult
	txn    table.Txn
}

// storePending starts the next transaction if changes are pending and none is in
// flight.
func (c *controller) storePending() {
	w := &c.writer
	if w.committing {
		return
	}
	if w.releasing {
		c.jobs.Release()
		released := c.nextOwnerRow()
		released.Name, released.Boot = "", 0
		c.storeBatch(released)
		return
	}
	pending, urgent := c.jobs.Pending()
	if c.owner.ConfirmationDue() || c.jobs.ConfirmationAwaited() || c.owner.NextRow(w.owner).Entries != w.owner.Entries {
		pending, urgent = true, true
	}
	now := c.now()
	switch {
	case !pending:
		w.pendingSince = 0
		return
	case w.pendingSince == 0:
		w.pendingSince = now
	}
	if urgent || now-w.pendingSince >= batchDelay {
		c.storeBatch(c.nextOwnerRow())
	}
}

// nextOwnerRow returns the row of the owner with the next batch.
func (c *controller) nextOwnerRow() workload.Owner {
	next := c.owner.NextRow(c.writer.owner)
	next.Unsettled, next.Fenced = c.unsettled(), c.fenced()
	return next
}

// unsettled reports whether the next owner has to expect runs of owners before
// this one, or that this one is active until it learns that the row is stored: an
// owner that hands over is slow and does not end.
func (c *controller) unsettled() bool {
	return c.owner.HandingOver() || !c.owner.FormerOwnerEnded() && !c.jobs.Settled()
}

// fenced reports whether this owner, and every owner before it that may be active,
// starts no task of a job that was accepted under a later owner.
func (c *controller) fenced() bool { return c.owner.FormerOwnersFenced() || c.jobs.Settled() }

// storeBatch stores the next batch of changes and the owner's row. An owner
// without a name releases the jobs.
func (c *controller) storeBatch(owner workload.Owner) {
	w := &c.writer
	batch := c.jobs.NextBatch()
	owner.EndingLeases = batch.EndingLeases
	txn, err := c.batchTxn(owner, batch)
	if err != nil {
		event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
		c.jobs.BatchFailed()
		return
	}
	w.committing, w.pendingSince = true, 0
	c.owner.EntriesSent(owner.Entries)
	c.commitBatch(owner, txn, 0)
}

// commitBatch commits a transaction of the writer after a pause.
func (c *controller) commitBatch(owner workload.Owner, txn table.Txn, pause time.Duration) {
	epoch := c.writer.owner.Epoch
	actor.GoUntilDone(c.group, "batch writer", func(ctx context.Context) error {
		if pause > 0 && !actor.Sleep(ctx, pause) {
			return nil
		}
		sentAt := c.now()
		c.post(ctx, &batchStored{epoch, sentAt, owner, c.storeProxy.commit(ctx, txn), txn})
		return nil
	})
}

// batchTxn builds the transaction that stores a batch and the owner's row.
func (c *controller) batchTxn(owner workload.Owner, b *jobs.Batch) (table.Txn, error) {
	value, err := wire.EncodeOwner(owner)
	txn := table.Txn{
		Checks: []table.Check{{Key: ownerKey, Version: c.writer.version}},
		Puts:   []table.Put{{Key: ownerKey, Value: value}},
	}
	if err != nil {
		return txn, err
	}
	for _, w := range b.Writes {
		value, err := wire.EncodeProgress(&w.Progress)
		if err != nil {
			return txn, err
		}
		txn.Puts = append(txn.Puts, table.Put{Key: progressKey(w.Job), Value: value})
		for _, p := range w.Parts {
			value, err := wire.EncodeProgress(&workload.Progress{Attempts: p.Attempts})
			if err != nil {
				return txn, err
			}
			txn.Puts = append(txn.Puts, table.Put{Key: attemptsKey(w.Job, p.Number), Value: value})
		}
	}
	for _, r := range b.RemovedParts {
		txn.Deletes = append(txn.Deletes, attemptsKey(r.Job, r.Part))
	}
	for _, id := range b.Removed {
		txn.Deletes = append(txn.Deletes, progressKey(id))
	}
	if b.Interference != nil {
		value, _, err := wire.EncodeInterference(b.Interference, jobs.MaxRowBytes)
		if err != nil {
			return txn, err
		}
		txn.Puts = append(txn.Puts, table.Put{Key: interferenceKey, Value: value})
	}
	if b.Hosts != nil {
		c.writer.hostRowsSent = addHosts(&txn, b.Hosts, max(c.writer.hostRows, c.writer.hostRowsSent))
	}
	return txn, nil
}

// jobRowsDeleted reports that the rows of expired jobs, except their progress, are
// deleted.
type jobRowsDeleted struct {
	epoch uint64
	ids   []workload.JobID
}

// removeExpired deletes the rows of jobs whose retention has ended, unless a deletion
// is in progress. Their progress rows are deleted by a later batch. If the ownership
// ends before, the next owner finds that the jobs have ended and deletes the rows
// after another retention.
func (c *controller) removeExpired() {
	if c.writer.removing {
		return
	}
	ids := c.jobs.Expired()
	if len(ids) == 0 {
		return
	}
	c.writer.removing = true
	byPart := map[string]*table.Txn{}
	for _, id := range ids {
		txn := byPart[jobPart(id)]
		if txn == nil {
			txn = &table.Txn{}
			byPart[jobPart(id)] = txn
		}
		txn.Deletes = append(txn.Deletes, jobKey(id), cancelKey(id))
	}
	epoch := c.jobs.Epoch()
	actor.GoUntilDone(c.ownerGroup, "row remover", func(ctx context.Context) error {
		for _, txn := range byPart {
			for c.storeProxy.commit(ctx, *txn).outcome != table.Committed {
				if !actor.Sleep(ctx, maxStoreRetryInterval) {
					return nil
				}
			}
		}
		c.post(ctx, &jobRowsDeleted{epoch, ids})
		return nil
	})
}

func (c *controller) jobRowsDeleted(m *jobRowsDeleted) {
	if c.jobs == nil || c.jobs.Epoch() != m.epoch {
		return
	}
	c.writer.removing = false
	c.jobs.RowsDeleted(m.ids)
}

func (c *controller) batchStored(m *batchStored) {
	w := &c.writer
	if c.jobs == nil || c.jobs.Epoch() != m.epoch {
		return
	}
	r := m.result
	if r.outcome == table.Conflict {
		r = c.resolveConflict(m, r)
	}
	switch r.outcome {
	case table.Committed:
		c.batchCommitted(m, r.revision)
	case table.Conflict: // another entry owns the jobs
		w.committing = false
		c.jobs.BatchFailed()
		w.retireReply.Put(true)
		c.owner.Superseded(c.now())
	default:
		event.Log(c.log, event.OwnerStoreFailed, log.Fields{"epoch": m.epoch, "outcome": r.outcome.String()})
		if r.outcome == table.Refused && c.jobs.BatchRefused() {
			w.committing = false
			return
		}
		// The former attempt may still be queued for a peer, so its checks stay.
		m.txn.Checks = []table.Check{{Key: ownerKey, Version: w.version}}
		w.retryPause = min(maxStoreRetryInterval, max(minStoreRetryInterval, 2*w.retryPause))
		c.commitBatch(m.owner, m.txn, w.retryPause)
	}
}

// resolveConflict checks whether the owner's row still belongs to this owner. An
// earlier attempt of the same batch without an answer may have taken effect.
func (c *controller) resolveConflict(m *batchStored, r commitResult) commitResult {
	for _, row := range r.rows {
		if row.Key != ownerKey {
			continue
		}
		o, err := wire.DecodeOwner(row.Value)
		switch {
		case err != nil:
			event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
		case o == m.owner:
			return commitResult{outcome: table.Committed, revision: row.Version}
		case o.Name == c.writer.owner.Name && o.Boot == c.writer.owner.Boot && o.Epoch == m.epoch:
			// The row is still this owner's, but has another version than the
			// transaction checked: the transaction is repeated with that version.
			c.writer.version = row.Version
			return commitResult{outcome: table.Unknown}
		}
	}
	return r
}

func (c *controller) batchCommitted(m *batchStored, version table.Revision) {
	w := &c.writer
	w.committing, w.retryPause, w.version, w.owner.Sequence = false, 0, version, m.owner.Sequence
	w.owner.Entries, w.owner.ActsFor, w.owner.EndingLeases = m.owner.Entries, m.owner.ActsFor, m.owner.EndingLeases
	c.owner.EntriesStored(m.owner.Entries)
	c.jobs.BatchCommitted()
	if m.owner.Name != "" {
		c.owner.Confirmed(m.sentAt, c.now())
		return
	}
	c.sendFinalEffects()
	c.sendToEntries(&msg.OwnerClaim{Epoch: m.epoch})
	c.sendReleasedRuns(m.epoch, c.jobs.ReleasedRuns())
	reason := "the process stops"
	if c.owner.HandingOver() {
		reason = "the loop is persistently late; an entry on a larger host takes over"
	}
	c.owner.Released(c.now())
	c.endOwnership(reason)
	w.retireReply.Put(true)
}

// sendFinalEffects sends the messages and phases that were held back until the
// last batch was stored.
func (c *controller) sendFinalEffects() {
	for _, s := range c.jobs.Messages() {
		c.sendToHost(s)
	}
	c.publish(c.jobs.Phases())
}
