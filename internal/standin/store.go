package standin

import (
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/storage"
)

// maxTxnRows is the largest number of rows that a transaction may write or
// delete.
const maxTxnRows = 128

// Committed is a transaction that took effect.
type Committed struct {
	Revision storage.Revision `json:"revision"`
	storage.Txn
}

// store holds the rows of a table.
type store struct {
	revision storage.Revision
	rows     map[string]storage.Row // deleted rows are kept as tombstones
	changes  []change               // in revision order; scan skips superseded entries
	history  []Committed
}

type change struct {
	revision storage.Revision
	key      string
}

func newStore() *store { return &store{rows: map[string]storage.Row{}} }

// version returns the revision that last wrote a row, or 0 if the row is absent
// or deleted.
func (s *store) version(key string) storage.Revision {
	if r := s.rows[key]; !r.Deleted {
		return r.Version
	}
	return 0
}

// commit applies a transaction and returns its revision. If keep is set, it adds
// the transaction to the history. The error is a storage.ConflictError or
// storage.ErrRefused.
func (s *store) commit(txn storage.Txn, keep bool) (storage.Revision, error) {
	if err := validateTxn(txn); err != nil {
		return 0, err
	}
	var failed []string
	for _, c := range txn.Checks {
		if s.version(c.Key) != c.Version && !slices.Contains(failed, c.Key) {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 0, &storage.ConflictError{Keys: failed}
	}
	s.revision++
	txn.Puts = slices.Clone(txn.Puts)
	for i, p := range txn.Puts {
		txn.Puts[i].Value = slices.Clone(p.Value)
		s.put(storage.Row{Key: p.Key, Value: txn.Puts[i].Value, Version: s.revision})
	}
	for _, key := range txn.Deletes {
		if s.version(key) != 0 {
			s.put(storage.Row{Key: key, Version: s.revision, Deleted: true})
		}
	}
	if keep {
		s.history = append(s.history, Committed{s.revision, txn})
	}
	s.compact()
	return s.revision, nil
}

// committedAfter returns the transactions of the history after a revision.
func (s *store) committedAfter(after storage.Revision) []Committed {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	return slices.Clone(s.history[first:])
}

// validateTxn returns storage.ErrRefused for a transaction that is too large or
// writes a row twice.
func validateTxn(txn storage.Txn) error {
	written := map[string]bool{}
	for _, p := range txn.Puts {
		written[p.Key] = true
	}
	for _, key := range txn.Deletes {
		written[key] = true
	}
	switch n := len(txn.Puts) + len(txn.Deletes); {
	case n > maxTxnRows:
		return errors.Wrapf(storage.ErrRefused, "transaction writes %d rows, limit is %d", n, maxTxnRows)
	case n != len(written):
		return errors.Wrap(storage.ErrRefused, "transaction writes a row twice")
	}
	return nil
}

func (s *store) put(r storage.Row) {
	s.rows[r.Key] = r
	s.changes = append(s.changes, change{r.Version, r.Key})
}

// compact drops superseded changes once they are about half of all. The constant
// avoids frequent compaction of a small table.
func (s *store) compact() {
	if len(s.changes) < 2*len(s.rows)+1024 {
		return
	}
	s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return s.rows[c.key].Version != c.revision })
}

func (s *store) read(key string) (storage.Row, error) {
	if s.version(key) == 0 {
		return storage.Row{}, storage.ErrNotFound
	}
	return s.rows[key], nil
}

// scan returns the rows with the prefix that changed after a revision,
// tombstones included, in the order of their last change.
func (s *store) scan(prefix string, after storage.Revision) []storage.Row {
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].revision > after })
	var rows []storage.Row
	for _, c := range s.changes[first:] {
		r := s.rows[c.key]
		if r.Version == c.revision && strings.HasPrefix(c.key, prefix) {
			rows = append(rows, r)
		}
	}
	return rows
}
