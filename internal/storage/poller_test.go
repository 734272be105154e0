package storage_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const pollInterval = 500 * time.Millisecond

// spawnReceiver starts an actor that forwards its messages to the channel. Its
// mailbox has no buffer, so that the poller has to wait for it.
func spawnReceiver(g *actor.Group) (actor.Address[storage.Changes], <-chan storage.Changes) {
	out := make(chan storage.Changes, 1000)
	return actor.Spawn(g, actor.Spec[storage.Changes]{Name: "receiver", Run: func(ctx context.Context, in <-chan storage.Changes) error {
		for {
			select {
			case c := <-in:
				out <- c
			case <-ctx.Done():
				return nil
			}
		}
	}}), out
}

// withPoller runs f in virtual time with a poller of the rows "a/...".
func withPoller(t *testing.T, f func(t *testing.T, table *standin.Table, p storage.Poller, got <-chan storage.Changes)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		table := standin.NewTable(g, standin.StoreFaults{})
		to, got := spawnReceiver(g)
		p := storage.SpawnPoller(g, storage.PollerConfig{Table: table, Prefix: "a/", Interval: pollInterval}, to,
			func(c storage.Changes) storage.Changes { return c })
		f(t, table, p, got)
	})
}

func commit(t *testing.T, table *standin.Table, txn storage.Txn) {
	_, err := table.Commit(t.Context(), txn)
	require.NoError(t, err)
}

func put(keys ...string) (txn storage.Txn) {
	for _, k := range keys {
		txn.Puts = append(txn.Puts, storage.Put{Key: k, Value: []byte(k)})
	}
	return txn
}

// Guards against changes that are lost, repeated, out of order or of rows with
// another prefix, and against deletions that are not delivered.
func TestPollerDeliversInOrder(t *testing.T) {
	withPoller(t, func(t *testing.T, table *standin.Table, _ storage.Poller, got <-chan storage.Changes) {
		require.Equal(t, storage.Changes{First: true}, <-got, "an empty table is reported once")
		commit(t, table, put("a/2", "b/1"))
		commit(t, table, put("a/1", "a/0"))
		commit(t, table, storage.Txn{Deletes: []string{"a/0"}})
		start := time.Now()
		c := <-got
		require.LessOrEqual(t, time.Since(start), pollInterval*6/5)
		require.Equal(t, storage.Changes{After: 0, UpTo: 3, Rows: []storage.Row{
			{Key: "a/2", Value: []byte("a/2"), Version: 1}, {Key: "a/1", Value: []byte("a/1"), Version: 2},
			{Key: "a/0", Version: 3, Deleted: true},
		}}, c)
		commit(t, table, put("b/2"))
		commit(t, table, put("a/3"))
		c = <-got
		require.Equal(t, []any{"a/3", storage.Revision(5)}, []any{c.Rows[0].Key, c.UpTo})
		require.Len(t, c.Rows, 1)
	})
}

// Guards against a poller that calls an unavailable service at its usual rate,
// or does not scan within MaxBackoff after the recovery.
func TestPollerBacksOff(t *testing.T) {
	withPoller(t, func(t *testing.T, table *standin.Table, p storage.Poller, got <-chan storage.Changes) {
		<-got
		require.NoError(t, table.SetFaults(t.Context(), standin.StoreFaults{Outage: true}))
		before, err := table.State(t.Context())
		require.NoError(t, err)
		for range 600 {
			p.ScanNow()
			actor.Sleep(t.Context(), time.Second)
		}
		after, err := table.State(t.Context())
		require.NoError(t, err)
		require.LessOrEqual(t, after.Counters.Reads-before.Counters.Reads, 10+600/2, "the retry budget is 10 and one more every 2 s")
		require.NoError(t, table.SetFaults(t.Context(), standin.StoreFaults{}))
		commit(t, table, put("a/1"))
		start := time.Now()
		require.Len(t, (<-got).Rows, 1)
		require.LessOrEqual(t, time.Since(start), storage.MaxBackoff)
	})
}

// Guards against a scan request that is lost because a scan is in progress.
func TestScanNowDuringScanIsNotLost(t *testing.T) {
	withPoller(t, func(t *testing.T, table *standin.Table, p storage.Poller, got <-chan storage.Changes) {
		<-got
		synctest.Wait()
		start := time.Now()
		for i := range 10 {
			commit(t, table, put(fmt.Sprint("a/", i)))
			p.ScanNow()
			require.Len(t, (<-got).Rows, 1)
		}
		require.Zero(t, time.Since(start))
	})
}

// Guards against a poller that keeps running after its receiver has ended.
func TestPollerEndsWithItsReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		to := actor.Spawn(g, actor.Spec[storage.Changes]{Name: "receiver", Run: func(context.Context, <-chan storage.Changes) error { return nil }})
		<-to.Done()
		p := storage.SpawnPoller(g, storage.PollerConfig{Table: standin.NewTable(g, standin.StoreFaults{}), Interval: time.Second}, to,
			func(c storage.Changes) storage.Changes { return c })
		<-p.Done()
	})
}
