package configstore

import (
	"context"
	"fmt"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// prune removes the edit that leaves the log when a version was accepted, and
// the rows of items that it removed. Without this, rows of removed items would
// grow by up to 3,300 a day. A row that could not be removed stays; it does
// no harm, so that is not tried again.
func (w *editor) prune(ctx context.Context, accepted model.ConfigVersion) {
	if accepted <= w.keep {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, editBudget)
	defer cancel()
	entry, rev, err := readRow[rows.ConfigLog](ctx, w.table, rows.ConfigLogKey(accepted-w.keep))
	if err != nil || rev == 0 {
		return
	}
	now := tableState{}
	for _, c := range entry.Changes {
		change, row, err := readRow[model.ConfigChange](ctx, w.table, rows.ConfigKey(c.Key))
		if err != nil {
			return
		}
		now.keys = append(now.keys, keyState{row: row, change: change})
	}
	_, _ = w.table.Commit(ctx, pruning(entry, rev, now))
}

// pruning returns the transaction that removes an edit from the log. It is
// pure.
func pruning(entry rows.ConfigLog, rev storage.Revision, now tableState) storage.Txn {
	key := rows.ConfigLogKey(entry.Version)
	t := storage.Txn{
		Operation: fmt.Sprintf("config/prune/%d", entry.Version),
		Checks:    []storage.Check{{Key: key, Version: rev}},
		Deletes:   []string{key},
	}
	for i, k := range now.keys {
		if k.row == 0 || k.change.Version != entry.Version || k.change.Item != nil {
			continue // set again, or removed by a later edit
		}
		row := rows.ConfigKey(entry.Changes[i].Key)
		t.Checks = append(t.Checks, storage.Check{Key: row, Version: k.row})
		t.Deletes = append(t.Deletes, row)
	}
	return t
}
