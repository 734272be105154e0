// Package table holds the types of transactions at the table service. It does
// not know the service's protocol.
package table

import (
	"fmt"
	"strings"
)

// Revision numbers the committed transactions of the table service. A row's
// version is the revision of its last write; 0 means that it is absent.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key     string   `json:"key"`
	Value   []byte   `json:"value,omitempty"`
	Version Revision `json:"version"`
	Deleted bool     `json:"deleted,omitempty"` // only in the result of a scan or a watch
}

// Check is a precondition of a transaction: the row has this version. Version 0
// requires that the row is absent.
type Check struct {
	Key     string   `json:"key"`
	Version Revision `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is an atomic transaction. Operation identifies it, so that its outcome can
// be read back after a lost response.
type Txn struct {
	Operation string   `json:"operation"`
	Checks    []Check  `json:"checks,omitempty"`
	Puts      []Put    `json:"puts,omitempty"`
	Deletes   []string `json:"deletes,omitempty"`
}

// ConflictError reports the preconditions that failed; the transaction had no
// effect. Rows holds the current rows of the checks if the service returns
// them.
type ConflictError struct {
	Keys []string
	Rows []Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("precondition failed for %s", strings.Join(e.Keys, ", "))
}

// Outcome is what a caller knows of a transaction.
type Outcome uint8

// Outcomes of a transaction.
const (
	Unknown     Outcome = iota // it may have taken effect, or still take effect
	Committed                  // it took effect
	Conflict                   // a precondition failed
	Unavailable                // it had no effect and never will
	Refused                    // the service does not accept such a transaction
)

func (o Outcome) String() string {
	return [...]string{"unknown", "committed", "conflict", "unavailable", "refused"}[o]
}
