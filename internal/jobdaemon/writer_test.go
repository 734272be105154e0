package jobdaemon

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a data race, and against a transaction that a peer commits with
// the check of a later attempt: the first attempt is still queued for a peer when
// the writer repeats it with the newer version of the owner's row.
func TestRepeatedBatchDoesNotChangeTheFormerAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		c := &controller{
			group: g, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, jobs: jobs.New(1, 0),
			storeProxy: &storeProxy{store: &unavailableTable{}, commitViaPeer: noPeer},
			writer:     writer{owner: workload.Owner{Name: "a", Epoch: 1}, version: 7},
		}
		queued := table.Txn{Checks: []table.Check{{Key: ownerKey, Version: 5}}}
		c.batchStored(&batchStored{epoch: 1, result: commitResult{outcome: table.Unknown}, txn: queued})
		require.EqualValues(t, 5, queued.Checks[0].Version)
	})
}

// deletionTable records the keys that are deleted, and is unavailable for the first
// deletions from the jobs table.
type deletionTable struct {
	storage.Table
	storage.Watcher
	state chan deletions // holds one value
}

type deletions struct {
	failures int // still to come
	deleted  []string
}

func (t *deletionTable) Commit(_ context.Context, txn table.Txn) (table.Revision, error) {
	s := <-t.state
	defer func() { t.state <- s }()
	if len(txn.Deletes) > 0 && strings.HasPrefix(txn.Deletes[0], "jobs/") && s.failures > 0 {
		s.failures--
		return 0, storage.ErrUnavailable
	}
	s.deleted = append(s.deleted, txn.Deletes...)
	return 1, nil
}

// Guards against an ended job that a later owner runs again: the deletion of its
// specification failed or was late, while that of its progress took effect.
func TestProgressOfAnExpiredJobIsDeletedAfterItsOtherRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id workload.JobID = "0000000000000001"
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		store := &deletionTable{state: make(chan deletions, 1)}
		store.state <- deletions{failures: 3}
		l := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
		c := &controller{
			group: g, ownerGroup: g.Sub(), log: l, jobs: jobs.New(1, 0), startedAt: time.Now(), owner: ownership.New("a", 1, 0, 0), published: &published{},
			storeProxy: &storeProxy{store: store, commitViaPeer: noPeer, log: l}, writer: writer{owner: workload.Owner{Name: "a", Epoch: 1}, version: 1},
		}
		c.jobs.Restore(workload.Job{ID: id}, &workload.Progress{Phase: workload.Completed})
		loop := actor.BatchLoop[any]{
			Limit: maxBatch, Interval: controllerTick, Apply: c.apply, Pending: c.planPending,
			Tick: func() {
				c.jobs.Advance(c.now(), 0)
				c.jobs.Tick()
			},
			Flush: func() {
				c.storePending()
				c.removeExpired()
			},
		}
		addressed := make(chan struct{})
		c.address = actor.Spawn(g, actor.Spec[any]{Name: "controller", Mailbox: controllerMailbox, Run: func(ctx context.Context, in <-chan any) error {
			<-addressed
			return loop.Run(ctx, in)
		}})
		close(addressed)
		time.Sleep(10 * time.Minute)
		state := <-store.state
		store.state <- state
		specification, progress := slices.Index(state.deleted, jobKey(id)), slices.Index(state.deleted, progressKey(id))
		require.GreaterOrEqual(t, specification, 0)
		require.Greater(t, progress, specification)
	})
}
