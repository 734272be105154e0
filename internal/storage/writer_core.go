package storage

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
)

// writerRow is the value of a writer's row: the operation id of the last
// transaction that took effect. The version of the row is its revision.
type writerRow struct {
	Operation string `json:"operation"`
}

// settlement is an operation and its final result, which may be
// ErrOutcomeUnknown.
type settlement struct {
	op *pending
	WriteResult
}

// logRecord is an event to be logged.
type logRecord struct {
	event  event.Event
	fields log.Fields
}

// effects are carried out by the writer's actor.
type effects struct {
	commit     *Txn
	read       bool // of the writer's row
	settled    []settlement
	logRecords []logRecord
}

// writerCore makes the decisions of a writer. It is pure: the caller passes the
// events and the time, and carries out the effects. An operation that is not
// settled is either in queue, and has had no effect, or in current or a batch of
// unconfirmed.
type writerCore struct {
	key, prefix string // of the writer's row; of the operation ids
	maxQueued   int    // operations in queue
	state       chart.State
	wakeAt      time.Time // when the state's delay ends; zero: never
	backoff     *Backoff

	version Revision // of the writer's row; 0 until the first commit or read
	lastSeq uint64   // in the last operation id
	queue   []*pending
	current *batch
	// unconfirmed are the versions of current that were sent and may have
	// taken effect, oldest first; each contains the operations of the later
	// ones. All check the same version of the writer's row, so at most one
	// takes effect.
	unconfirmed []*batch
	deferred    []settlement // failures, unless an older version of current took effect

	// Inputs of the event that is being handled.
	now        time.Time
	wait       time.Duration   // of a pause
	failedKeys map[string]bool // keys of a conflict
	cause      error
	revision   Revision // at which applied took effect, or of the writer's row
	applied    *batch
	fenced     bool // the service reported that the writer's row has changed

	out effects
}

func newWriterCore(key, prefix string, maxQueued int, b *Backoff) *writerCore {
	return &writerCore{key: key, prefix: prefix, maxQueued: maxQueued, backoff: b, state: writerChart.Initial()}
}

// takeEffects returns and clears the effects since the last call.
func (w *writerCore) takeEffects() effects {
	out := w.out
	w.out = effects{}
	return out
}

// step processes an event and sets wakeAt for the state that it enters.
func (w *writerCore) step(e chart.Event) {
	if !writerChart.Step(w, &w.state, e) {
		return
	}
	w.wakeAt = time.Time{}
	if w.state == wsPausing {
		w.wakeAt = w.now.Add(w.wait)
	} else if d, _, ok := writerChart.Timeout(w.state); ok {
		w.wakeAt = w.now.Add(d)
		w.step(weEnqueued) // the queue may already suffice for a full transaction
	}
}

// delayElapsed handles the end of the state's delay.
func (w *writerCore) delayElapsed(now time.Time) {
	w.now = now
	if _, e, ok := writerChart.Timeout(w.state); ok {
		w.step(e)
		return
	}
	w.step(weResume)
}

// enqueue adds an operation to the queue. If the queue is full, it settles the
// operation as ErrUnavailable.
func (w *writerCore) enqueue(p *pending, now time.Time) {
	if len(w.queue) >= w.maxQueued {
		w.settleOp(p, 0, errors.Wrap(ErrUnavailable, "the queue of writes is full"))
		return
	}
	w.now = now
	w.queue = append(w.queue, p)
	w.step(weEnqueued)
}

// withdraw settles an operation whose caller no longer waits: as
// ErrUnavailable if it is still in the queue, otherwise as ErrOutcomeUnknown.
func (w *writerCore) withdraw(p *pending, now time.Time) {
	w.now = now
	if i := slices.Index(w.queue, p); i >= 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
		w.settleOp(p, 0, errors.Wrap(ErrUnavailable, "withdrawn before it was sent"))
		w.step(weWithdrawn)
		return
	}
	p.withdrawn = true
	w.settleOp(p, 0, errors.Wrap(ErrOutcomeUnknown, "withdrawn after it was sent"))
}

// commitReturned handles the result of a commit.
func (w *writerCore) commitReturned(rev Revision, err error, now time.Time) {
	var conflict *ConflictError
	w.now, w.cause, w.fenced = now, err, false
	switch {
	case err == nil:
		w.handleSuccess(w.current, rev, weCommitted)
	case errors.As(err, &conflict):
		w.failedKeys = map[string]bool{}
		for _, k := range conflict.Keys {
			w.failedKeys[k] = true
		}
		if w.fenced = w.failedKeys[w.key]; w.fenced {
			w.step(weFenced)
			return
		}
		w.step(weConflict)
	case errors.Is(err, ErrUnavailable):
		w.step(weUnavailable)
	case errors.Is(err, ErrRefused):
		// The service refuses the same transaction every time, so earlier
		// requests with it had no effect either.
		w.unconfirmed = slices.DeleteFunc(w.unconfirmed, func(b *batch) bool { return b == w.current })
		w.step(weRefused)
	default:
		w.step(weUnknown)
	}
}

// readReturned handles the result of a read of the writer's row.
func (w *writerCore) readReturned(row Row, err error, now time.Time) {
	w.now, w.cause = now, err
	if err != nil && !errors.Is(err, ErrNotFound) {
		w.step(weUnavailable)
		return
	}
	var value writerRow
	if err == nil {
		_ = json.Unmarshal(row.Value, &value) // a malformed value names no operation of this writer
	}
	w.revision = row.Version
	for _, b := range w.unconfirmed {
		if b.operation == value.Operation {
			w.handleSuccess(b, row.Version, weCommitFound)
			return
		}
	}
	if row.Version == w.version {
		w.step(weRowUnchanged)
		return
	}
	w.step(weRowChanged)
}

// handleSuccess processes event e, by which b is known to have taken effect at
// rev.
func (w *writerCore) handleSuccess(b *batch, rev Revision, e chart.Event) {
	wasUnhealthy := !w.backoff.Healthy()
	w.applied, w.revision, w.wait = b, rev, w.backoff.Success(w.now)
	if wasUnhealthy && w.backoff.Healthy() {
		w.logEvent(event.StoreRecovered, nil)
	}
	w.step(e)
}

func (w *writerCore) settleOp(p *pending, rev Revision, err error) {
	w.out.settled = append(w.out.settled, settlement{p, WriteResult{rev, err}})
}

func (w *writerCore) logEvent(e event.Event, cause error) {
	f := log.Fields{"writer": w.key}
	if cause != nil {
		f["error"] = cause.Error()
	}
	w.out.logRecords = append(w.out.logRecords, logRecord{e, f})
}

// countFailedOps returns the number of operations of the current batch that
// check a failed key.
func (w *writerCore) countFailedOps() (n int) {
	for _, p := range w.current.ops {
		if len(p.failedChecks(w.failedKeys)) > 0 {
			n++
		}
	}
	return n
}

// queuedRows returns the number of rows of the queued operations; a row of
// several operations counts more than once.
func (w *writerCore) queuedRows() (n int) {
	for _, p := range w.queue {
		n += len(p.rows)
	}
	return n
}

// newBatch returns a batch with a new operation id: its transaction differs
// from every earlier one.
func (w *writerCore) newBatch(ops []*pending) *batch {
	w.lastSeq++
	return &batch{w.prefix + "/" + strconv.FormatUint(w.lastSeq, 10), ops}
}

// abandon settles everything when the writer stops.
func (w *writerCore) abandon() {
	for _, p := range w.queue {
		w.settleOp(p, 0, errors.Wrap(ErrUnavailable, "the writer stopped before it was sent"))
	}
	w.settleUnknown(fmt.Errorf("%w: the writer stopped", ErrOutcomeUnknown))
	w.queue = nil
}
