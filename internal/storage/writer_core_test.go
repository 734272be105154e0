package storage

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Every run checks the same cases; the flag -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// script drives a writerCore step by step and records the results of operations
// by name.
type script struct {
	t       *testing.T
	core    *writerCore
	now     time.Time
	pending map[string]*pending
	results map[string]WriteResult
	sent    []Txn
	effects effects
}

func newScript(t *testing.T) *script {
	b := NewBackoff(func() float64 { return 0.5 })
	return &script{t: t, core: newWriterCore("writer/w", "w", 100, b), now: time.Unix(0, 0),
		pending: map[string]*pending{}, results: map[string]WriteResult{}}
}

func (s *script) recordEffects() {
	s.effects = s.core.takeEffects()
	if s.effects.commit != nil {
		s.sent = append(s.sent, *s.effects.commit)
	}
	for _, r := range s.effects.settled {
		for name, p := range s.pending {
			if _, twice := s.results[name]; p == r.op && !twice {
				s.results[name] = r.WriteResult
			}
		}
	}
}

// enqueue adds an operation that writes the row of the given name if the row
// has this version.
func (s *script) enqueue(name string, version Revision) {
	p, err := newPending(Op{Checks: []Check{{Key: name, Version: version}}, Puts: []Put{{Key: name}}})
	require.NoError(s.t, err)
	s.pending[name] = p
	s.core.enqueue(p, s.now)
	s.recordEffects()
}

// advance moves the time to the end of the state's delay.
func (s *script) advance() {
	require.False(s.t, s.core.wakeAt.IsZero())
	s.now = s.core.wakeAt
	s.core.delayElapsed(s.now)
	s.recordEffects()
}

func (s *script) commitReturns(rev Revision, err error) {
	s.core.commitReturned(rev, err, s.now)
	s.recordEffects()
}

func (s *script) readReturns(version Revision, operation string) {
	s.core.readReturned(Row{Version: version, Value: []byte(`{"operation":"` + operation + `"}`)}, nil, s.now)
	s.recordEffects()
}

// Guards against a second write after the response to the first one, which took
// effect, was lost.
func TestReadsBackAfterLostAnswer(t *testing.T) {
	s := newScript(t)
	s.enqueue("a", 0)
	s.advance()
	s.commitReturns(0, ErrOutcomeUnknown)
	require.Nil(t, s.effects.commit)
	s.advance()
	require.True(t, s.effects.read, "reads the writer's row before it commits again")
	s.readReturns(7, s.sent[0].Operation)
	require.Equal(t, WriteResult{Revision: 7}, s.results["a"])
	require.Len(t, s.sent, 1)
	require.Equal(t, Revision(7), s.core.version)
}

// Guards against an operation that is reported as failed although an earlier
// request with its transaction is still in flight and takes effect afterwards.
func TestConflictIsDeferredWhileUnconfirmed(t *testing.T) {
	s := newScript(t)
	s.enqueue("a", 0)
	s.enqueue("b", 0)
	s.advance()
	s.commitReturns(0, ErrOutcomeUnknown)
	s.advance()
	s.readReturns(0, "")
	require.Equal(t, s.sent[0], s.sent[1], "the same transaction is sent again")
	s.commitReturns(0, &ConflictError{Keys: []string{"a"}})
	require.NotEqual(t, s.sent[0].Operation, s.sent[2].Operation)
	require.Empty(t, s.results)
	s.commitReturns(0, &ConflictError{Keys: []string{"writer/w"}}) // the first request took effect
	require.True(t, s.effects.read)
	s.readReturns(9, s.sent[0].Operation)
	require.Equal(t, map[string]WriteResult{"a": {Revision: 9}, "b": {Revision: 9}}, s.results)
}

// Guards against a deferred failure that is never reported when the unconfirmed
// transaction turns out to have had no effect, and against an unconfirmed
// transaction whose outcome is never determined because all its operations have
// failed.
func TestEmptyTransactionSettlesUnconfirmed(t *testing.T) {
	s := newScript(t)
	s.enqueue("a", 0)
	s.advance()
	s.commitReturns(0, ErrOutcomeUnknown)
	s.advance()
	s.readReturns(0, "")
	s.commitReturns(0, &ConflictError{Keys: []string{"a"}})
	require.Equal(t, []Check{{Key: "writer/w", Version: 0}}, s.sent[2].Checks)
	s.commitReturns(3, nil)
	require.Equal(t, WriteResult{Err: &ConflictError{Keys: []string{"a"}}}, s.results["a"])
}

// Guards against an unconfirmed operation that is reported as committed or
// failed after another writer has overwritten the writer's row.
func TestForeignWriterLeavesOutcomeUnknown(t *testing.T) {
	s := newScript(t)
	s.enqueue("a", 0)
	s.advance()
	s.commitReturns(0, ErrOutcomeUnknown)
	s.advance()
	s.readReturns(5, "someone else's")
	require.ErrorIs(t, s.results["a"].Err, ErrOutcomeUnknown)
	s.enqueue("b", 0)
	s.advance()
	require.Equal(t, Check{Key: "writer/w", Version: 5}, s.sent[1].Checks[0])
}

// Guards against an invalid operation that fails the others in its transaction
// or is sent again without end.
func TestRefusedBatchIsSplit(t *testing.T) {
	s := newScript(t)
	s.enqueue("a", 0)
	s.enqueue("b", 0)
	s.advance()
	s.commitReturns(0, ErrRefused)
	require.Len(t, s.sent[1].Puts, 2, "the writer's row and one more")
	s.commitReturns(0, ErrRefused)
	require.ErrorIs(t, s.results["a"].Err, ErrRefused)
	s.advance()
	s.commitReturns(4, nil)
	require.Equal(t, WriteResult{Revision: 4}, s.results["b"])
}

// Guards against ErrUnavailable, which means no effect, for an operation that
// was sent, and against an operation that is sent after its caller received
// ErrUnavailable.
func TestWithdrawnOperations(t *testing.T) {
	s := newScript(t)
	s.enqueue("a", 0)
	s.advance()
	s.enqueue("b", 0)
	for _, name := range []string{"a", "b"} {
		s.core.withdraw(s.pending[name], s.now)
		s.recordEffects()
	}
	require.ErrorIs(t, s.results["a"].Err, ErrOutcomeUnknown)
	require.ErrorIs(t, s.results["b"].Err, ErrUnavailable)
	s.commitReturns(0, ErrUnavailable)
	s.advance()
	require.Len(t, s.sent, 1)
	require.Equal(t, wsIdle, s.core.state)
}

// Guards against a writer that repeats a commit without a pause when the service
// reports a conflict on a row that no operation checks.
func TestConflictOnUncheckedRowBacksOff(t *testing.T) {
	s := newScript(t)
	s.enqueue("a", 0)
	s.advance()
	s.commitReturns(0, &ConflictError{Keys: []string{"other"}})
	require.Nil(t, s.effects.commit)
	require.GreaterOrEqual(t, s.core.wakeAt.Sub(s.now), MinBackoff)
}

// Guards against batches that are too large, contain conflicting operations,
// reorder such operations or omit one.
func TestSelectBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue []*pending
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			var op Op
			for _, key := range rapid.SliceOfNDistinct(rapid.IntRange(0, 200), 1, 30, rapid.ID).Draw(t, "rows") {
				name := strconv.Itoa(key)
				if rapid.Bool().Draw(t, "check") {
					op.Checks = append(op.Checks, Check{Key: name, Version: Revision(rapid.IntRange(0, 1).Draw(t, "version"))})
				} else {
					op.Puts = append(op.Puts, Put{Key: name})
				}
			}
			p, err := newPending(op)
			require.NoError(t, err)
			p.separate = rapid.IntRange(0, 9).Draw(t, "separate") == 0
			queue = append(queue, p)
		}
		all, position := queue, map[*pending]int{}
		for n := 0; len(queue) > 0; n++ {
			var chosen []*pending
			chosen, queue = selectBatch(queue)
			require.NotEmpty(t, chosen)
			rows := map[string]bool{}
			for _, p := range chosen {
				require.NotContains(t, position, p)
				position[p] = n
				require.True(t, !p.separate || len(chosen) == 1)
				for key := range p.rows {
					rows[key] = true
				}
			}
			require.Less(t, len(rows), MaxTxnRows)
		}
		for i, a := range all {
			for _, b := range all[i+1:] {
				for key, x := range a.rows {
					if y, ok := b.rows[key]; ok && x.conflictsWith(y) {
						require.Less(t, position[a], position[b])
					}
				}
			}
		}
	})
}

// Guards against delays outside the stated bounds, and against calls at the full
// rate directly after a service has recovered.
func TestBackoff(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBackoff(rand.New(rand.NewPCG(1, 1)).Float64)
	var waits [100]time.Duration
	for i := range waits {
		waits[i] = b.Failure(now)
		require.GreaterOrEqual(t, waits[i], MinBackoff)
		require.LessOrEqual(t, waits[i], MaxBackoff)
		now = now.Add(waits[i])
	}
	require.Less(t, waits[0], 3*MinBackoff)
	require.Greater(t, slices.Max(waits[:]), MaxBackoff*9/10)

	b.delay, b.random = MaxBackoff, func() float64 { return 0.999 }
	var pauses []time.Duration
	for !b.Healthy() {
		pauses = append(pauses, b.Success(now).Round(100*time.Millisecond))
	}
	require.Equal(t, []time.Duration{2500 * time.Millisecond, 600 * time.Millisecond, 200 * time.Millisecond, 0}, pauses)
}

// Guards against retries at the shortest delay without end because a success
// between any two failures resets the delay.
func TestRetryBudget(t *testing.T) {
	start := time.Unix(0, 0)
	now, retries := start, 0
	b := NewBackoff(func() float64 { return 0 }) // the shortest waits
	for now.Sub(start) < time.Minute {
		now = now.Add(b.Failure(now))
		b.Success(now)
		retries++
	}
	require.LessOrEqual(t, retries, budgetBurst+int(budgetPerSecond*60+budgetPerSuccess*float64(retries))+1)
}
