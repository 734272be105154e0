package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/directory"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Guards against an edit that is reported in effect everywhere while an entry
// that started since the last read of the directory does not have it.
func TestPeersIncludeNewEntries(t *testing.T) {
	g := actor.NewGroup(t.Context(), func(actor.Exit) {})
	defer g.Stop()
	table := standin.NewTable(g, standin.StoreFaults{})
	announce := func(id model.EntryID) {
		_, err := table.Commit(t.Context(), storage.Txn{Puts: []storage.Put{
			{Key: rows.EntryKey(id), Value: rows.Encode(rows.Entry{ID: id, Operator: string(id)})}}})
		require.NoError(t, err)
	}
	announce("self")
	v := &operatorView{self: entry.Self{Entry: "self"}, table: table, entries: &actor.Value[directory.List]{}}
	read := make(chan struct{}, 1)
	directory.Follow(g, table, time.Hour, &log.Logger{Handler: discard.New()}, func(l directory.List) {
		v.entries.Set(&l)
		read <- struct{}{}
	})
	<-read
	announce("new")
	peers, err := v.peers(context.Background())
	require.NoError(t, err)
	require.Equal(t, []operator.Peer{{ID: "new", Address: "new"}}, peers)
}
