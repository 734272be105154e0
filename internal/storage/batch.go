package storage

import (
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// MaxTxnRows is the maximum number of rows of a transaction, from
// docs/design.md section 5.6. Rows that are only checked count as well.
const MaxTxnRows = 128

// Op is an operation of a writer. It takes effect as a whole or not at all,
// independently of the other operations in the same transaction.
type Op struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// WriteResult is the outcome of an Op.
type WriteResult struct {
	Revision Revision
	Err      error // as documented at Writer.Write
}

// access describes how an operation uses a row.
type access struct {
	write   bool
	check   bool
	version Revision // expected version if check is set
}

// conflictsWith reports whether two operations with these accesses to a row
// must not share a transaction: the later one must be applied after the
// earlier one, or they expect different versions.
func (a access) conflictsWith(b access) bool {
	return a.write || b.write || a.version != b.version
}

// pending is an operation without an outcome. After it is sent to the writer's
// actor, only that actor may use it.
type pending struct {
	op       Op
	rows     map[string]access // by key
	separate bool              // must not share a transaction
	// The caller no longer waits and has received ErrOutcomeUnknown.
	withdrawn bool
	reply     actor.Reply[WriteResult]
}

// newPending validates an operation and collects its rows. The error is
// ErrRefused.
func newPending(op Op) (*pending, error) {
	p := &pending{op: op, rows: map[string]access{}, reply: actor.NewReply[WriteResult]()}
	write := func(key string) error {
		a := p.rows[key]
		if a.write {
			return errors.Wrapf(ErrRefused, "row %q is written twice by one operation", key)
		}
		a.write = true
		p.rows[key] = a
		return nil
	}
	for _, c := range op.Checks {
		if a := p.rows[c.Key]; a.check && a.version != c.Version {
			return nil, errors.Wrapf(ErrRefused, "row %q is expected to have two versions", c.Key)
		}
		p.rows[c.Key] = access{check: true, version: c.Version}
	}
	for _, put := range op.Puts {
		if err := write(put.Key); err != nil {
			return nil, err
		}
	}
	for _, key := range op.Deletes {
		if err := write(key); err != nil {
			return nil, err
		}
	}
	if n := len(p.rows); n == 0 || n >= MaxTxnRows { // the writer's row counts as well
		return nil, errors.Wrapf(ErrRefused, "an operation has %d rows, must be 1 to %d", n, MaxTxnRows-1)
	}
	return p, nil
}

// failedChecks returns the keys among failed that the operation checks.
func (p *pending) failedChecks(failed map[string]bool) (keys []string) {
	for _, c := range p.op.Checks {
		if failed[c.Key] {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

// selectBatch returns the operations for the next transaction, in the order of
// the queue, and the operations that stay in the queue. An operation that
// conflicts with an earlier one stays, and so does every later one that
// conflicts with it.
func selectBatch(queue []*pending) (batch, remaining []*pending) {
	rows := map[string]access{}
	skipped := map[string]access{} // rows of the operations that stay in the queue
	for i, p := range queue {
		if len(rows) >= MaxTxnRows-1 || p.separate && len(batch) > 0 {
			return batch, append(remaining, queue[i:]...)
		}
		if !fits(p, rows, skipped) {
			remaining = append(remaining, p)
			addRows(skipped, p)
			continue
		}
		batch = append(batch, p)
		addRows(rows, p)
		if p.separate {
			return batch, append(remaining, queue[i+1:]...)
		}
	}
	return batch, remaining
}

// fits reports whether p can be added to a batch with these rows: it conflicts
// with neither the batch nor a skipped operation, and there are not too many
// rows.
func fits(p *pending, rows, skipped map[string]access) bool {
	added := 0
	for key, a := range p.rows {
		chosen, ok := rows[key]
		if ok && a.conflictsWith(chosen) {
			return false
		}
		if earlier, ok := skipped[key]; ok && a.conflictsWith(earlier) {
			return false
		}
		if !ok {
			added++
		}
	}
	return len(rows)+added < MaxTxnRows
}

// addRows adds the rows of p. Accesses that expect different versions are
// combined to a write, so that every later access to the row conflicts.
func addRows(rows map[string]access, p *pending) {
	for key, a := range p.rows {
		if other, ok := rows[key]; ok {
			a.write = a.write || other.write || a.version != other.version
		}
		rows[key] = a
	}
}

// batch holds the operations of one transaction and its operation id.
type batch struct {
	operation string
	ops       []*pending
}

// txn returns the transaction. It checks that the writer's row has the given
// version and writes it, so that at most one of the transactions that were
// sent with this version takes effect, however often each was sent.
func (b *batch) txn(key string, version Revision, value []byte) Txn {
	t := Txn{
		Operation: b.operation,
		Checks:    []Check{{Key: key, Version: version}},
		Puts:      []Put{{Key: key, Value: value}},
	}
	checked := map[string]bool{}
	for _, p := range b.ops {
		for _, c := range p.op.Checks {
			if !checked[c.Key] {
				checked[c.Key] = true
				t.Checks = append(t.Checks, c)
			}
		}
		t.Puts = append(t.Puts, p.op.Puts...)
		t.Deletes = append(t.Deletes, p.op.Deletes...)
	}
	return t
}
