// Package storage holds the clients of the platform's transactional table
// service and object store, and writers and pollers on top of them. It does
// not interpret the values of rows.
package storage

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/table"
)

// Types of the table service's transactions.
type (
	Revision      = table.Revision
	Row           = table.Row
	Check         = table.Check
	Put           = table.Put
	Txn           = table.Txn
	ConflictError = table.ConflictError
)

// Errors of the table service and the object store. ErrUnavailable: the
// operation had no effect and may be repeated. ErrOutcomeUnknown: it may have
// taken effect. ErrRefused: the operation is invalid; it had no effect and must
// not be repeated.
var (
	ErrUnavailable    = errors.New("platform service is unavailable")
	ErrOutcomeUnknown = errors.New("outcome of the operation at the platform service is unknown")
	ErrCompacted      = errors.New("the table service no longer has the changes")
	ErrNotListening   = errors.New("nothing listens at the address") // the connection was refused; wrapped together with ErrUnavailable
	ErrNotFound       = errors.New("not found")
	ErrRefused        = errors.New("refused by the platform service as invalid")
)

// Table is the transactional table service.
type Table interface {
	// Commit applies a transaction. The error is a *ConflictError,
	// ErrUnavailable, ErrRefused, ErrOutcomeUnknown or the context's error
	// (the outcome is unknown as well).
	Commit(ctx context.Context, t Txn) (Revision, error)
	// Read returns a row, or ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns the rows with the prefix that changed after a revision,
	// deletions included, and the revision up to which the result is complete.
	Scan(ctx context.Context, prefix string, after Revision) ([]Row, Revision, error)
}

// Watcher is a table service that supports long polls for changes of rows.
type Watcher interface {
	// Watch waits for rows with the prefix that changed after a revision, and
	// returns them and the revision up to which the result is complete. It
	// returns no rows when none changed within the given wait, and ErrCompacted
	// when the service no longer has the changes after the revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Row, Revision, error)
}

// Objects is the object store. Errors of Put and Delete are ErrUnavailable,
// ErrOutcomeUnknown, ErrRefused or the context's error. Put and Delete may be
// repeated: a repetition has no further effect.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error) // ErrNotFound, ErrUnavailable
	Delete(ctx context.Context, name string) error
}
