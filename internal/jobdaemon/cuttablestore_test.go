package jobdaemon

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
)

// cuttableStore is a table service that a process may be cut off from.
type cuttableStore struct {
	Store
	group     *actor.Group // of writes that take effect late
	cut       actor.Value[bool]
	late      actor.Value[time.Duration] // before a write takes effect; nil: 0
	silentAt  actor.Value[time.Time]     // calls that were sent before have no answer; nil: all have
	slow      actor.Value[time.Duration] // before a read is answered; nil: 0
	compacted actor.Flag                 // watches of the jobs fail, because the history is lost
	panics    actor.Flag                 // calls panic
}

func (s *cuttableStore) isCut(ctx context.Context) bool {
	if s.panics.Get() {
		panic("the call of the table service fails")
	}
	cut := s.cut.Get()
	if cut == nil || !*cut {
		return false
	}
	<-ctx.Done()
	return true
}

// silence makes the open connections to the table service silent. Later calls are answered.
func (s *cuttableStore) silence() { s.silentAt.Set(new(time.Now())) }

// answered waits until a call that began at a time has its answer. It reports false if
// there is none before ctx ends.
func (s *cuttableStore) answered(ctx context.Context, began time.Time) bool {
	if slow := s.slow.Get(); slow != nil && !actor.Sleep(ctx, *slow) {
		return false
	}
	if at := s.silentAt.Get(); at != nil && !began.After(*at) {
		<-ctx.Done()
		return false
	}
	return true
}

func (s *cuttableStore) Commit(ctx context.Context, t table.Txn) (table.Revision, error) {
	began := time.Now()
	if s.isCut(ctx) {
		return 0, storage.ErrOutcomeUnknown
	}
	if late := s.late.Get(); late != nil && *late > 0 {
		return s.commitLate(ctx, *late, t)
	}
	revision, err := s.Store.Commit(ctx, t)
	if !s.answered(ctx, began) {
		return 0, storage.ErrOutcomeUnknown
	}
	return revision, err
}

// commitLate commits a transaction after a delay, whether or not the caller still waits.
func (s *cuttableStore) commitLate(ctx context.Context, delay time.Duration, t table.Txn) (table.Revision, error) {
	type result struct {
		revision table.Revision
		err      error
	}
	done := make(chan result, 1)
	actor.Go(s.group, "late write", func(ctx context.Context) error {
		if actor.Sleep(ctx, delay) {
			revision, err := s.Store.Commit(ctx, t)
			done <- result{revision, err}
		}
		return nil
	})
	select {
	case r := <-done:
		return r.revision, r.err
	case <-ctx.Done():
		return 0, storage.ErrOutcomeUnknown
	}
}

func (s *cuttableStore) Read(ctx context.Context, key string) (table.Row, error) {
	if s.isCut(ctx) {
		return table.Row{}, storage.ErrUnavailable
	}
	began := time.Now()
	row, err := s.Store.Read(ctx, key)
	if !s.answered(ctx, began) {
		return table.Row{}, storage.ErrUnavailable
	}
	return row, err
}

func (s *cuttableStore) Scan(ctx context.Context, prefix string, after table.Revision) ([]table.Row, table.Revision, error) {
	if s.isCut(ctx) {
		return nil, 0, storage.ErrUnavailable
	}
	began := time.Now()
	rows, revision, err := s.Store.Scan(ctx, prefix, after)
	if !s.answered(ctx, began) {
		return nil, 0, storage.ErrUnavailable
	}
	return rows, revision, err
}

func (s *cuttableStore) Watch(ctx context.Context, prefix string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	if s.isCut(ctx) {
		return nil, 0, storage.ErrUnavailable
	}
	if prefix == "jobs/" && s.compacted.Get() {
		return nil, 0, storage.ErrCompacted
	}
	began := time.Now()
	rows, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if !s.answered(ctx, began) {
		return nil, 0, storage.ErrUnavailable
	}
	return rows, revision, err
}
