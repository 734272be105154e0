package storage

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/event"
)

// Actions of charts/writer.scxml.

// assemble takes operations from the queue into a new transaction.
func (w *writerCore) assemble() {
	var ops []*pending
	ops, w.queue = selectBatch(w.queue)
	w.current = w.newBatch(ops)
}

// commit sends the current transaction. It may have been sent before.
func (w *writerCore) commit() {
	value, err := json.Marshal(writerRow{w.current.operation})
	if err != nil {
		panic(err) // a struct of one string can always be encoded
	}
	t := w.current.txn(w.key, w.version, value)
	w.out.commit = &t
}

// readBack reads the writer's row.
func (w *writerCore) readBack() { w.out.read = true }

// settle reports the outcome of all operations in flight after the batch
// applied took effect at revision: its operations succeeded, and the deferred
// failures of operations that are not part of it are final.
func (w *writerCore) settle() {
	for _, p := range w.applied.ops {
		w.settleOp(p, w.revision, nil)
	}
	for _, h := range w.deferred {
		if !slices.Contains(w.applied.ops, h.op) {
			w.out.settled = append(w.out.settled, h)
		}
	}
	w.version = w.revision
	w.current, w.applied, w.unconfirmed, w.deferred = nil, nil, nil, nil
}

// failConflicting removes the operations whose checks failed from the current
// transaction. While an earlier version of it is unconfirmed, they may have
// taken effect, so their outcome is deferred.
func (w *writerCore) failConflicting() {
	var remaining []*pending
	for _, p := range w.current.ops {
		keys := p.failedChecks(w.failedKeys)
		switch {
		case len(keys) == 0:
			remaining = append(remaining, p)
		case len(w.unconfirmed) > 0:
			w.deferred = append(w.deferred, settlement{p, WriteResult{Err: &ConflictError{Keys: keys}}})
		default:
			w.settleOp(p, 0, &ConflictError{Keys: keys})
		}
	}
	w.current = w.newBatch(remaining)
}

// failRefused reports the only operation of the current transaction as
// refused.
func (w *writerCore) failRefused() {
	w.logEvent(event.WriteRefused, w.cause)
	for _, p := range w.current.ops {
		w.settleOp(p, 0, w.cause)
	}
	w.current = nil
}

// split returns the operations of a refused transaction to the queue to be
// sent in separate transactions, since at least one of them is invalid.
func (w *writerCore) split() {
	for _, p := range w.current.ops {
		p.separate = true
	}
	w.requeue()
}

// requeueUnlessUnconfirmed returns the operations of a transaction that had no
// effect to the queue. If an earlier version of it is unconfirmed, the
// transaction stays current.
func (w *writerCore) requeueUnlessUnconfirmed() {
	if len(w.unconfirmed) == 0 {
		w.requeue()
	}
}

// requeue returns the operations of the current transaction to the front of the
// queue, without those that were withdrawn.
func (w *writerCore) requeue() {
	ops := slices.DeleteFunc(w.current.ops, func(p *pending) bool { return p.withdrawn })
	w.queue = append(ops, w.queue...)
	w.current = nil
}

// markUnconfirmed records that the current transaction may have taken effect.
func (w *writerCore) markUnconfirmed() {
	if !slices.Contains(w.unconfirmed, w.current) {
		w.unconfirmed = append(w.unconfirmed, w.current)
	}
}

// adoptVersion accepts the version of the writer's row that another writer has
// written. The outcome of unconfirmed transactions remains unknown: one of them
// may have taken effect before the row was overwritten.
func (w *writerCore) adoptVersion() {
	if w.version != 0 { // version 0: the row of a predecessor, which is normal
		w.logEvent(event.WriterRowMoved, nil)
	}
	if len(w.unconfirmed) > 0 {
		w.settleUnknown(errors.Wrap(ErrOutcomeUnknown, "the writer's row was changed by another writer"))
	} else {
		w.requeue()
	}
	w.version = w.revision
}

// settleRefusedAsUnknown settles the operations of a transaction that the
// service refuses although an earlier version of it is unconfirmed.
func (w *writerCore) settleRefusedAsUnknown() {
	w.logEvent(event.WriteRefused, w.cause)
	w.settleUnknown(fmt.Errorf("%w: %v", ErrOutcomeUnknown, w.cause))
}

// settleUnknown settles every operation that was sent with err.
func (w *writerCore) settleUnknown(err error) {
	ops := map[*pending]bool{}
	for _, b := range append(w.unconfirmed, w.current) {
		if b == nil {
			continue
		}
		for _, p := range b.ops {
			if !ops[p] {
				ops[p] = true
				w.settleOp(p, 0, err)
			}
		}
	}
	w.current, w.unconfirmed, w.deferred = nil, nil, nil
}

// backOff records the failure and sets the pause before the next call.
func (w *writerCore) backOff() {
	if w.backoff.Healthy() {
		w.logEvent(event.StoreUnavailable, w.cause)
	}
	w.wait = w.backoff.Failure(w.now)
}
