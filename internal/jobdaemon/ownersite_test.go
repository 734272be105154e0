package jobdaemon

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// watchedTable is a simulated table service with watches and the rows of failed
// checks.
type watchedTable struct{ *standin.Table }

func (s watchedTable) Commit(ctx context.Context, t table.Txn) (table.Revision, error) {
	revision, err := s.Table.Commit(ctx, t)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		for _, key := range conflict.Keys {
			if row, err := s.Read(ctx, key); err == nil {
				conflict.Rows = append(conflict.Rows, row)
			}
		}
	}
	return revision, err
}

const watchInterval = 20 * time.Millisecond // of the simulated table service

func (s watchedTable) Watch(ctx context.Context, prefix string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	for end := time.Now().Add(wait); ; {
		rows, revision, err := s.Scan(ctx, prefix, after)
		if err != nil || len(rows) > 0 || time.Now().After(end) {
			return rows, revision, err
		}
		if !actor.Sleep(ctx, watchInterval) {
			return nil, 0, ctx.Err()
		}
	}
}

// ownerSite consists of linked entries that use one table service and may own the
// jobs.
type ownerSite struct {
	t       *testing.T
	group   *actor.Group
	net     *link.Memory
	store   watchedTable
	entries map[string]*ownerSiteEntry
}

type ownerSiteEntry struct {
	controller *controller
	group      *actor.Group
}

// newOwnerSite starts one entry for each share, with the names entry-0, entry-1
// and so on, and waits until one of them owns the jobs.
func newOwnerSite(t *testing.T, shares ...model.MilliCPU) *ownerSite {
	s := &ownerSite{t: t, group: actor.NewGroup(t.Context(), nil), net: link.NewMemory(t.Context(), 1), entries: map[string]*ownerSiteEntry{}}
	s.store = watchedTable{standin.NewTable(s.group, standin.StoreFaults{WritesPerSecond: -1, ReadsPerSecond: -1})}
	s.net.SetDelay(link.Any, link.Any, time.Millisecond, 0)
	for i, share := range shares {
		s.start(fmt.Sprintf("entry-%d", i), share)
	}
	s.advance(5 * time.Second)
	return s
}

func (s *ownerSite) stop() {
	for _, e := range s.entries {
		e.group.Stop()
	}
	s.net.Close()
	s.group.Stop()
}

// start starts an entry. Its seed is entry-0.
func (s *ownerSite) start(name string, share model.MilliCPU) {
	e := &ownerSiteEntry{group: actor.NewGroup(s.t.Context(), nil)}
	s.entries[name] = e
	cfg := EntryConfig{
		Name: name, Links: name, Seeds: []string{"entry-0"}, Boot: uint64(len(s.entries)), ProcessorShare: share, Store: s.store,
		Config: ConfigSource{Key: "op//config", Prefix: "op//"},
		Log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	e.controller = newController(e.group, cfg, newEntryMetrics(metrics.Start(e.group)), &actor.Value[workload.Config]{})
	listener, err := s.net.Listen(name)
	require.NoError(s.t, err)
	e.controller.start(e.controller.loop(), e.group.Sub(), cfg, listener, s.net.Dialer(name))
}

// advance lets the time pass.
func (s *ownerSite) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// owners returns the names of the entries that own the jobs.
func (s *ownerSite) owners() []string {
	var list []string
	for name, e := range s.entries {
		if e.controller.jobs != nil {
			list = append(list, name)
		}
	}
	return list
}

// kill ends an entry without a release of the jobs.
func (s *ownerSite) kill(name string) {
	s.entries[name].group.Stop()
	delete(s.entries, name)
}

// Guards against jobs whose owner has a small processor share while the host of
// another entry has a large one, at the start and after the end of the owner: the
// announced shares reach the decision.
func TestEntryOnTheLargestHostOwnsTheJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190, 800, 400)
		defer s.stop()
		require.Equal(t, []string{"entry-1"}, s.owners())
		s.kill("entry-1")
		s.advance(time.Second)
		require.Equal(t, []string{"entry-2"}, s.owners())
	})
}

// Guards against jobs without an owner while entries of a former program, which
// announce no processor share, run beside those of this program.
func TestEntriesThatAnnounceNoShareOwnTheJobsToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 0, 0, 190)
		defer s.stop()
		require.Equal(t, []string{"entry-2"}, s.owners())
		s.kill("entry-2")
		s.advance(time.Second)
		require.Equal(t, []string{"entry-0"}, s.owners())
	})
}

// Guards against jobs without an owner for the rest of the grace period, in which
// leases expire: an entry was stopped while it read the jobs, and its row named it
// until its links ended.
func TestJobsAreReleasedWhileTheyAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400)
		defer s.stop()
		require.Equal(t, []string{"entry-0"}, s.owners())
		c := s.entries["entry-0"].controller
		c.loading = true
		released := actor.NewReply[bool]()
		c.post(t.Context(), &retireRequest{released})
		s.advance(time.Second)
		require.Equal(t, []string{"entry-1"}, s.owners())
		answered, err := released.Get(t.Context())
		require.NoError(t, err)
		require.True(t, answered)
		row, err := s.store.Read(t.Context(), ownerKey)
		require.NoError(t, err)
		owner, err := wire.DecodeOwner(row.Value)
		require.NoError(t, err)
		require.Equal(t, "entry-1", owner.Name)
		require.False(t, owner.Unsettled, "nothing was running before the former owner")
	})
}
