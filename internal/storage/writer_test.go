package storage_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/storage"
)

func newGroup(t *testing.T) *actor.Group {
	g := actor.NewGroup(t.Context(), func(e actor.Exit) { t.Errorf("%s: %v", e.Actor, e.Err) })
	t.Cleanup(g.Stop)
	return g
}

func checkedPut(key string, version storage.Revision) storage.Op {
	return storage.Op{Checks: []storage.Check{{Key: key, Version: version}}, Puts: []storage.Put{{Key: key, Value: []byte(key)}}}
}

// writeConcurrently writes all operations at the same time and returns the
// outcomes in the order of the operations.
func writeConcurrently(ctx context.Context, w storage.Writer, ops ...storage.Op) []storage.WriteResult {
	results := make([]storage.WriteResult, len(ops))
	done := make(chan struct{})
	for i, op := range ops {
		go func() {
			rev, err := w.Write(ctx, op)
			results[i] = storage.WriteResult{Revision: rev, Err: err}
			done <- struct{}{}
		}()
		synctest.Wait() // the operations arrive in order
	}
	for range ops {
		<-done
	}
	return results
}

// withWriter runs f in virtual time with a writer of a simulated table.
func withWriter(t *testing.T, f func(t *testing.T, w storage.Writer, table *standin.Table)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		table := standin.NewTable(g, standin.StoreFaults{})
		f(t, storage.SpawnWriter(g, storage.WriterConfig{Table: table, Key: "writer/w"}), table)
	})
}

func committedTxns(t *testing.T, table *standin.Table) []standin.Committed {
	list, err := table.History(t.Context(), 0)
	require.NoError(t, err)
	return list
}

// Guards against operations that are written twice or reported as failed when
// requests and responses are lost.
func TestWriterSurvivesLostAnswers(t *testing.T) {
	for name, faults := range map[string]standin.StoreFaults{
		"answers": {LoseAnswers: 3}, "requests": {LoseRequests: 3}, "both": {LoseAnswers: 2, LoseRequests: 2, DelayMs: 50},
	} {
		t.Run(name, func(t *testing.T) {
			withWriter(t, func(t *testing.T, w storage.Writer, table *standin.Table) {
				require.NoError(t, table.SetFaults(t.Context(), faults))
				for i := range 5 {
					key := fmt.Sprint("k", i)
					rev, err := w.Write(t.Context(), checkedPut(key, 0))
					require.NoError(t, err)
					row, err := table.Read(t.Context(), key)
					require.NoError(t, err)
					require.Equal(t, rev, row.Version)
				}
				require.Len(t, committedTxns(t, table), 5)
			})
		})
	}
}

// Guards against a transaction that fails as a whole because of one failed
// check, and against a failure that is reported for another operation.
func TestFailedCheckFailsOnlyItsOperation(t *testing.T) {
	withWriter(t, func(t *testing.T, w storage.Writer, table *standin.Table) {
		ops := []storage.Op{checkedPut("a", 0), checkedPut("b", 5), checkedPut("c", 0)}
		got := writeConcurrently(t.Context(), w, ops...)
		require.NoError(t, got[0].Err)
		require.Equal(t, &storage.ConflictError{Keys: []string{"b"}}, got[1].Err)
		require.NoError(t, got[2].Err)
		list := committedTxns(t, table)
		require.Len(t, list, 1, "one transaction for the others")
		require.Len(t, list[0].Puts, 3)
	})
}

// Guards against transactions of more than 128 rows, operations that wait for
// more than 20 ms, and one transaction per operation.
func TestGroupCommit(t *testing.T) {
	withWriter(t, func(t *testing.T, w storage.Writer, table *standin.Table) {
		start := time.Now()
		ops := make([]storage.Op, 300)
		for i := range ops {
			ops[i] = checkedPut(fmt.Sprint(i), 0)
		}
		for _, r := range writeConcurrently(t.Context(), w, ops...) {
			require.NoError(t, r.Err)
		}
		require.LessOrEqual(t, time.Since(start), 20*time.Millisecond)
		list := committedTxns(t, table)
		require.Len(t, list, 3)
		for _, c := range list {
			require.LessOrEqual(t, len(c.Puts), storage.MaxTxnRows)
		}
	})
}

// Guards against operations on one row that are reordered or share a
// transaction.
func TestOperationsOnOneRowKeepOrder(t *testing.T) {
	withWriter(t, func(t *testing.T, w storage.Writer, table *standin.Table) {
		uncheckedPut := func(value string) storage.Op {
			return storage.Op{Puts: []storage.Put{{Key: "a", Value: []byte(value)}}}
		}
		got := writeConcurrently(t.Context(), w, uncheckedPut("1"), uncheckedPut("2"), checkedPut("b", 0), uncheckedPut("3"))
		require.Equal(t, []storage.WriteResult{{Revision: 1}, {Revision: 2}, {Revision: 1}, {Revision: 3}}, got)
	})
}

// Guards against an unbounded queue, callers that wait without end, and a wrong
// error when the caller's context ends while the service is unavailable.
func TestWriterInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		table := standin.NewTable(g, standin.StoreFaults{Outage: true})
		w := storage.SpawnWriter(g, storage.WriterConfig{Table: table, Key: "writer/w", MaxQueued: 2})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		got := writeConcurrently(ctx, w, checkedPut("a", 0), checkedPut("b", 0), checkedPut("c", 0))
		for i, r := range got {
			require.ErrorIs(t, r.Err, storage.ErrUnavailable)
			require.NotErrorIs(t, r.Err, storage.ErrOutcomeUnknown)
			require.Equal(t, i < 2, errors.Is(r.Err, context.DeadlineExceeded), "the third is refused at once")
		}
		require.NoError(t, table.SetFaults(t.Context(), standin.StoreFaults{}))
		_, err := w.Write(t.Context(), checkedPut("a", 0))
		require.NoError(t, err, "it had no effect before")

		require.NoError(t, table.SetFaults(t.Context(), standin.StoreFaults{DelayMs: 8000}))
		short, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = w.Write(short, checkedPut("d", 0))
		require.ErrorIs(t, err, storage.ErrOutcomeUnknown)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// callRecorder records the times of the commits and reads of a table.
type callRecorder struct {
	storage.Table
	calls chan time.Time
}

func (r callRecorder) Commit(ctx context.Context, t storage.Txn) (storage.Revision, error) {
	r.calls <- time.Now()
	return r.Table.Commit(ctx, t)
}

func (r callRecorder) Read(ctx context.Context, key string) (storage.Row, error) {
	r.calls <- time.Now()
	return r.Table.Read(ctx, key)
}

// Guards against a thundering herd: 50 writers (5 entries in each of the 10
// data centres of the target size) whose queues filled during an outage must
// not exceed the rate limit of the recovered service, and must write their
// queues within 3 times MaxBackoff.
func TestNoThunderingHerd(t *testing.T) {
	const writers, window = 50, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		table := standin.NewTable(g, standin.StoreFaults{Outage: true})
		calls := make(chan time.Time, 100_000)
		done := make(chan error, writers)
		for i := range writers {
			w := storage.SpawnWriter(g, storage.WriterConfig{Table: callRecorder{table, calls}, Key: fmt.Sprint("writer/", i),
				Random: rand.New(rand.NewPCG(1, uint64(i))).Float64})
			for k := range 10 {
				op := storage.Op{Puts: []storage.Put{{Key: fmt.Sprint("row/", i), Value: []byte{byte(k)}}}}
				go func() {
					_, err := w.Write(t.Context(), op)
					done <- err
				}()
			}
		}
		actor.Sleep(t.Context(), 2*time.Minute)
		recovered := time.Now()
		require.NoError(t, table.SetFaults(t.Context(), standin.StoreFaults{}))
		for range 10 * writers {
			require.NoError(t, <-done)
		}
		t.Logf("all queues were written %v after the recovery", time.Since(recovered))
		require.LessOrEqual(t, time.Since(recovered), 3*storage.MaxBackoff)
		close(calls)
		counts := map[time.Duration]int{}
		outageCalls, maxCalls := 0, 0
		for calledAt := range calls {
			if calledAt.Before(recovered) {
				outageCalls++
				continue
			}
			slot := calledAt.Sub(recovered) / window
			counts[slot]++
			maxCalls = max(maxCalls, counts[slot])
		}
		t.Logf("%d calls in 2 min of outage, at most %d in 100 ms after it", outageCalls, maxCalls)
		require.LessOrEqual(t, maxCalls, standin.DefaultWritesPerSecond/10)
		state, err := table.State(t.Context())
		require.NoError(t, err)
		require.Zero(t, state.Counters.Limited)
	})
}
