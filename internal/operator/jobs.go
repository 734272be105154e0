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
	maxRetries       = 6
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxNameLength    = 128   // bytes
	maxProgramLength = 65536 // bytes
	// phasePending is the initial state of charts/job.scxml.
	phasePending model.Phase = "pending"
)

// jobStore reads job rows, and writes submissions and cancellations to them.
type jobStore struct {
	table   storage.Table
	isFinal func(model.Phase) bool
}

// submit writes the row of a job. created is false if the same job was already
// submitted. The error is *JobConflictError, storage.ErrUnavailable (not
// written), storage.ErrRefused or storage.ErrOutcomeUnknown.
func (j jobStore) submit(ctx context.Context, cell model.Cell, spec model.JobSpec) (row model.JobRow, created bool, err error) {
	key := rows.JobKey(cell, spec.ID)
	row = model.JobRow{Spec: spec, Phase: phasePending}
	txn := storage.Txn{
		Operation: operationID("submit", key),
		Checks:    []storage.Check{{Key: key}},
		Puts:      []storage.Put{{Key: key, Value: rows.Encode(row)}},
	}
	err = j.commitRow(ctx, key, txn, func(stored model.JobRow) error {
		row = stored
		if !sameSpec(stored.Spec, spec) {
			return &JobConflictError{Cell: cell, Job: spec.ID}
		}
		return errAlreadySubmitted
	})
	switch {
	case err == nil:
		return row, true, nil
	case errors.Is(err, errAlreadySubmitted):
		return row, false, nil
	}
	return model.JobRow{}, false, err
}

// errAlreadySubmitted ends commitRow: the stored row has the same
// specification, so nothing needs to be written.
var errAlreadySubmitted = errors.New("job was already submitted")

// commitRow commits a transaction that writes one row. After a conflict or an
// unknown outcome it reads the row and, if there is one, returns the result of
// resolve for it. Otherwise it repeats the commit with the same operation id,
// so the transaction takes effect at most once.
func (j jobStore) commitRow(ctx context.Context, key string, txn storage.Txn, resolve func(model.JobRow) error) error {
	outcomeUnknown := false
	delay := minBackoff
	for try := 0; ; try++ {
		_, err := j.table.Commit(ctx, txn)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
		case noEffect(err) && !outcomeUnknown:
			return err
		case !noEffect(err):
			outcomeUnknown = true
		}
		row, found, readErr := j.readJob(ctx, key)
		if readErr == nil && found {
			return resolve(row)
		}
		if readErr != nil {
			err = readErr
		}
		if try == maxRetries || !actor.Sleep(ctx, delay) {
			return retriesExhausted(outcomeUnknown, err)
		}
		delay = min(2*delay, maxBackoff)
	}
}

// noEffect reports whether an error says that a commit had no effect.
func noEffect(err error) bool {
	return errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrRefused)
}

// retriesExhausted wraps the last error of a write that is not tried again:
// with storage.ErrOutcomeUnknown if the write may have taken effect, otherwise
// with storage.ErrUnavailable.
func retriesExhausted(outcomeUnknown bool, err error) error {
	if outcomeUnknown {
		return fmt.Errorf("%w: %v", storage.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %v", storage.ErrUnavailable, err)
}

// readJob returns the row with a key, and false if there is none.
func (j jobStore) readJob(ctx context.Context, key string) (model.JobRow, bool, error) {
	row, err := j.table.Read(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return model.JobRow{}, false, nil
	} else if err != nil {
		return model.JobRow{}, false, err
	}
	job, err := rows.Decode[model.JobRow](row.Value)
	return job, err == nil, err
}

// show returns the row of a job, or storage.ErrNotFound.
func (j jobStore) show(ctx context.Context, cell model.Cell, id model.JobID) (model.JobRow, error) {
	row, found, err := j.readJob(ctx, rows.JobKey(cell, id))
	if err == nil && !found {
		err = unknownJob(cell, id)
	}
	return row, err
}

func unknownJob(cell model.Cell, id model.JobID) error {
	return fmt.Errorf("job %s in cell %q: %w", id, cell, storage.ErrNotFound)
}

// cancel sets CancelRequested in the row of a job that has not ended. A
// repetition has no further effect, so an unknown outcome is tried again.
func (j jobStore) cancel(ctx context.Context, cell model.Cell, id model.JobID) (model.JobRow, error) {
	key := rows.JobKey(cell, id)
	outcomeUnknown := false
	delay := minBackoff
	for try := 0; ; try++ {
		row, done, err := j.tryCancel(ctx, key)
		var conflict *storage.ConflictError
		switch {
		case errors.Is(err, storage.ErrNotFound):
			return row, unknownJob(cell, id)
		case done:
			return row, nil
		case noEffect(err) && !outcomeUnknown:
			return row, err
		case !errors.As(err, &conflict) && !noEffect(err):
			outcomeUnknown = true
		}
		if try == maxRetries || !actor.Sleep(ctx, delay) {
			return row, retriesExhausted(outcomeUnknown, err)
		}
		delay = min(2*delay, maxBackoff)
	}
}

// tryCancel makes one attempt of cancel. done is true if the row asks for the
// cancellation, or the job has ended.
func (j jobStore) tryCancel(ctx context.Context, key string) (row model.JobRow, done bool, err error) {
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
	if row.CancelRequested || (j.isFinal != nil && j.isFinal(row.Phase)) {
		return row, true, nil
	}
	row.CancelRequested = true
	_, err = j.table.Commit(ctx, storage.Txn{
		Operation: operationID("cancel", key),
		Checks:    []storage.Check{{Key: key, Version: stored.Version}},
		Puts:      []storage.Put{{Key: key, Value: rows.Encode(row)}},
	})
	return row, err == nil, err
}

// operationID returns the id of a transaction. The random part distinguishes it
// from later ones for the same row.
func operationID(verb, key string) string { return verb + "/" + key + "/" + rand.Text() }

// sameSpec reports whether two specifications are equal in their stored form,
// in which absent and empty labels are the same.
func sameSpec(a, b model.JobSpec) bool {
	if len(a.Labels) == 0 && len(b.Labels) == 0 {
		a.Labels, b.Labels = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// validateSpec returns the findings for a submitted job; validateLabels checks
// its labels.
func validateSpec(s model.JobSpec, validateLabels func(model.Labels) finding.List) finding.List {
	var findings finding.List
	add := func(element, format string, args ...any) { findings.Add("job", 0, element, format, args...) }
	if !validName(string(s.ID)) {
		add("id", "must be 1 to %d letters, digits, dots, dashes or underscores", maxNameLength)
	}
	if !validName(string(s.Team)) {
		add("team", "must be 1 to %d letters, digits, dots, dashes or underscores", maxNameLength)
	}
	if !validName(string(s.Class)) {
		add("class", "must be 1 to %d letters, digits, dots, dashes or underscores", maxNameLength)
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
	if s.Program == "" || len(s.Program) > maxProgramLength {
		add("program", "must be 1 to %d bytes", maxProgramLength)
	}
	for _, f := range validateLabels(s.Labels) {
		add("labels", "%s", f.Text)
	}
	return findings
}

// validName reports whether s can be the name of a cell, job, team or class.
func validName(s string) bool {
	for _, char := range s {
		letter := (char >= 'a' && char <= 'z') || (char >= 'A' && char <= 'Z') || (char >= '0' && char <= '9')
		if !letter && char != '.' && char != '-' && char != '_' {
			return false
		}
	}
	return s != "" && s != "." && s != ".." && len(s) <= maxNameLength
}
