package jobdaemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// phaseTable is a table service that holds jobs and rows that were added later.
type phaseTable struct {
	jobs    []table.Row
	added   chan map[string]table.Row // holds the rows by key
	commits actor.Counter
	reads   actor.Counter
}

func (s *phaseTable) Commit(_ context.Context, t table.Txn) (table.Revision, error) {
	revision := table.Revision(s.commits.Next())
	added := <-s.added
	for _, p := range t.Puts {
		added[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: revision}
	}
	s.added <- added
	return revision, nil
}

func (s *phaseTable) Read(_ context.Context, key string) (table.Row, error) {
	if key != ownerKey {
		s.reads.Next()
	}
	added := <-s.added
	row, found := added[key]
	s.added <- added
	for i := 0; i < len(s.jobs) && !found; i++ {
		if s.jobs[i].Key == key {
			row, found = s.jobs[i], true
		}
	}
	if !found {
		return row, storage.ErrNotFound
	}
	return row, nil
}

func (s *phaseTable) Scan(_ context.Context, prefix string, _ table.Revision) ([]table.Row, table.Revision, error) {
	var rows []table.Row
	for _, r := range s.jobs {
		if strings.HasPrefix(r.Key, prefix) {
			rows = append(rows, r)
		}
	}
	return rows, 1, nil
}

func (s *phaseTable) Watch(ctx context.Context, _ string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	actor.Sleep(ctx, wait)
	return nil, after, nil
}

// storedJobs returns the rows of n accepted jobs with names as long as those of
// the site.
func storedJobs(t *testing.T, n int) []table.Row {
	var rows []table.Row
	for i := range n {
		j := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", i)), Queue: "consent-roster-1", Service: "desk", MaxAttempts: 3, TargetSlowdown: 2,
			TargetLatency: time.Second, Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 100, MemoryMB: 1}, Estimate: time.Second}}}
		value, err := wire.EncodeJob(&j)
		require.NoError(t, err)
		rows = append(rows, table.Row{Key: jobKey(j.ID), Value: value, Version: 1})
	}
	return rows
}

// phaseSite consists of an owner of the jobs and other entries, on hosts with
// small network connections.
type phaseSite struct {
	t       *testing.T
	group   *actor.Group
	net     *link.Memory
	table   *phaseTable
	metrics *metrics.Registry
	entries []*phaseEntry // the owner first
}

// phaseEntry is one process of an entry.
type phaseEntry struct {
	name    string
	group   *actor.Group
	access  *accessLink
	links   *links
	lost    actor.Counter      // links that ended
	slowest chan time.Duration // holds the longest time that a message waited
	c       *controller
}

func newPhaseSite(t *testing.T, entries, jobs int) *phaseSite {
	s := &phaseSite{t: t, group: actor.NewGroup(t.Context(), nil), net: link.NewMemory(t.Context(), 1), table: &phaseTable{jobs: storedJobs(t, jobs), added: make(chan map[string]table.Row, 1)}}
	s.table.added <- map[string]table.Row{}
	s.net.SetDelay(link.Any, link.Any, 700*time.Microsecond, 0)
	s.metrics = metrics.Start(s.group)
	for i := range entries {
		s.entries = append(s.entries, s.start(i, 1))
	}
	return s
}

// start starts a process of an entry, which dials the entries before it.
func (s *phaseSite) start(index int, boot uint64) *phaseEntry {
	e := &phaseEntry{name: fmt.Sprintf("entry-%02d", index), group: s.group.Sub(), access: newAccessLink(slowRate), slowest: make(chan time.Duration, 1)}
	e.slowest <- 0
	l := &log.Logger{Handler: log.HandlerFunc(func(entry *log.Entry) error {
		if entry.Fields["event"] == event.PeerLost.ID {
			e.lost.Next()
		}
		return nil
	}), Level: log.DebugLevel}
	e.c = &controller{
		self: msg.Member{Name: e.name, Address: e.name}, log: l, group: e.group, startedAt: time.Now(), metrics: newEntryMetrics(s.metrics),
		links: map[linkID]*peerLink{}, agents: map[workload.HostName]*agentView{}, members: map[string]msg.Member{},
		cancels: unconfirmedCancels{}, phases: newPhaseCache(), owner: ownership.New(e.name, boot, 0, 0), published: &published{},
		peerCommits: peerCommits{pending: map[uint64]*pendingCommit{}},
	}
	if index > 0 {
		e.c.owner.Retire(0)
	}
	e.c.config = newConfigState(e.group, e.c, ConfigSource{}, &actor.Value[workload.Config]{}, 0)
	e.c.storeProxy = &storeProxy{store: s.table, log: l}
	e.c.address = actor.Spawn(e.group, actor.Spec[any]{Name: "controller", Mailbox: controllerMailbox, Run: func(ctx context.Context, in <-chan any) error {
		return actor.BatchLoop[any]{Limit: maxBatch, Interval: controllerTick, Tick: e.c.tick, Flush: e.c.flush, Pending: e.c.planPending, Apply: func(m any) {
			if command, ok := m.(func(*controller)); ok {
				command(e.c)
				return
			}
			e.c.apply(m)
		}}.Run(ctx, in)
	}})
	e.links = &links{group: e.group, send: e.c.address.Send, hello: func() *msg.PeerHello { return e.c.hello(EntryConfig{Boot: boot}) }}
	listener, err := s.net.Listen(e.name)
	require.NoError(s.t, err)
	actor.Go(e.group, "link acceptor", func(ctx context.Context) error {
		for {
			conn, err := listener.Accept(ctx)
			if err != nil {
				_ = listener.Close()
				return err
			}
			actor.Go(e.group, "accepted link", func(ctx context.Context) error { return e.links.run(ctx, e.measured(ctx, conn)) })
		}
	})
	for i := range index {
		address := fmt.Sprintf("entry-%02d", i)
		d := &dialer{links: e.links, dial: &measuredDialer{s.net.Dialer(e.name), e.group.Context(), e}, address: address, linked: func(a string) bool {
			linked := e.c.published.linked.Get()
			return linked != nil && (*linked)[a]
		}}
		actor.Go(e.group, "dialer", d.run)
	}
	return e
}

func (s *phaseSite) stop() {
	s.group.Stop()
	for _, e := range s.entries {
		e.group.Stop()
	}
	s.net.Close()
}

// ask evaluates f in the controller of an entry.
func ask[T any](e *phaseEntry, f func(*controller) T) T {
	reply := actor.NewReply[T]()
	ctx := e.group.Context()
	_ = e.c.address.Send(ctx, any(func(c *controller) { reply.Put(f(c)) }))
	v, _ := reply.Get(ctx)
	return v
}

// knownPhases returns the number of jobs whose phase an entry has.
func (e *phaseEntry) knownPhases() int {
	return ask(e, func(c *controller) int { return len(c.phases.jobs) })
}

// waitUntil returns the time until all entries satisfy a condition.
func (s *phaseSite) waitUntil(limit time.Duration, condition func(*phaseEntry) bool) time.Duration {
	started := time.Now()
	for _, e := range s.entries {
		for !condition(e) {
			require.Less(s.t, time.Since(started), limit, "%s has %d phases", e.name, e.knownPhases())
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(started)
}

func (e *phaseEntry) measured(ctx context.Context, conn link.Conn) link.Conn {
	return &measuredConn{limitedConn{conn, ctx, e.access}, e}
}

// measuredConn measures how long messages other than phases wait for the network
// connection of their sender.
type measuredConn struct {
	limitedConn
	entry *phaseEntry
}

func (c *measuredConn) Send(m msg.Control) error {
	started := time.Now()
	err := c.limitedConn.Send(m)
	if _, phases := m.(*msg.JobPhases); phases {
		return err
	}
	d := time.Since(started)
	c.entry.slowest <- max(d, <-c.entry.slowest)
	return err
}

type measuredDialer struct {
	link.Dialer
	ctx   context.Context // of the connections
	entry *phaseEntry
}

func (d *measuredDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return d.entry.measured(d.ctx, conn), nil
}

// receivedBytes returns the bytes of peers that the entry has received.
func (e *phaseEntry) receivedBytes() int {
	e.access.in <- struct{}{}
	defer func() { <-e.access.in }()
	return e.access.peerBytes
}

func (e *phaseEntry) linkedTo(name string) bool {
	linked := e.c.published.linked.Get()
	return linked != nil && (*linked)[name]
}
