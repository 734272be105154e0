package jobdaemon

import (
	"context"
	"strings"
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
	// batchDelay lets ends of one moment share a transaction when no caller
	// waits for them.
	batchDelay = 150 * time.Millisecond
	// The pause after a batch was not stored doubles from storeRetry.
	storeRetry     = 100 * time.Millisecond
	mostStoreRetry = 400 * time.Millisecond
)

// writer stores the owner's batches one after another. Each transaction checks
// and rewrites the owner's row, so that one that takes effect late fails, and
// so does every write of an owner that was replaced.
type writer struct {
	owner   workload.Owner
	version table.Revision // of the owner's row

	busy      bool
	pause     time.Duration // before the next try of a batch
	pendingAt time.Duration // when something to store was first seen; 0: nothing
	releasing bool
	retired   actor.Reply[bool]
}

// batchStored is the outcome of a transaction of the writer.
type batchStored struct {
	epoch  uint64
	owner  workload.Owner // as written
	result result
	txn    table.Txn
}

// store starts the next transaction if there is something to store.
func (c *controller) store() {
	w := &c.writer
	if w.busy {
		return
	}
	if w.releasing {
		c.storeBatch(workload.Owner{Epoch: w.owner.Epoch, Sequence: w.owner.Sequence + 1})
		return
	}
	pending, urgent := c.jobs.Pending()
	now := c.now()
	switch {
	case !pending:
		w.pendingAt = 0
		return
	case w.pendingAt == 0:
		w.pendingAt = now
	}
	if urgent || now-w.pendingAt >= batchDelay {
		next := w.owner
		next.Sequence++
		c.storeBatch(next)
	}
}

func (c *controller) storeBatch(owner workload.Owner) {
	w := &c.writer
	batch := c.jobs.NextBatch()
	txn, err := c.batchTxn(owner, batch)
	if err != nil {
		event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
		c.jobs.BatchFailed()
		return
	}
	w.busy, w.pendingAt = true, 0
	c.commitBatch(owner, txn, 0)
	if len(batch.Removed) > 0 {
		c.removeJobs(batch.Removed)
	}
}

func (c *controller) commitBatch(owner workload.Owner, txn table.Txn, pause time.Duration) {
	epoch := c.writer.owner.Epoch
	actor.Go(c.group, "batch writer", func(ctx context.Context) error {
		if pause > 0 && !actor.Sleep(ctx, pause) {
			return nil
		}
		c.tell(ctx, &batchStored{epoch, owner, c.gateway.commit(ctx, txn), txn})
		return nil
	})
}

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
	}
	for _, id := range b.Removed {
		txn.Deletes = append(txn.Deletes, progressKey(id))
	}
	if b.Interference != nil {
		value, err := wire.EncodeInterference(b.Interference)
		if err != nil {
			return txn, err
		}
		txn.Puts = append(txn.Puts, table.Put{Key: harmsKey, Value: value})
	}
	if b.Hosts != nil {
		names := make([]string, len(b.Hosts))
		for i, h := range b.Hosts {
			names[i] = string(h)
		}
		txn.Puts = append(txn.Puts, table.Put{Key: hostsKey, Value: []byte(strings.Join(names, "\n") + "\n")})
	}
	return txn, nil
}

// removeJobs drops the rows of jobs that nobody asks for any more. A row that
// stays because of an error is found over by the next owner and dropped again.
func (c *controller) removeJobs(ids []workload.JobID) {
	byPart := map[string][]string{}
	for _, id := range ids {
		byPart[jobPart(id)] = append(byPart[jobPart(id)], jobKey(id), cancelKey(id))
	}
	for _, keys := range byPart {
		actor.Go(c.group, "row remover", func(ctx context.Context) error {
			c.gateway.commit(ctx, table.Txn{Deletes: keys})
			return nil
		})
	}
}

func (c *controller) batchStored(m *batchStored) {
	w := &c.writer
	if c.jobs == nil || c.jobs.Epoch() != m.epoch {
		return
	}
	r := m.result
	if r.outcome == table.Conflict {
		r = c.conflict(m, r)
	}
	switch r.outcome {
	case table.Committed:
		c.batchCommitted(m, r.revision)
	case table.Conflict:
		w.busy = false
		c.jobs.BatchFailed()
		w.retired.Put(true)
		c.owner.Superseded(c.now())
	default:
		event.Log(c.log, event.OwnerStoreFailed, log.Fields{"epoch": m.epoch, "outcome": r.outcome.String()})
		m.txn.Checks[0].Version = w.version
		w.pause = min(mostStoreRetry, max(storeRetry, 2*w.pause))
		c.commitBatch(m.owner, m.txn, w.pause)
	}
}

// conflict finds out whether the row is still this owner's. A former try of
// the same batch that got no answer may have taken effect.
func (c *controller) conflict(m *batchStored, r result) result {
	for _, row := range r.rows {
		if row.Key != ownerKey {
			continue
		}
		o, err := wire.DecodeOwner(row.Value)
		switch {
		case err != nil:
			event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
		case o == m.owner:
			return result{outcome: table.Committed, revision: row.Version}
		case o.Name == c.writer.owner.Name && o.Boot == c.writer.owner.Boot && o.Epoch == m.epoch:
			c.writer.version = row.Version
			return result{outcome: table.Unknown}
		}
	}
	return r
}

func (c *controller) batchCommitted(m *batchStored, version table.Revision) {
	w := &c.writer
	w.busy, w.pause, w.version, w.owner.Sequence = false, 0, version, m.owner.Sequence
	c.jobs.BatchCommitted()
	if m.owner.Name != "" {
		return
	}
	c.flushLast()
	c.toEntries(&msg.OwnerClaim{Epoch: m.epoch})
	c.end("the process stops")
	w.retired.Put(true)
}

// flushLast sends what the last batch released.
func (c *controller) flushLast() {
	for _, s := range c.jobs.Messages() {
		c.toHost(s)
	}
	c.publish(c.jobs.Phases())
}
