// Package storage holds the clients of the platform's transactional table
// service and object store. It does not know what the rows mean.
package storage

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Revision numbers the committed transactions of the table service. A row's
// version is the revision of its last write; 0 means that it is absent.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key     string   `json:"key"`
	Value   []byte   `json:"value,omitempty"`
	Version Revision `json:"version"`
	Deleted bool     `json:"deleted,omitempty"` // only in the result of Scan
}

// Check is a precondition of a transaction: the row has this version.
type Check struct {
	Key     string   `json:"key"`
	Version Revision `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: all of it takes effect, or nothing. Operation
// identifies it, so that its fate can be read back after a lost response.
type Txn struct {
	Operation string   `json:"operation"`
	Checks    []Check  `json:"checks,omitempty"`
	Puts      []Put    `json:"puts,omitempty"`
	Deletes   []string `json:"deletes,omitempty"`
}

// Errors of the table service and the object store. ErrUnavailable: the
// operation certainly had no effect. ErrUnknown: it may have taken effect.
// ErrRefused: the service does not accept such an operation, so it had no
// effect and must not be repeated.
var (
	ErrUnavailable = errors.New("platform service is unavailable")
	ErrUnknown     = errors.New("outcome of the operation at the platform service is unknown")
	ErrNotFound    = errors.New("not found")
	ErrRefused     = errors.New("refused by the platform service as invalid")
)

// ConflictError says which preconditions of a transaction failed. Nothing of
// the transaction took effect.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("precondition failed for %s", strings.Join(e.Keys, ", "))
}

// Table is the transactional table service.
type Table interface {
	// Commit applies a transaction. The error is a *ConflictError,
	// ErrUnavailable, ErrRefused, ErrUnknown or the context's error (then it is
	// unknown).
	Commit(ctx context.Context, t Txn) (Revision, error)
	// Read returns a row, or ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns the rows with the prefix that changed after a revision,
	// deletions included, and the revision up to which the result is complete.
	Scan(ctx context.Context, prefix string, after Revision) ([]Row, Revision, error)
}

// Objects is the object store. Errors of Put and Delete are ErrUnavailable,
// ErrUnknown, ErrRefused or the context's error; writing the same content
// again is harmless.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error) // ErrNotFound, ErrUnavailable
	Delete(ctx context.Context, name string) error
}
