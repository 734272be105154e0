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

// randomFaults returns the faults until the next call. With a delay of 25 s a
// transaction takes effect after the writer's call has timed out.
func randomFaults(r *rand.Rand) standin.StoreFaults {
	f := standin.StoreFaults{DelayMs: []int64{0, 0, 10, 500, 25_000}[r.IntN(5)]}
	switch r.IntN(4) {
	case 0:
		f.Outage = true
	case 1:
		f.LoseAnswers = r.IntN(4)
	case 2:
		f.LoseRequests = r.IntN(4)
	}
	return f
}

// randomOp returns an operation that writes a unique value to one or two of 8
// rows. A third of the rows have a check, which may fail.
func randomOp(r *rand.Rand, id string) storage.Op {
	var op storage.Op
	for _, n := range r.Perm(8)[:1+r.IntN(2)] {
		key := fmt.Sprint("row/", n)
		op.Puts = append(op.Puts, storage.Put{Key: key, Value: []byte(id)})
		if r.IntN(3) == 0 {
			op.Checks = append(op.Checks, storage.Check{Key: key, Version: storage.Revision(r.IntN(3) * r.IntN(20))})
		}
	}
	return op
}

// verifyOutcome compares an outcome with the revisions at which the operation
// took effect.
func verifyOutcome(t *testing.T, id string, got storage.WriteResult, effects []storage.Revision) {
	var conflict *storage.ConflictError
	switch {
	case got.Err == nil:
		require.Equal(t, []storage.Revision{got.Revision}, effects, "%s succeeded", id)
	case errors.Is(got.Err, storage.ErrOutcomeUnknown):
		require.LessOrEqual(t, len(effects), 1, "%s: %v", id, got.Err)
	case errors.As(got.Err, &conflict), errors.Is(got.Err, storage.ErrUnavailable):
		require.Empty(t, effects, "%s: %v", id, got.Err)
	default:
		t.Errorf("%s: undocumented error %v", id, got.Err)
	}
}

// Guards against outcomes that contradict the committed transactions: an
// operation that took effect twice, was reported as committed without effect,
// or was reported as failed although it took effect. Requests and responses are
// lost, delayed transactions take effect after their calls have timed out,
// callers withdraw, and a successor takes over the writer's row.
func TestOutcomesAgreeWithHistory(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOutcomes(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func checkOutcomes(t *testing.T, r *rand.Rand) {
	table := standin.NewTable(newGroup(t), standin.StoreFaults{})
	type outcome struct {
		id string
		storage.WriteResult
	}
	const writerRuns, operations = 2, 150
	outcomes := make(chan outcome, writerRuns*operations)
	for run := range writerRuns {
		g := newGroup(t)
		w := storage.SpawnWriter(g, storage.WriterConfig{Table: table, Key: "writer/w", Random: rand.New(rand.NewPCG(r.Uint64(), 0)).Float64})
		for i := range operations {
			if i%10 == 0 {
				require.NoError(t, table.SetFaults(t.Context(), randomFaults(r)))
			}
			id := fmt.Sprint(run, "/", i)
			op, timeout := randomOp(r, id), time.Duration(1+r.IntN(120))*time.Second
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				rev, err := w.Write(ctx, op)
				outcomes <- outcome{id, storage.WriteResult{Revision: rev, Err: err}}
			}()
			actor.Sleep(t.Context(), time.Duration(r.IntN(2000))*time.Millisecond)
		}
		g.Stop()
	}
	require.NoError(t, table.SetFaults(t.Context(), standin.StoreFaults{}))
	actor.Sleep(t.Context(), time.Minute) // transactions in flight take effect
	effects := map[string][]storage.Revision{}
	for _, c := range committedTxns(t, table) {
		seen := map[string]bool{}
		for _, p := range c.Puts {
			if id := string(p.Value); p.Key != "writer/w" && !seen[id] {
				seen[id] = true
				effects[id] = append(effects[id], c.Revision)
			}
		}
	}
	succeeded := 0
	for range writerRuns * operations {
		result := <-outcomes
		verifyOutcome(t, result.id, result.WriteResult, effects[result.id])
		if result.Err == nil {
			succeeded++
		}
	}
	require.NotZero(t, succeeded, "no operation succeeded")
}
