package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// maxTries bounds the attempts of one edit; racing entries fail each
	// other's check of config/head at most once per accepted edit.
	maxTries = 12
	// editBudget bounds the time for one edit, so that a store outage does
	// not hold up the edits behind it for long.
	editBudget = 8 * time.Second
	// repeatWindow bounds how many log rows are read to recognise a repeated
	// edit; a repetition after more edits than this is reported as a conflict.
	repeatWindow = 200
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// editRequest asks the editor for one edit.
type editRequest struct {
	ctx    context.Context // of the requester
	edit   Edit
	answer actor.Reply[editAnswer]
}

type editAnswer struct {
	accepted EditResult
	err      error
}

// editor writes edits, one at a time.
type editor struct {
	table storage.Table
	node  actor.Address[message]
	log   log.Interface
	keep  model.ConfigVersion // versions that stay in the log
}

func (w *editor) run(ctx context.Context, in <-chan editRequest) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-in:
			if r.ctx.Err() != nil {
				r.answer.Put(editAnswer{err: fmt.Errorf("%w: the request ended while it waited", storage.ErrUnavailable)})
				continue
			}
			accepted, err := w.perform(ctx, r.edit)
			w.report(r.edit, accepted, err)
			r.answer.Put(editAnswer{accepted, err})
			if err == nil && !accepted.Repeated {
				w.prune(ctx, accepted.Version)
			}
		}
	}
}

func (w *editor) report(e Edit, a EditResult, err error) {
	fields := log.Fields{"edit": e.ID, "author": e.Author, "version": uint64(a.Version)}
	switch {
	case err == nil:
		event.Log(w.log, event.ConfigEditAccepted, fields)
	case errors.Is(err, storage.ErrOutcomeUnknown):
		fields["error"] = err.Error()
		event.Log(w.log, event.ConfigEditUnknown, fields)
	}
}

// attempt is the state of one edit over its tries.
type attempt struct {
	edit Edit
	// open lists the versions of commits whose outcome is unknown. Each of
	// them can only have been written as that version of the log.
	open []model.ConfigVersion
}

// perform makes an edit. After a commit with an unknown outcome it reads the
// log before it writes again: the edit's id there proves that it was
// accepted, and another id that this commit failed and will not succeed later.
func (w *editor) perform(ctx context.Context, e Edit) (EditResult, error) {
	ctx, cancel := context.WithTimeout(ctx, editBudget)
	defer cancel()
	a := &attempt{edit: e}
	delay := minBackoff
	var last error
	for range maxTries {
		accepted, again, err := w.try(ctx, a)
		if !again {
			return accepted, a.outcome(err)
		}
		last = err
		if !actor.Sleep(ctx, delay/2+rand.N(delay)) {
			break
		}
		delay = min(2*delay, maxBackoff)
	}
	return EditResult{}, a.outcome(last)
}

// outcome makes an error say unknown while a commit's outcome is.
func (a *attempt) outcome(err error) error {
	if err == nil || len(a.open) == 0 || errors.Is(err, storage.ErrOutcomeUnknown) {
		return err
	}
	return fmt.Errorf("%w: edit %s may have been accepted as version %d: %v", storage.ErrOutcomeUnknown, a.edit.ID, a.open[0], err)
}

func (w *editor) try(ctx context.Context, a *attempt) (accepted EditResult, again bool, err error) {
	if v, done, err := w.settle(ctx, a); err != nil {
		return EditResult{}, true, err
	} else if done {
		return EditResult{Version: v}, false, nil
	}
	now, err := w.read(ctx, a.edit)
	if err != nil {
		return EditResult{}, len(a.open) > 0, unavailable(err)
	}
	txn, entry, err := plan(a.edit, now, w.keep)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return w.conflicting(ctx, a, conflict)
	} else if err != nil {
		return EditResult{}, false, err
	}
	_, err = w.table.Commit(ctx, txn)
	var failed *storage.ConflictError
	switch {
	case err == nil:
		w.committed(ctx, entry)
		return EditResult{Version: entry.Version}, false, nil
	case errors.As(err, &failed):
		return EditResult{}, true, fmt.Errorf("%w: other edits were accepted first: %v", storage.ErrUnavailable, err)
	case errors.Is(err, storage.ErrUnavailable), errors.Is(err, storage.ErrRefused):
		return EditResult{}, len(a.open) > 0, err
	}
	a.open = append(a.open, entry.Version)
	return EditResult{}, true, fmt.Errorf("%w: %v", storage.ErrOutcomeUnknown, err)
}

// unavailable marks the error of a read, before anything was written.
func unavailable(err error) error {
	if errors.Is(err, storage.ErrUnavailable) {
		return err
	}
	return fmt.Errorf("%w: %v", storage.ErrUnavailable, err)
}

// settle reads the log rows of the commits whose outcome is unknown.
func (w *editor) settle(ctx context.Context, a *attempt) (model.ConfigVersion, bool, error) {
	var open []model.ConfigVersion
	for _, v := range a.open {
		entry, found, err := w.entry(ctx, v)
		switch {
		case err != nil:
			return 0, false, err
		case found && entry.Edit == a.edit.ID:
			a.open = nil
			w.committed(ctx, entry)
			return v, true, nil
		case !found:
			open = append(open, v) // it may still be on its way
		}
	}
	a.open = open
	return 0, false, nil
}

// conflicting tells a repetition of an accepted edit from a conflict.
func (w *editor) conflicting(ctx context.Context, a *attempt, c *ConflictError) (EditResult, bool, error) {
	v, err := w.find(ctx, a.edit.ID, c)
	if err != nil {
		return EditResult{}, true, err
	}
	a.open = nil // the head has moved past every version that was tried
	if v > 0 {
		return EditResult{Version: v, Repeated: true}, false, nil
	}
	return EditResult{}, false, c
}

// find returns the version of the edit with this id, or 0. It looks at the
// log from the change in conflict back to the edit's base.
func (w *editor) find(ctx context.Context, id string, c *ConflictError) (model.ConfigVersion, error) {
	low := c.Base
	if c.Version-low > repeatWindow {
		low = c.Version - repeatWindow
	}
	for v := c.Version; v > low; v-- {
		entry, found, err := w.entry(ctx, v)
		if err != nil {
			return 0, err
		}
		if found && entry.Edit == id {
			return v, nil
		}
	}
	return 0, nil
}

func (w *editor) committed(ctx context.Context, entry rows.ConfigLog) {
	// The poller delivers it as well when the node is too busy to take it now.
	_ = w.node.Send(ctx, &logged{entries: []rows.ConfigLog{entry}})
}

func (w *editor) entry(ctx context.Context, v model.ConfigVersion) (rows.ConfigLog, bool, error) {
	row, err := w.table.Read(ctx, rows.ConfigLogKey(v))
	if errors.Is(err, storage.ErrNotFound) {
		return rows.ConfigLog{}, false, nil
	} else if err != nil {
		return rows.ConfigLog{}, false, err
	}
	entry, err := rows.Decode[rows.ConfigLog](row.Value)
	return entry, err == nil, err
}

// read reads what an edit is decided on. The rows may be of different
// moments: the transaction's checks refuse a combination that is outdated.
func (w *editor) read(ctx context.Context, e Edit) (tableState, error) {
	var now tableState
	head, rev, err := readRow[rows.ConfigHead](ctx, w.table, rows.ConfigHeadKey)
	if err != nil {
		return now, err
	}
	now.head, now.headRow = head.Version, rev
	for _, c := range e.Changes {
		change, rev, err := readRow[model.ConfigChange](ctx, w.table, rows.ConfigKey(c.Key))
		if err != nil {
			return now, err
		}
		now.keys = append(now.keys, keyState{row: rev, change: change})
	}
	return now, nil
}

// readRow reads and decodes a row; an absent row is the zero value with
// version 0.
func readRow[T any](ctx context.Context, t storage.Table, key string) (T, storage.Revision, error) {
	var zero T
	row, err := t.Read(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return zero, 0, nil
	} else if err != nil {
		return zero, 0, err
	}
	v, err := rows.Decode[T](row.Value)
	if err != nil {
		return zero, 0, fmt.Errorf("row %s cannot be decoded: %w", key, err)
	}
	return v, row.Version, nil
}
