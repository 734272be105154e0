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
	// maxAttempts bounds the attempts to commit one edit. An attempt fails the
	// check of config/head when another entry committed an edit first: at most
	// once per accepted edit.
	maxAttempts = 12
	// editTimeout bounds the time for one edit: the editor handles one at a
	// time, so during an outage of the table the queued edits wait for it.
	editTimeout = 8 * time.Second
	// maxRepeatLookback bounds how many log rows are read to recognise a
	// repeated edit. A repetition after more edits is reported as a conflict.
	maxRepeatLookback = 200
	minRetryDelay     = 50 * time.Millisecond // between attempts; doubles up to maxRetryDelay
	maxRetryDelay     = time.Second
)

// editRequest asks the editor to commit one edit.
type editRequest struct {
	ctx   context.Context // of the requester
	edit  Edit
	reply actor.Reply[editReply]
}

type editReply struct {
	result EditResult
	err    error
}

// editor is the actor that commits edits to the table, one at a time.
type editor struct {
	table        storage.Table
	node         actor.Address[message]
	log          log.Interface
	keepVersions model.ConfigVersion // number of versions kept in the log
}

func (e *editor) run(ctx context.Context, in <-chan editRequest) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-in:
			if request.ctx.Err() != nil {
				request.reply.Put(editReply{err: fmt.Errorf("%w: the request ended while the edit was queued", storage.ErrUnavailable)})
				continue
			}
			result, err := e.perform(ctx, request.edit)
			e.logOutcome(request.edit, result, err)
			request.reply.Put(editReply{result, err})
			if err == nil && !result.Repeated {
				e.prune(ctx, result.Version)
			}
		}
	}
}

// logOutcome logs an accepted edit, and one whose outcome is unknown.
func (e *editor) logOutcome(edit Edit, result EditResult, err error) {
	fields := log.Fields{"edit": edit.ID, "author": edit.Author, "version": uint64(result.Version)}
	switch {
	case err == nil:
		event.Log(e.log, event.ConfigEditAccepted, fields)
	case errors.Is(err, storage.ErrOutcomeUnknown):
		fields["error"] = err.Error()
		event.Log(e.log, event.ConfigEditUnknown, fields)
	}
}

// pendingEdit is the state of one edit across the attempts to commit it.
type pendingEdit struct {
	edit Edit
	// unconfirmed lists the versions of commits whose outcome is unknown. If
	// such a commit took effect, the log row of its version holds the edit's id.
	unconfirmed []model.ConfigVersion
}

// perform commits an edit. After a commit with an unknown outcome it reads the
// log row of that version before it commits again: the edit's id there proves
// that the commit took effect, another id that it failed and cannot take
// effect later.
func (e *editor) perform(ctx context.Context, edit Edit) (EditResult, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	p := &pendingEdit{edit: edit}
	delay := minRetryDelay
	var lastErr error
	for range maxAttempts {
		result, retry, err := e.tryOnce(ctx, p)
		if !retry {
			return result, p.withOutcome(err)
		}
		lastErr = err
		if !actor.Sleep(ctx, delay/2+rand.N(delay)) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return EditResult{}, p.withOutcome(lastErr)
}

// withOutcome wraps err as ErrOutcomeUnknown while the outcome of a commit of
// the edit is unknown.
func (p *pendingEdit) withOutcome(err error) error {
	if err == nil || len(p.unconfirmed) == 0 || errors.Is(err, storage.ErrOutcomeUnknown) {
		return err
	}
	return fmt.Errorf("%w: edit %s may have been accepted as version %d: %v", storage.ErrOutcomeUnknown, p.edit.ID, p.unconfirmed[0], err)
}

// tryOnce makes one attempt. retry is set when another attempt may succeed or
// may determine the outcome of an earlier commit.
func (e *editor) tryOnce(ctx context.Context, p *pendingEdit) (result EditResult, retry bool, err error) {
	if v, done, err := e.resolveUnconfirmed(ctx, p); err != nil {
		return EditResult{}, true, err
	} else if done {
		return EditResult{Version: v}, false, nil
	}
	state, err := e.readState(ctx, p.edit)
	if err != nil {
		return EditResult{}, len(p.unconfirmed) > 0, readError(err)
	}
	txn, entry, err := planEdit(p.edit, state, e.keepVersions)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return e.resolveConflict(ctx, p, conflict)
	} else if err != nil {
		return EditResult{}, false, err
	}
	_, err = e.table.Commit(ctx, txn)
	var checkFailed *storage.ConflictError
	switch {
	case err == nil:
		e.notifyNode(ctx, entry)
		return EditResult{Version: entry.Version}, false, nil
	case errors.As(err, &checkFailed):
		return EditResult{}, true, fmt.Errorf("%w: other edits were accepted first: %v", storage.ErrUnavailable, err)
	case errors.Is(err, storage.ErrUnavailable), errors.Is(err, storage.ErrRefused):
		return EditResult{}, len(p.unconfirmed) > 0, err
	}
	p.unconfirmed = append(p.unconfirmed, entry.Version)
	return EditResult{}, true, fmt.Errorf("%w: %v", storage.ErrOutcomeUnknown, err)
}

// readError wraps the error of a read as ErrUnavailable: the attempt wrote
// nothing.
func readError(err error) error {
	if errors.Is(err, storage.ErrUnavailable) {
		return err
	}
	return fmt.Errorf("%w: %v", storage.ErrUnavailable, err)
}

// resolveUnconfirmed reads the log rows of the commits whose outcome is
// unknown. It returns the version and true if one of them took effect.
func (e *editor) resolveUnconfirmed(ctx context.Context, p *pendingEdit) (model.ConfigVersion, bool, error) {
	var unconfirmed []model.ConfigVersion
	for _, v := range p.unconfirmed {
		entry, found, err := e.readLogEntry(ctx, v)
		switch {
		case err != nil:
			return 0, false, err
		case found && entry.Edit == p.edit.ID:
			p.unconfirmed = nil
			e.notifyNode(ctx, entry)
			return v, true, nil
		case !found:
			unconfirmed = append(unconfirmed, v) // the commit may still take effect
		}
	}
	p.unconfirmed = unconfirmed
	return 0, false, nil
}

// resolveConflict distinguishes the repetition of an accepted edit from a
// conflict.
func (e *editor) resolveConflict(ctx context.Context, p *pendingEdit, c *ConflictError) (EditResult, bool, error) {
	v, err := e.findEdit(ctx, p.edit.ID, c)
	if err != nil {
		return EditResult{}, true, err
	}
	p.unconfirmed = nil // the head has passed their versions, so the log shows the outcome
	if v > 0 {
		return EditResult{Version: v, Repeated: true}, false, nil
	}
	return EditResult{}, false, c
}

// findEdit returns the version of the edit with this id, or 0 if it is not
// found. It searches the log from the conflicting change back to the edit's
// base.
func (e *editor) findEdit(ctx context.Context, id string, c *ConflictError) (model.ConfigVersion, error) {
	minVersion := c.Base
	if c.Version-minVersion > maxRepeatLookback {
		minVersion = c.Version - maxRepeatLookback
	}
	for version := c.Version; version > minVersion; version-- {
		entry, found, err := e.readLogEntry(ctx, version)
		if err != nil {
			return 0, err
		}
		if found && entry.Edit == id {
			return version, nil
		}
	}
	return 0, nil
}

// notifyNode sends a committed edit to the node without waiting for the poll.
func (e *editor) notifyNode(ctx context.Context, entry rows.ConfigLog) {
	// An error is ignored because the poller delivers the edit as well.
	_ = e.node.Send(ctx, &committedEdits{entries: []rows.ConfigLog{entry}})
}

// readLogEntry reads the log row of a version. It returns false if the row is
// absent.
func (e *editor) readLogEntry(ctx context.Context, v model.ConfigVersion) (rows.ConfigLog, bool, error) {
	row, err := e.table.Read(ctx, rows.ConfigLogKey(v))
	if errors.Is(err, storage.ErrNotFound) {
		return rows.ConfigLog{}, false, nil
	} else if err != nil {
		return rows.ConfigLog{}, false, err
	}
	entry, err := rows.Decode[rows.ConfigLog](row.Value)
	return entry, err == nil, err
}

// readState reads the rows that an edit is checked against. They are not read
// at one revision: the checks of the transaction fail if a row has changed.
func (e *editor) readState(ctx context.Context, edit Edit) (tableState, error) {
	var state tableState
	head, rev, err := readRow[rows.ConfigHead](ctx, e.table, rows.ConfigHeadKey)
	if err != nil {
		return state, err
	}
	state.head, state.headRevision = head.Version, rev
	for _, c := range edit.Changes {
		change, rev, err := readRow[model.ConfigChange](ctx, e.table, rows.ConfigKey(c.Key))
		if err != nil {
			return state, err
		}
		state.keys = append(state.keys, keyState{revision: rev, change: change})
	}
	return state, nil
}

// readRow reads and decodes a row. For an absent row it returns the zero value
// and revision 0.
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
