package jobdaemon

import (
	"context"
	"encoding/binary"
	"fmt"
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
	"github.com/bambooscale/bambooscale/internal/workload"
)

// The entries and the configuration of the site on which a version came into
// force late: 6 entries with 200 Mbit/s and 10 with 10 Mbit/s, 1051 queues.
const (
	fastEntries    = 6
	slowEntries    = 10
	fastRate       = 200e6 / 8 // bytes per second
	slowRate       = 10e6 / 8
	configBytes    = 203138 // during the storm
	firstBytes     = 47579
	stormVersions  = 14
	stormGap       = 430 * time.Millisecond
	inForceTimeout = 3 * time.Second // stated for this site, from the acknowledgement by the table service
	controlRate    = 11 << 10        // stated bytes per second for the control of a daemon
)

// configSite consists of linked entries that watch one table service.
type configSite struct {
	t       *testing.T
	group   *actor.Group
	net     *link.Memory
	table   *configTable
	entries []*configEntry
	// lostLinks counts the links that ended, once for each side.
	lostLinks actor.Gauge
}

type configEntry struct {
	controller *controller
	links      *links
	access     *accessLink
	client     *tableClient
	inUse      *actor.Value[workload.Config]
}

func (e *configEntry) version() uint64 {
	if c := e.inUse.Get(); c != nil {
		return c.Version
	}
	return 0
}

// newConfigSite starts the entries, links them, and waits until version 1 is in
// force.
func newConfigSite(t *testing.T) *configSite {
	ctx := t.Context()
	s := &configSite{t: t, group: actor.NewGroup(ctx, nil), net: link.NewMemory(ctx, 1), table: &configTable{}}
	s.table.newest.Set(&tableConfig{1, make([]byte, firstBytes), make(chan struct{})})
	s.net.SetDelay(link.Any, link.Any, 700*time.Microsecond, 0)
	registry := metrics.Start(s.group)
	for i := range fastEntries + slowEntries {
		rate := fastRate
		if i >= fastEntries {
			rate = slowRate
		}
		s.entries = append(s.entries, s.startEntry(fmt.Sprintf("entry-%02d", i), rate, registry))
	}
	for i, e := range s.entries {
		for j := range i {
			actor.Go(s.group, "dialer", e.dialer(s, fmt.Sprintf("entry-%02d", j)).run)
		}
	}
	for range 60 {
		time.Sleep(time.Second)
		if s.allLinked() {
			break
		}
	}
	require.True(t, s.allLinked())
	require.True(t, s.inForce(1))
	return s
}

func (s *configSite) allLinked() bool {
	for _, e := range s.entries {
		if len(e.linkedNames()) != len(s.entries)-1 {
			return false
		}
	}
	return true
}

func (s *configSite) stop() {
	s.group.Stop()
	s.net.Close()
}

func (e *configEntry) linkedNames() map[string]bool { return *e.controller.published.linked.Get() }

func (s *configSite) startEntry(name string, rate float64, registry *metrics.Registry) *configEntry {
	e := &configEntry{access: newAccessLink(rate), inUse: &actor.Value[workload.Config]{}}
	e.client = &tableClient{table: s.table, access: e.access}
	l := &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
		if e.Fields["event"] == event.PeerLost.ID {
			s.lostLinks.Add(1)
		}
		return nil
	}), Level: log.WarnLevel}
	c := &controller{
		self: msg.Member{Name: name, Address: name}, log: l, group: s.group, startedAt: time.Now(), metrics: newEntryMetrics(registry),
		links: map[linkID]*peerLink{}, agents: map[workload.HostName]*agentView{}, members: map[string]msg.Member{},
		phases: newPhaseCache(), owner: ownership.New(name, 1, 0, 0), published: &published{},
		peerCommits: peerCommits{pending: map[uint64]*pendingCommit{}},
	}
	c.owner.Retire(0) // this test is not about the owner
	source := ConfigSource{Key: "op//config", Prefix: "op//", Decode: func(raw []byte) (*workload.Config, error) {
		if len(raw) < 8 {
			return nil, fmt.Errorf("configuration of %d bytes", len(raw))
		}
		return &workload.Config{Version: binary.BigEndian.Uint64(raw)}, nil
	}}
	c.config = newConfigState(s.group, c, source, e.inUse, int64(rate*8))
	c.storeProxy = &storeProxy{store: e.client, log: l}
	c.address = actor.Spawn(s.group, actor.Spec[any]{Name: "controller", Mailbox: controllerMailbox, Run: c.loop().Run})
	listener, err := s.net.Listen(name)
	require.NoError(s.t, err)
	e.controller = c
	links := &links{group: s.group, send: c.address.Send, hello: func() *msg.PeerHello {
		return &msg.PeerHello{Member: c.self, RequestsConfig: true, ConfigChunks: true, LinkRate: int64(rate * 8)}
	}}
	e.links = links
	actor.Go(s.group, "link acceptor", func(ctx context.Context) error {
		for {
			conn, err := listener.Accept(ctx)
			if err != nil {
				return err
			}
			actor.Go(s.group, "accepted link", func(ctx context.Context) error {
				return links.run(ctx, &limitedConn{conn, ctx, e.access})
			})
		}
	})
	c.startConfigWatch()
	return e
}

// limitedDialer dials in the memory network over the access link of an entry.
type limitedDialer struct {
	link.Dialer
	ctx    context.Context // of the connections
	access *accessLink
}

func (d *limitedDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &limitedConn{conn, d.ctx, d.access}, nil
}

func (e *configEntry) dialer(s *configSite, address string) *dialer {
	return &dialer{links: e.links, dial: &limitedDialer{s.net.Dialer(e.controller.self.Name), s.group.Context(), e.access}, address: address, linked: func(a string) bool {
		linked := e.controller.published.linked.Get()
		return linked != nil && (*linked)[a]
	}}
}

// storm writes versions as the operators did on the day of the incident. It
// returns the longest time from a write until its version, or a newer one, was
// in force at every entry.
func (s *configSite) storm() time.Duration {
	written := map[uint64]time.Time{}
	var longest time.Duration
	next := time.Now()
	for len(written) < stormVersions || s.behind(written) {
		if len(written) < stormVersions && !time.Now().Before(next) {
			version := s.table.newest.Get().version + 3
			written[version] = time.Now()
			s.table.put(version)
			next = next.Add(stormGap)
		}
		time.Sleep(10 * time.Millisecond)
		for version, at := range written {
			if !s.inForce(version) {
				longest = max(longest, time.Since(at))
			}
		}
		if longest > time.Minute {
			break
		}
	}
	return longest
}

func (s *configSite) behind(written map[uint64]time.Time) bool {
	for version := range written {
		if !s.inForce(version) {
			return true
		}
	}
	return false
}

func (s *configSite) inForce(version uint64) bool {
	for _, e := range s.entries {
		if e.version() < version {
			return false
		}
	}
	return true
}

func (s *configSite) tableBytes() []int {
	var n []int
	for _, e := range s.entries {
		e.access.in <- struct{}{}
		n = append(n, e.access.tableBytes)
		<-e.access.in
	}
	return n
}

func (s *configSite) peerBytes() []int {
	var n []int
	for _, e := range s.entries {
		e.access.in <- struct{}{}
		n = append(n, e.access.peerBytes)
		<-e.access.in
	}
	return n
}
