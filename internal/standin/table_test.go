package standin

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// serveOnLoopback serves on a free loopback port until the test ends and returns
// the address.
func serveOnLoopback(t *testing.T, g *actor.Group, serve func(context.Context, net.Listener) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	actor.Go(g, "server", func(ctx context.Context) error { return serve(ctx, l) })
	return l.Addr().String()
}

func newGroup(t *testing.T) *actor.Group {
	g := actor.NewGroup(t.Context(), func(e actor.Exit) { t.Errorf("%s: %v", e.Actor, e.Err) })
	t.Cleanup(g.Stop)
	return g
}

func putTxn(key, value string, checks ...storage.Check) storage.Txn {
	return storage.Txn{Operation: key, Checks: checks, Puts: []storage.Put{{Key: key, Value: []byte(value)}}}
}

// Guards against an HTTP client and a table service that encode transactions,
// preconditions, tombstones, escaped keys or errors differently.
func TestTableOverHTTP(t *testing.T) {
	g := newGroup(t)
	service := NewTable(g, StoreFaults{})
	table := storage.NewHTTPTable(storage.HTTPConfig{URL: "http://" + serveOnLoopback(t, g, service.Serve)})
	defer table.Close()
	ctx := t.Context()

	rev, err := table.Commit(ctx, putTxn("job/a b/1%2F", "x"))
	require.NoError(t, err)
	row, err := table.Read(ctx, "job/a b/1%2F")
	require.NoError(t, err)
	require.Equal(t, storage.Row{Key: "job/a b/1%2F", Value: []byte("x"), Version: rev}, row)

	_, err = table.Commit(ctx, putTxn("z", "z", storage.Check{Key: "job/a b/1%2F"}, storage.Check{Key: "other"}))
	var conflict *storage.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []string{"job/a b/1%2F"}, conflict.Keys)
	_, err = table.Read(ctx, "z")
	require.ErrorIs(t, err, storage.ErrNotFound)

	_, err = table.Commit(ctx, storage.Txn{Operation: "d", Deletes: []string{"job/a b/1%2F"}})
	require.NoError(t, err)
	rows, upTo, err := table.Scan(ctx, "job/", rev)
	require.NoError(t, err)
	require.Equal(t, rev+1, upTo)
	require.Equal(t, []storage.Row{{Key: "job/a b/1%2F", Version: rev + 1, Deleted: true}}, rows)

	_, err = table.Commit(ctx, storage.Txn{Operation: "twice", Deletes: []string{"a", "a"}})
	require.ErrorIs(t, err, storage.ErrRefused)

	require.NoError(t, service.SetFaults(ctx, StoreFaults{LoseAnswers: 1}))
	_, err = table.Commit(ctx, putTxn("lost", "1"))
	require.ErrorIs(t, err, storage.ErrOutcomeUnknown)
	_, err = table.Read(ctx, "lost")
	require.NoError(t, err, "a write whose answer was lost must take effect")

	require.NoError(t, service.SetFaults(ctx, StoreFaults{Outage: true}))
	_, err = table.Commit(ctx, putTxn("out", "1"))
	require.ErrorIs(t, err, storage.ErrUnavailable)

	history, err := service.History(ctx, 0)
	require.NoError(t, err)
	require.Len(t, history, 3)
	require.Equal(t, "lost", history[2].Operation)
}

// Guards against a client that reports an unknown outcome when the connection is
// refused and nothing was sent, or a known outcome when a write times out.
func TestClientReportsWhetherOutcomeIsKnown(t *testing.T) {
	g := newGroup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := storage.NewHTTPTable(storage.HTTPConfig{URL: "http://" + l.Addr().String()})
	require.NoError(t, l.Close())
	_, err = closed.Commit(t.Context(), putTxn("a", "a"))
	require.ErrorIs(t, err, storage.ErrUnavailable)

	service := NewTable(g, StoreFaults{DelayMs: time.Hour.Milliseconds()})
	slow := storage.NewHTTPTable(storage.HTTPConfig{URL: "http://" + serveOnLoopback(t, g, service.Serve), Timeout: 50 * time.Millisecond})
	_, err = slow.Commit(t.Context(), putTxn("a", "a"))
	require.ErrorIs(t, err, storage.ErrOutcomeUnknown)
	_, err = slow.Read(t.Context(), "a")
	require.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against client errors that the writer cannot tell apart: after a lost
// answer it must read back the outcome, and after a call above the rate limit it
// must repeat the call.
func TestWriterOverHTTP(t *testing.T) {
	g := newGroup(t)
	service := NewTable(g, StoreFaults{WritesPerSecond: 4, LoseAnswers: 2})
	table := storage.NewHTTPTable(storage.HTTPConfig{URL: "http://" + serveOnLoopback(t, g, service.Serve)})
	defer table.Close()
	w := storage.SpawnWriter(g, storage.WriterConfig{Table: table, Key: "writer/w"})
	for _, key := range []string{"a", "b", "c"} {
		_, err := w.Write(t.Context(), storage.Op{Checks: []storage.Check{{Key: key}}, Puts: []storage.Put{{Key: key}}})
		require.NoError(t, err)
	}
	history, err := service.History(t.Context(), 0)
	require.NoError(t, err)
	require.Len(t, history, 3)
	state, err := service.State(t.Context())
	require.NoError(t, err)
	require.Equal(t, 2, state.Counters.Lost)
}

// Guards against a simulated table service that accepts more operations per
// second, or a larger burst, than the real one: overload would go unnoticed.
func TestTableEnforcesRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		table := NewTable(g, StoreFaults{})
		counts := func() (writes, reads int) {
			for range 1000 {
				if _, err := table.Commit(t.Context(), putTxn("a", "a")); err == nil {
					writes++
				}
				for range 5 {
					if _, err := table.Read(t.Context(), "a"); err == nil {
						reads++
					}
				}
			}
			return writes, reads
		}
		writes, reads := counts()
		require.Equal(t, []int{DefaultWritesPerSecond / burstDivisor, DefaultReadsPerSecond / burstDivisor}, []int{writes, reads})
		actor.Sleep(t.Context(), 100*time.Millisecond)
		writes, reads = counts()
		require.Equal(t, []int{DefaultWritesPerSecond / 10, DefaultReadsPerSecond / 10}, []int{writes, reads})
	})
}

// Guards against an HTTP client and an object store that lose or alter objects,
// or do not delete them.
func TestObjectsOverHTTP(t *testing.T) {
	g := newGroup(t)
	service := NewObjects(g, StoreFaults{})
	objects := storage.NewHTTPObjects(storage.HTTPConfig{URL: "http://" + serveOnLoopback(t, g, service.Serve)})
	defer objects.Close()
	ctx := t.Context()
	require.NoError(t, objects.Put(ctx, "result/a/1", []byte("data")))
	require.NoError(t, objects.Put(ctx, "empty", nil))
	data, err := objects.Get(ctx, "result/a/1")
	require.NoError(t, err)
	require.Equal(t, "data", string(data))
	require.NoError(t, objects.Delete(ctx, "result/a/1"))
	_, err = objects.Get(ctx, "result/a/1")
	require.ErrorIs(t, err, storage.ErrNotFound)
	names, err := service.Names(ctx)
	require.NoError(t, err)
	require.Equal(t, []string{"empty"}, names)
}
