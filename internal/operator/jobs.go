package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	maxTries   = 6
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	maxJobID   = 128   // bytes
	maxProgram = 65536 // bytes
	// phasePending is the initial state of charts/job.scxml.
	phasePending model.Phase = "pending"
)

// jobs writes what clients ask for into the job rows.
type jobs struct {
	table storage.Table
	final func(model.Phase) bool
}

// submit writes the row of a job. created is false when the same job had been
// submitted before. The error is *JobConflictError, storage.ErrUnavailable
// (not written) or storage.ErrOutcomeUnknown.
func (j jobs) submit(ctx context.Context, cell model.Cell, spec model.JobSpec) (row model.JobRow, created bool, err error) {
	key := rows.JobKey(cell, spec.ID)
	row = model.JobRow{Spec: spec, Phase: phasePending}
	txn := storage.Txn{
		Operation: operation("submit", key),
		Checks:    []storage.Check{{Key: key}},
		Puts:      []storage.Put{{Key: key, Value: rows.Encode(row)}},
	}
	err = j.settle(ctx, key, txn, func(found model.JobRow) error {
		row = found
		if !sameSpec(found.Spec, spec) {
			return &JobConflictError{Cell: cell, Job: spec.ID}
		}
		return errDone
	})
	switch {
	case err == nil:
		return row, true, nil
	case errors.Is(err, errDone):
		return row, false, nil
	}
	return model.JobRow{}, false, err
}

// errDone ends settle: the row shows that nothing is left to be written.
var errDone = errors.New("already done")

// settle commits a transaction that writes one row. After a conflict or an
// unknown outcome it reads the row and lets judge decide; a repeated commit
// is the same transaction, so it takes effect at most once.
func (j jobs) settle(ctx context.Context, key string, txn storage.Txn, judge func(model.JobRow) error) error {
	unknown := false
	delay := minBackoff
	for try := 0; ; try++ {
		_, err := j.table.Commit(ctx, txn)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
		case noEffect(err) && !unknown:
			return err
		case !noEffect(err):
			unknown = true
		}
		row, found, readErr := j.read(ctx, key)
		if readErr == nil && found {
			return judge(row)
		}
		if readErr != nil {
			err = readErr
		}
		if try == maxTries || !actor.Sleep(ctx, delay) {
			return fate(unknown, err)
		}
		delay = min(2*delay, maxBackoff)
	}
}

// noEffect reports whether an error says that a commit had no effect.
func noEffect(err error) bool {
	return errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrRefused)
}

// fate makes an error say whether the write may have taken effect.
func fate(unknown bool, err error) error {
	if unknown {
		return fmt.Errorf("%w: %v", storage.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %v", storage.ErrUnavailable, err)
}

func (j jobs) read(ctx context.Context, key string) (model.JobRow, bool, error) {
	row, err := j.table.Read(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return model.JobRow{}, false, nil
	} else if err != nil {
		return model.JobRow{}, false, err
	}
	v, err := rows.Decode[model.JobRow](row.Value)
	return v, err == nil, err
}

// show returns a job's row, or storage.ErrNotFound.
func (j jobs) show(ctx context.Context, cell model.Cell, id model.JobID) (model.JobRow, error) {
	row, found, err := j.read(ctx, rows.JobKey(cell, id))
	if err == nil && !found {
		err = unknownJob(cell, id)
	}
	return row, err
}

func unknownJob(cell model.Cell, id model.JobID) error {
	return fmt.Errorf("job %s in cell %q: %w", id, cell, storage.ErrNotFound)
}

// cancel records that a client wants a job cancelled. Repeating it has no
// further effect, so after an unknown outcome it is simply tried again.
func (j jobs) cancel(ctx context.Context, cell model.Cell, id model.JobID) (model.JobRow, error) {
	key := rows.JobKey(cell, id)
	unknown := false
	delay := minBackoff
	for try := 0; ; try++ {
		row, done, err := j.tryCancel(ctx, key)
		var conflict *storage.ConflictError
		switch {
		case errors.Is(err, storage.ErrNotFound):
			return row, unknownJob(cell, id)
		case done:
			return row, nil
		case noEffect(err) && !unknown:
			return row, err
		case !errors.As(err, &conflict) && !noEffect(err):
			unknown = true
		}
		if try == maxTries || !actor.Sleep(ctx, delay) {
			return row, fate(unknown, err)
		}
		delay = min(2*delay, maxBackoff)
	}
}

func (j jobs) tryCancel(ctx context.Context, key string) (row model.JobRow, done bool, err error) {
	stored, err := j.table.Read(ctx, key)
	if err != nil {
		if !errors.Is(err, storage.ErrNotFound) {
			err = fmt.Errorf("%w: %v", storage.ErrUnavailable, err)
		}
		return row, false, err
	}
	if row, err = rows.Decode[model.JobRow](stored.Value); err != nil {
		return row, false, fmt.Errorf("%w: row %s cannot be decoded: %v", storage.ErrUnavailable, key, err)
	}
	if row.CancelRequested || (j.final != nil && j.final(row.Phase)) {
		return row, true, nil
	}
	row.CancelRequested = true
	_, err = j.table.Commit(ctx, storage.Txn{
		Operation: operation("cancel", key),
		Checks:    []storage.Check{{Key: key, Version: stored.Version}},
		Puts:      []storage.Put{{Key: key, Value: rows.Encode(row)}},
	})
	return row, err == nil, err
}

// operation names a transaction; the random part tells it from a later one
// for the same row.
func operation(verb, key string) string { return verb + "/" + key + "/" + rand.Text() }

// sameSpec compares specs as their rows would have them: absent and empty
// labels are the same.
func sameSpec(a, b model.JobSpec) bool {
	if len(a.Labels) == 0 && len(b.Labels) == 0 {
		a.Labels, b.Labels = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// checkSpec returns every finding of a submitted job.
func checkSpec(s model.JobSpec, labels func(model.Labels) finding.List) finding.List {
	var found finding.List
	add := func(where, format string, args ...any) { found.Add("job", 0, where, format, args...) }
	if !jobName(string(s.ID)) {
		add("id", "must be 1 to %d letters, digits, dots, dashes or underscores", maxJobID)
	}
	if !jobName(string(s.Team)) {
		add("team", "must be 1 to %d letters, digits, dots, dashes or underscores", maxJobID)
	}
	if !jobName(string(s.Class)) {
		add("class", "must be 1 to %d letters, digits, dots, dashes or underscores", maxJobID)
	}
	if s.Resources.CPU <= 0 {
		add("resources.milliCpu", "must be positive")
	}
	if s.Resources.Memory <= 0 {
		add("resources.memory", "must be positive")
	}
	if s.Resources.Accelerators < 0 {
		add("resources.accelerators", "must not be negative")
	}
	if s.Program == "" || len(s.Program) > maxProgram {
		add("program", "must be 1 to %d bytes", maxProgram)
	}
	for _, f := range labels(s.Labels) {
		add("labels", "%s", f.Text)
	}
	return found
}

func jobName(s string) bool {
	for _, r := range s {
		letter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9')
		if !letter && r != '.' && r != '-' && r != '_' {
			return false
		}
	}
	return s != "" && s != "." && s != ".." && len(s) <= maxJobID
}
