package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// contendedTable is a table service in which another process changes the
// writer's row before each of the first commits.
type contendedTable struct {
	storage.Table
	key       string
	conflicts int
	version   storage.Revision
	commits   []time.Time
}

func (t *contendedTable) Commit(context.Context, storage.Txn) (storage.Revision, error) {
	t.commits = append(t.commits, time.Now())
	t.version++
	if len(t.commits) <= t.conflicts {
		return 0, &storage.ConflictError{Keys: []string{t.key}}
	}
	return t.version, nil
}

func (t *contendedTable) Read(context.Context, string) (storage.Row, error) {
	return storage.Row{Key: t.key, Version: t.version, Value: rows.Encode(writerRow{"another operation"})}, nil
}

// Guards against a writer that calls the table service again and again without
// a pause while another process changes its row.
func TestWriterPausesBetweenConflictsOnItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &contendedTable{key: "writers/a", conflicts: 5}
		w := &writer{table: table, key: table.key, operationPrefix: "a"}
		_, err := w.commit(t.Context(), nil, nil)
		require.NoError(t, err)
		require.Len(t, table.commits, table.conflicts+1)
		for i := range table.conflicts {
			pause := table.commits[i+1].Sub(table.commits[i])
			require.GreaterOrEqual(t, pause, minBackoff/2, "before repetition %d", i+1)
		}
	})
}
