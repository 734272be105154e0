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

// awayTable refuses every call while away, and loses the answers of the next
// calls.
type awayTable struct {
	storage.Table
	storage.Watcher
	away    bool
	lost    int
	commits int
}

func (t *awayTable) Commit(context.Context, table.Txn) (table.Revision, error) {
	t.commits++
	if t.away {
		return 0, storage.ErrUnavailable
	}
	if t.lost > 0 {
		t.lost--
		return 0, storage.ErrOutcomeUnknown
	}
	return 1, nil
}

func newDesk(t *awayTable, relay func(context.Context, table.Txn) result) *desk {
	l := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	return &desk{controller: &controller{gateway: &gateway{store: t, relay: relay, log: l}}, log: l}
}

func nobody(context.Context, table.Txn) result { return result{outcome: table.Unavailable} }

// Guards against callers who wait for a refusal that was certain from the
// start (incident inc-c5b9 of nilegate-permits: 1.5 s each while the table
// service was down), and against a refusal of a job that may be stored.
func TestCallersAreRefusedAtOnceWhileTheTableServiceIsKnownToBeAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &awayTable{away: true}
		d := newDesk(store, nobody)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.ErrorIs(t, d.persist(ctx, table.Txn{}), jobapi.ErrNotAccepted)
		time.Sleep(time.Second)
		began := time.Now()
		require.ErrorIs(t, d.persist(ctx, table.Txn{}), jobapi.ErrNotAccepted)
		// The shortest latency objective of a queue is 250 ms; a quarter of an
		// objective is how long a refusal may take.
		require.LessOrEqual(t, time.Since(began), 63*time.Millisecond)
	})
}

// Guards against callers who return together and too early: the longer the
// table service is away, the later they are asked to come again.
func TestCallersAreAskedToReturnLaterTheLongerAnOutageLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &awayTable{away: true}
		d := newDesk(store, nobody)
		d.controller.gateway.direct(context.Background(), table.Txn{})
		require.Equal(t, leastRetryAfter, d.RetryAfter())
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, d.RetryAfter())
		time.Sleep(time.Minute)
		require.Equal(t, mostRetryAfter, d.RetryAfter())
		store.away = false
		d.controller.gateway.direct(context.Background(), table.Txn{})
		require.Equal(t, leastRetryAfter, d.RetryAfter())
	})
}

// Guards against "not accepted" for a job whose write got no answer.
func TestJobInDoubtIsNeverRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &awayTable{lost: 1}
		d := newDesk(store, func(context.Context, table.Txn) result {
			store.away = true // from now on every try is refused for certain
			return result{outcome: table.Unavailable}
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := d.persist(ctx, table.Txn{})
		require.ErrorIs(t, err, jobapi.ErrOutcomeUnknown)
		require.NotErrorIs(t, err, jobapi.ErrNotAccepted)
	})
}

// Guards against an entry that serves nobody while only its own way to the
// table service is cut.
func TestPeerStoresForAnEntryThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(&awayTable{away: true}, func(context.Context, table.Txn) result { return result{outcome: table.Committed, revision: 7} })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(t, d.persist(ctx, table.Txn{}))
	})
}
