package jobdaemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/table"
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
	boots   uint64   // entries that were started
	seeds   []string // of the entries that are started
	memory  int64    // of the entries that are started; 0: not known
}

type ownerSiteEntry struct {
	controller *controller // only its address may be used outside its loop
	group      *actor.Group
	store      *cuttableStore
	listener   link.Listener
	view       actor.Value[ownerView]
	events     chan *log.Entry
	config     actor.Value[workload.Config]
	stepCost   actor.Value[time.Duration] // of a step of the loop while the entry plans the jobs; nil: 0
}

// ownerView is the state of an entry after a step of its loop.
type ownerView struct {
	owns, handingOver, plans, formerOwnerEnded, formerOwnersFenced bool
	epoch                                                          uint64
	managesTestJob                                                 bool // the entry owns the jobs, and testJob is one of them
}

const testJob workload.JobID = "job-0"

const testConfigKey = "op//config"

// decodeTestConfig decodes a configuration that consists of its version.
func decodeTestConfig(raw []byte) (*workload.Config, error) {
	version, err := strconv.ParseUint(string(raw), 10, 64)
	return &workload.Config{Version: version}, err
}

// publishView copies the state of the controller for the test.
func (e *ownerSiteEntry) publishView() {
	c := e.controller
	v := ownerView{
		owns: c.jobs != nil, handingOver: c.owner.HandingOver(), plans: c.plans(), formerOwnerEnded: c.owner.FormerOwnerEnded(),
		formerOwnersFenced: c.owner.FormerOwnersFenced(), epoch: c.owner.Epoch(),
	}
	if v.owns {
		_, v.managesTestJob = c.jobs.Phase(testJob)
	}
	e.view.Set(&v)
}

// HandleLog implements log.Handler.
func (e *ownerSiteEntry) HandleLog(entry *log.Entry) error {
	e.events <- entry
	return nil
}

// logged returns the fields of the entries of an event since the last call, and
// discards all others.
func (e *ownerSiteEntry) logged(event int) []log.Fields {
	var list []log.Fields
	for len(e.events) > 0 {
		if entry := <-e.events; entry.Fields["event"] == event {
			list = append(list, entry.Fields)
		}
	}
	return list
}

// newOwnerSite starts one entry for each share, with the names entry-0, entry-1
// and so on, and waits until one of them owns the jobs.
func newOwnerSite(t *testing.T, shares ...model.MilliCPU) *ownerSite {
	s := &ownerSite{t: t, group: actor.NewGroup(t.Context(), nil), net: link.NewMemory(t.Context(), 1), entries: map[string]*ownerSiteEntry{}, seeds: []string{"entry-0"}}
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

// start starts an entry.
func (s *ownerSite) start(name string, share model.MilliCPU) {
	s.boots++
	e := &ownerSiteEntry{group: actor.NewGroup(s.t.Context(), nil), store: &cuttableStore{Store: s.store, group: s.group}, events: make(chan *log.Entry, 10_000)}
	s.entries[name] = e
	cfg := EntryConfig{
		Name: name, Links: name, Seeds: s.seeds, Boot: s.boots, ProcessorShare: share, Memory: s.memory, Store: e.store,
		Config: ConfigSource{Key: testConfigKey, Prefix: "op//", Decode: decodeTestConfig},
		Log:    &log.Logger{Handler: e, Level: log.DebugLevel},
	}
	e.controller = newController(e.group, cfg, newEntryMetrics(metrics.Start(e.group)), &e.config)
	listener, err := s.net.Listen(name)
	require.NoError(s.t, err)
	e.listener = listener
	loop := e.controller.loop()
	flush := loop.Flush
	loop.Flush = func() {
		flush()
		e.publishView()
		if cost := e.stepCost.Get(); cost != nil && e.controller.plans() {
			time.Sleep(*cost)
		}
	}
	e.controller.start(loop, e.group.Sub(), cfg, listener, s.net.Dialer(name))
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
		if e.view.Get().owns {
			list = append(list, name)
		}
	}
	return list
}

// kill ends an entry without a release of the jobs.
func (s *ownerSite) kill(name string) {
	s.entries[name].group.Stop()
	require.NoError(s.t, s.entries[name].listener.Close())
	delete(s.entries, name)
}
