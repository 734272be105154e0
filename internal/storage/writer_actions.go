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

// commit sends the current transaction, perhaps once more.
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

// settle reports the outcome of every operation that was under way, after
// settling took effect at revision.
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

// failChecked removes the operations whose preconditions failed from the
// current transaction. While an earlier version of it is in doubt, they may
// have taken effect, so they are only held.
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
// invalid.
func (w *writerCore) failRefused() {
	w.log(event.WriteRefused, w.cause)
	for _, p := range w.current.ops {
		w.settleOp(p, 0, w.cause)
	}
	w.current = nil
}

// divide returns the operations of a refused transaction to the queue, to be
// sent one by one: one of them is invalid.
func (w *writerCore) split() {
	for _, p := range w.current.ops {
		p.separate = true
	}
	w.requeue()
}

// postpone returns the operations of a transaction that had no effect to the
// queue, unless an earlier version of it is in doubt.
func (w *writerCore) requeueUnlessUnconfirmed() {
	if len(w.unconfirmed) == 0 {
		w.requeue()
	}
}

func (w *writerCore) requeue() {
	ops := slices.DeleteFunc(w.current.ops, func(p *pending) bool { return p.withdrawn })
	w.queue = append(ops, w.queue...)
	w.current = nil
}

// enterDoubt notes that the current transaction may have taken effect.
func (w *writerCore) markUnconfirmed() {
	if !slices.Contains(w.unconfirmed, w.current) {
		w.unconfirmed = append(w.unconfirmed, w.current)
	}
}

// adopt accepts the version of a writer's row that someone else has written.
// What is in doubt stays unknown: it may have been overwritten.
func (w *writerCore) adoptVersion() {
	if w.version != 0 { // a successor finds its predecessor's row
		w.log(event.WriterRowMoved, nil)
	}
	if len(w.unconfirmed) > 0 {
		w.settleUnknown(errors.Wrap(ErrOutcomeUnknown, "the writer's row was changed by someone else"))
	} else {
		w.requeue()
	}
	w.version = w.revision
}

// giveUp ends a transaction that the service refuses although it did not
// refuse an earlier version of it.
func (w *writerCore) settleRefusedAsUnknown() {
	w.log(event.WriteRefused, w.cause)
	w.settleUnknown(fmt.Errorf("%w: %v", ErrOutcomeUnknown, w.cause))
}

// settleUnknown gives up every operation that was sent.
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

// backOff waits before the service is called again.
func (w *writerCore) backOff() {
	if w.backoff.Healthy() {
		w.log(event.StoreUnavailable, w.cause)
	}
	w.wait = w.backoff.Failure(w.now)
}
