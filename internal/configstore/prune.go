package configstore

import (
	"context"
	"fmt"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// prune deletes the log row of version newest-keepVersions, which is no longer
// kept after version newest was accepted, and the rows of the items that the
// deleted version removed. Without prune, the number of rows of removed items
// would grow by up to 3,300 a day. A failure is not retried: a row that stays is
// harmless.
func (e *editor) prune(ctx context.Context, newest model.ConfigVersion) {
	if newest <= e.keepVersions {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	entry, rev, err := readRow[rows.ConfigLog](ctx, e.table, rows.ConfigLogKey(newest-e.keepVersions))
	if err != nil || rev == 0 {
		return
	}
	state := tableState{}
	for _, c := range entry.Changes {
		change, row, err := readRow[model.ConfigChange](ctx, e.table, rows.ConfigKey(c.Key))
		if err != nil {
			return
		}
		state.keys = append(state.keys, keyState{revision: row, change: change})
	}
	_, _ = e.table.Commit(ctx, pruneTxn(entry, rev, state))
}

// pruneTxn returns the transaction that deletes the log row of an edit and the
// rows of the items that it removed. It is pure.
func pruneTxn(entry rows.ConfigLog, rev storage.Revision, state tableState) storage.Txn {
	key := rows.ConfigLogKey(entry.Version)
	t := storage.Txn{
		Operation: fmt.Sprintf("config/prune/%d", entry.Version),
		Checks:    []storage.Check{{Key: key, Version: rev}},
		Deletes:   []string{key},
	}
	for i, k := range state.keys {
		if k.revision == 0 || k.change.Version != entry.Version || k.change.Item != nil {
			continue // absent, set by this edit, or changed by a later one
		}
		row := rows.ConfigKey(entry.Changes[i].Key)
		t.Checks = append(t.Checks, storage.Check{Key: row, Version: k.revision})
		t.Deletes = append(t.Deletes, row)
	}
	return t
}
