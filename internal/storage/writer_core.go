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

// writerRow is the value of a writer's row: the last transaction that took
// effect. Its result, the revision, is the row's version.
type writerRow struct {
	Operation string `json:"operation"`
}

// settlement is an operation whose outcome is known, or will never be.
type settlement struct {
	op *pending
	WriteResult
}

// notice is a log event.
type logRecord struct {
	event  event.Event
	fields log.Fields
}

// effects are what the writer's actor has to carry out.
type effects struct {
	commit     *Txn
	read       bool // of the writer's row
	settled    []settlement
	logRecords []logRecord
}

// writerCore decides what a writer does. It is pure: it is told what happened
// and when, and records effects. An operation is in exactly one of queue (it
// certainly has no effect so far) and the batches.
type writerCore struct {
	key, prefix string
	maxQueued   int // of queue
	state       chart.State
	wakeAt      time.Time // when the state's delay ends; zero: never
	backoff     *Backoff

	version Revision // of the writer's row, as far as known
	lastSeq uint64
	queue   []*pending
	current *batch
	// doubt are the versions of current that were sent and may have taken
	// effect, oldest first; each contains the later ones. All check the
	// writer's row at the same version, so at most one takes effect.
	unconfirmed []*batch
	deferred    []settlement // failed, unless an older version of current took effect

	// Set for the event that is being handled.
	now        time.Time
	wait       time.Duration   // of a pause
	failedKeys map[string]bool // keys of a conflict
	cause      error
	revision   Revision // of settling or of the writer's row
	applied    *batch
	fenced     bool // the service reported that the writer's row has changed

	out effects
}

func newWriterCore(key, prefix string, maxQueued int, b *Backoff) *writerCore {
	return &writerCore{key: key, prefix: prefix, maxQueued: maxQueued, backoff: b, state: writerChart.Initial()}
}

// take returns the effects since the last call.
func (w *writerCore) takeEffects() effects {
	out := w.out
	w.out = effects{}
	return out
}

// step feeds an event and sets the alarm of the state that it enters.
func (w *writerCore) step(e chart.Event) {
	if !writerChart.Step(w, &w.state, e) {
		return
	}
	w.wakeAt = time.Time{}
	if w.state == wsPausing {
		w.wakeAt = w.now.Add(w.wait)
	} else if d, _, ok := writerChart.Timeout(w.state); ok {
		w.wakeAt = w.now.Add(d)
		w.step(weEnqueued) // the queue may fill a transaction already
	}
}

// expired handles the end of the state's delay.
func (w *writerCore) delayElapsed(now time.Time) {
	w.now = now
	if _, e, ok := writerChart.Timeout(w.state); ok {
		w.step(e)
		return
	}
	w.step(weResume)
}

// offer queues an operation, or refuses it if the queue is full.
func (w *writerCore) enqueue(p *pending, now time.Time) {
	if len(w.queue) >= w.maxQueued {
		w.settleOp(p, 0, errors.Wrap(ErrUnavailable, "the queue of writes is full"))
		return
	}
	w.now = now
	w.queue = append(w.queue, p)
	w.step(weEnqueued)
}

// withdraw settles an operation whose caller no longer waits: it is dropped
// if it was not sent, else its outcome is unknown to the caller.
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

// committed handles the answer to a commit.
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
		// The same content is refused every time, so earlier copies had no
		// effect either.
		w.unconfirmed = slices.DeleteFunc(w.unconfirmed, func(b *batch) bool { return b == w.current })
		w.step(weRefused)
	default:
		w.step(weUnknown)
	}
}

// rowRead handles the answer to the reading of the writer's row.
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

// succeed settles b, which took effect.
func (w *writerCore) handleSuccess(b *batch, rev Revision, e chart.Event) {
	wasUnhealthy := !w.backoff.Healthy()
	w.applied, w.revision, w.wait = b, rev, w.backoff.Success(w.now)
	if wasUnhealthy && w.backoff.Healthy() {
		w.log(event.StoreRecovered, nil)
	}
	w.step(e)
}

func (w *writerCore) settleOp(p *pending, rev Revision, err error) {
	w.out.settled = append(w.out.settled, settlement{p, WriteResult{rev, err}})
}

func (w *writerCore) log(e event.Event, cause error) {
	f := log.Fields{"writer": w.key}
	if cause != nil {
		f["error"] = cause.Error()
	}
	w.out.logRecords = append(w.out.logRecords, logRecord{e, f})
}

// blamed counts the operations of the current batch that check a failed key.
func (w *writerCore) countFailedOps() (n int) {
	for _, p := range w.current.ops {
		if len(p.failedChecks(w.failedKeys)) > 0 {
			n++
		}
	}
	return n
}

func (w *writerCore) queuedRows() (n int) {
	for _, p := range w.queue {
		n += len(p.rows)
	}
	return n
}

// newBatch gives a transaction a new operation id: its content differs from
// every one before.
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
