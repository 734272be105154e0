package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 10 * time.Second
	callTimeout = 5 * time.Second
	// heartbeatTimeout is below lease.StopPlacingAfter, so that after a lost response
	// the heartbeat can be written again before the owner has to hold.
	heartbeatTimeout = 2 * time.Second
)

// writerRow is the value of the row in which a writer records its last
// operation.
type writerRow struct {
	Operation string `json:"operation"`
}

// writer commits transactions one at a time and returns only when the outcome
// is known. Each transaction checks and replaces the writer's own row. The row
// shows whether a transaction whose response was lost took effect, and such a
// transaction cannot take effect after a later one.
type writer struct {
	table           storage.Table
	log             log.Interface
	key             string           // of the writer's row
	operationPrefix string           // of operation ids
	operations      uint64           // started so far
	version         storage.Revision // of the writer's row
	versionKnown    bool             // false: version must be read from the table
}

// preconditionError is the result of a transaction that certainly had no effect,
// because the rows of the keys had other versions than expected.
type preconditionError struct{ keys []string }

func (e preconditionError) Error() string {
	return "precondition failed for " + strings.Join(e.keys, ", ")
}

// commit commits a transaction and repeats it until its outcome is known. It
// returns the revision, a preconditionError, or the error of the context.
func (w *writer) commit(ctx context.Context, checks []storage.Check, puts []storage.Put) (storage.Revision, error) {
	w.operations++
	op := fmt.Sprintf("%s-%d", w.operationPrefix, w.operations)
	puts = append(puts, storage.Put{Key: w.key, Value: rows.Encode(writerRow{op})})
	for delay := minBackoff; ; delay = min(2*delay, maxBackoff) {
		rev, done, err := w.tryCommit(ctx, op, checks, puts)
		if done || ctx.Err() != nil {
			return rev, errors.CombineErrors(err, ctx.Err())
		}
		if err != nil { // otherwise only the writer's own row had changed
			event.Log(w.log, event.ControlStoreError, log.Fields{"operation": op, "error": err.Error()})
		}
		if !actor.Sleep(ctx, jitter(delay)) {
			return 0, ctx.Err()
		}
	}
}

// tryCommit commits the transaction once. done is false if it must be repeated.
func (w *writer) tryCommit(ctx context.Context, op string, checks []storage.Check, puts []storage.Put) (rev storage.Revision, done bool, err error) {
	if !w.versionKnown {
		// This is the first transaction, or the outcome of the last try is unknown.
		row, err := w.readBack(ctx)
		if err != nil {
			return 0, false, err
		}
		if row.Operation == op {
			return w.version, true, nil
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ownRow := storage.Check{Key: w.key, Version: w.version}
	rev, err = w.table.Commit(callCtx, storage.Txn{Operation: op, Checks: append(slices.Clone(checks), ownRow), Puts: puts})
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		w.version = rev
		return rev, true, nil
	case errors.As(err, &conflict):
		return w.conflict(ctx, op, conflict.Keys)
	case !errors.Is(err, storage.ErrUnavailable):
		w.versionKnown = false // the transaction may have taken effect
	}
	return 0, false, err
}

// conflict handles a conflict on the keys. It distinguishes a failed
// precondition from an earlier try of the same transaction that took effect.
func (w *writer) conflict(ctx context.Context, op string, keys []string) (storage.Revision, bool, error) {
	if !slices.Contains(keys, w.key) {
		return 0, true, preconditionError{keys}
	}
	w.versionKnown = false
	row, err := w.readBack(ctx)
	switch {
	case err != nil:
		return 0, false, err
	case row.Operation == op:
		return w.version, true, nil
	case len(keys) > 1:
		return 0, true, preconditionError{slices.DeleteFunc(slices.Clone(keys), func(k string) bool { return k == w.key })}
	}
	return 0, false, nil
}

// readBack reads the writer's own row.
func (w *writer) readBack(ctx context.Context) (writerRow, error) {
	row, version, err := readRow[writerRow](ctx, w.table, w.key)
	if err == nil {
		w.version, w.versionKnown = version, true
	}
	return row, err
}

// readRow reads and decodes a row. The version is 0 if the row does not exist.
func readRow[T any](ctx context.Context, t storage.Table, key string) (v T, version storage.Revision, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.Read(callCtx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, err
	}
	v, err = rows.Decode[T](row.Value)
	return v, row.Version, err
}

// jitter returns a random delay between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// commitRows carries out a Commit effect.
func (s *store) commitRows(ctx context.Context, effect Commit) Event {
	checks := []storage.Check{{Key: rows.CellEpochKey(s.cell), Version: effect.Fence}}
	var puts []storage.Put
	for _, r := range effect.Writes {
		key := rows.JobKey(s.cell, r.ID)
		checks = append(checks, storage.Check{Key: key, Version: r.Version})
		puts = append(puts, storage.Put{Key: key, Value: rows.Encode(r.Row)})
	}
	rev, err := s.writer.commit(ctx, checks, puts)
	var failed preconditionError
	switch {
	case err == nil:
		return Committed{Fence: effect.Fence, Revision: rev}
	case !errors.As(err, &failed):
		return nil // the context is done and the actor ends
	case slices.Contains(failed.keys, rows.CellEpochKey(s.cell)):
		return Rejected{Fence: effect.Fence, Fenced: true}
	}
	return s.readRejectedRows(ctx, effect.Fence, failed.keys)
}

// readRejectedRows reads the current rows of the failed keys and returns a
// Rejected. It repeats each read until it succeeds.
func (s *store) readRejectedRows(ctx context.Context, fence storage.Revision, keys []string) Event {
	r := Rejected{Fence: fence}
	for _, key := range keys {
		id := model.JobID(strings.TrimPrefix(key, rows.JobPrefix(s.cell)))
		for delay := minBackoff; ; delay = min(2*delay, maxBackoff) {
			row, version, err := readRow[model.JobRow](ctx, s.table, key)
			if err == nil {
				r.Rows = append(r.Rows, JobRow{ID: id, Row: row, Version: version, Deleted: version == 0})
				break
			}
			if !actor.Sleep(ctx, jitter(delay)) {
				return nil
			}
		}
	}
	return r
}

// claim carries out a Claim effect.
func (s *store) claim(ctx context.Context, effect Claim) Event {
	key := rows.CellEpochKey(s.cell)
	rev, err := s.writer.commit(ctx, []storage.Check{{Key: key, Version: effect.Version}},
		[]storage.Put{{Key: key, Value: rows.Encode(effect.Epoch)}})
	switch {
	case err == nil:
		return Claimed{Won: true, Version: rev}
	case ctx.Err() != nil:
		return nil
	}
	return Claimed{}
}

// writeHeartbeat carries out a WriteHeartbeat effect. It tries once, because the
// next heartbeat replaces a lost one.
func (s *store) writeHeartbeat(ctx context.Context, effect WriteHeartbeat) Event {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	fence := rows.CellEpochKey(s.cell)
	op := fmt.Sprintf("%s-beat-%d", s.writer.operationPrefix, effect.Heartbeat.Counter)
	_, err := s.table.Commit(callCtx, storage.Txn{
		Operation: op,
		Checks:    []storage.Check{{Key: fence, Version: effect.Fence}},
		Puts: []storage.Put{
			{Key: rows.CellHeartbeatKey(s.cell), Value: rows.Encode(effect.Heartbeat)},
			{Key: s.writer.key + "/beat", Value: rows.Encode(writerRow{op})},
		},
	})
	var conflict *storage.ConflictError
	return HeartbeatWritten{Fence: effect.Fence, Sent: effect.Sent, OK: err == nil, Fenced: errors.As(err, &conflict)}
}

// observe carries out an Observe effect.
func (s *store) observe(ctx context.Context) Event {
	epoch, version, err := readRow[rows.CellEpoch](ctx, s.table, rows.CellEpochKey(s.cell))
	if err != nil {
		return Observed{Err: err}
	}
	_, heartbeatVersion, err := readRow[rows.CellHeartbeat](ctx, s.table, rows.CellHeartbeatKey(s.cell))
	return Observed{Err: err, Epoch: epoch, EpochVersion: version, HeartbeatVersion: heartbeatVersion}
}

// scan carries out a Scan effect.
func (s *store) scan(ctx context.Context, effect Scan) Event {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	found, through, err := s.table.Scan(callCtx, rows.JobPrefix(s.cell), effect.After)
	e := Scanned{Fence: effect.Fence, Err: err, Through: through}
	for _, r := range found {
		row := JobRow{ID: model.JobID(strings.TrimPrefix(r.Key, rows.JobPrefix(s.cell))), Version: r.Version, Deleted: r.Deleted}
		if !r.Deleted {
			if row.Row, err = rows.Decode[model.JobRow](r.Value); err != nil {
				event.Log(s.log, event.ControlRowMalformed, log.Fields{"key": r.Key, "error": err.Error()})
				continue
			}
		}
		e.Rows = append(e.Rows, row)
	}
	return e
}
