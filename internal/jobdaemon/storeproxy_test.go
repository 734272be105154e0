package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
)

// unavailableTable refuses every commit while unavailable, and loses the answers
// of the next lostAnswers commits.
type unavailableTable struct {
	storage.Table
	storage.Watcher
	unavailable bool
	lostAnswers int
	commits     int
}

func (t *unavailableTable) Commit(context.Context, table.Txn) (table.Revision, error) {
	t.commits++
	if t.unavailable {
		return 0, storage.ErrUnavailable
	}
	if t.lostAnswers > 0 {
		t.lostAnswers--
		return 0, storage.ErrOutcomeUnknown
	}
	return 1, nil
}

func newTestHandler(t *unavailableTable, commitViaPeer func(context.Context, table.Txn) commitResult) *jobHandler {
	l := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	return &jobHandler{controller: &controller{storeProxy: &storeProxy{store: t, commitViaPeer: commitViaPeer, log: l}}, log: l}
}

func noPeer(context.Context, table.Txn) commitResult { return commitResult{outcome: table.Unavailable} }

// Guards against callers that wait for a refusal that is certain from the start:
// 1.5 s each while the table service was down, in incident inc-c5b9 of
// nilegate-permits.
func TestCallersAreRefusedAtOnceInAKnownOutageOfTheTableService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unavailableTable{unavailable: true}
		h := newTestHandler(store, noPeer)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.ErrorIs(t, h.persist(ctx, table.Txn{}), jobapi.ErrNotAccepted)
		time.Sleep(time.Second)
		start := time.Now()
		require.ErrorIs(t, h.persist(ctx, table.Txn{}), jobapi.ErrNotAccepted)
		// The shortest latency objective of a queue is 250 ms; a quarter of an
		// objective is how long a refusal may take.
		require.LessOrEqual(t, time.Since(start), 63*time.Millisecond)
	})
}

// Guards against callers that retry all at once and too early: Retry-After grows
// with the outage of the table service.
func TestRetryAfterGrowsWithTheOutageOfTheTableService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unavailableTable{unavailable: true}
		h := newTestHandler(store, noPeer)
		h.controller.storeProxy.direct(context.Background(), table.Txn{})
		require.Equal(t, minRetryAfter, h.RetryAfter())
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, h.RetryAfter())
		time.Sleep(time.Minute)
		require.Equal(t, maxRetryAfter, h.RetryAfter())
		store.unavailable = false
		h.controller.storeProxy.direct(context.Background(), table.Txn{})
		require.Equal(t, minRetryAfter, h.RetryAfter())
	})
}

// Guards against the answer "not accepted" for a job that may have been stored:
// its first commit was not answered.
func TestJobWithUnknownOutcomeIsNeverRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unavailableTable{lostAnswers: 1}
		h := newTestHandler(store, func(context.Context, table.Txn) commitResult {
			store.unavailable = true // every later commit is refused for certain
			return commitResult{outcome: table.Unavailable}
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := h.persist(ctx, table.Txn{})
		require.ErrorIs(t, err, jobapi.ErrOutcomeUnknown)
		require.NotErrorIs(t, err, jobapi.ErrNotAccepted)
	})
}

// Guards against an entry that refuses all jobs while only its own connection to
// the table service is cut.
func TestPeerStoresForAnEntryThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHandler(&unavailableTable{unavailable: true}, func(context.Context, table.Txn) commitResult {
			return commitResult{outcome: table.Committed, revision: 7}
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(t, h.persist(ctx, table.Txn{}))
	})
}

// Guards against a stopping entry that answers a submission with the wrong fate:
// one that is known not to be stored may be sent elsewhere at once, and one that
// may be stored must not be reported as refused.
func TestCancelledSubmissionTellsItsFate(t *testing.T) {
	for name, c := range map[string]struct {
		store unavailableTable
		want  error
	}{
		"not stored":      {unavailableTable{unavailable: true}, jobapi.ErrNotAccepted},
		"possibly stored": {unavailableTable{lostAnswers: 1000}, jobapi.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				time.AfterFunc(2*submitRetryInterval+time.Millisecond, cancel)
				require.ErrorIs(t, newTestHandler(&c.store, noPeer).persist(ctx, table.Txn{}), c.want)
			})
		})
	}
}
