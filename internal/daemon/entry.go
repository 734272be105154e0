package daemon

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/directory"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/operator"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/settings"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// EntryConfig is what an entry process needs.
type EntryConfig struct {
	Settings *settings.Settings
	Build    string // version of the program
	Table    storage.Table
	Objects  storage.Objects
	Callers  net.Listener
	Agents   link.Listener
	Operator net.Listener
	// LameDuck is how long a draining entry goes on accepting callers while
	// /healthz tells the platform's balancer to send no more: a connection that
	// waits in the kernel's queue is reset when its listener closes.
	LameDuck time.Duration
	Began    time.Time // start of the process; zero: services that are not known are so at once
	Log      log.Interface
	Recent   *Recent // the newest log events; may be nil
}

// directoryInterval is how often an entry reads the list of entries.
const directoryInterval = 5 * time.Second

// Entry is a running entry.
type Entry struct {
	shutdownCallers func(context.Context) error
	api             *operator.API
	leaving         *actor.Value[bool]
	lameDuck        time.Duration
}

// SetOperatorToken replaces the token of the operators' API.
func (e *Entry) SetOperatorToken(token string) { e.api.SetToken(token) }

// StartEntry starts the actors of an entry in g.
func StartEntry(g *actor.Group, c EntryConfig) *Entry {
	set := c.Settings
	self := entry.Self{Entry: model.EntryID(set.Daemon.ID), Boot: newBoot(), DataCentre: set.Daemon.DataCentre}
	store := configstore.StartStore(g, configstore.StoreConfig{ID: self.Entry, Table: c.Table, Validator: configCheck, Log: c.Log})
	table := &actor.Value[entry.RoutingTable]{}
	dispatcher := entry.SpawnDispatcher(g, self, routing(configstore.NewSnapshot(0, nil), set), table)
	controllers := startCells(g, set.Entry.Cells, self, c.Agents.Addr(), c.Table, c.Log)
	// Subscribe fails only when the process ends.
	_ = store.Subscribe(g.Context(), func(u configstore.Update) bool {
		return dispatcher.TrySend(entry.SetRouting{Table: routing(u.Snapshot, set)}) && controllers.configure(u.Snapshot)
	})
	startLinks(g, c, self, store, dispatcher, controllers)
	registry := metrics.Start(g)
	recent := metrics.StartRecentRequests(g)
	v := &view{recent: recent, self: self, dispatcher: dispatcher, cells: controllers, table: c.Table,
		entries: &actor.Value[directory.List]{}, leaving: &actor.Value[bool]{}}
	api := startOperator(g, c, v, store, registry)
	front := &entry.Frontend{
		Dispatcher: dispatcher, Table: table.Get, MaxBody: int64(set.Entry.MaxBody),
		StartedAt: c.Began, Semaphore: make(chan struct{}, set.Entry.MaxCallers), Observe: observer(metrics.StartRequests(g, registry), recent.Observe),
	}
	directory.Announce(g, c.Table, rows.Entry{
		ID: self.Entry, Boot: self.Boot, Address: c.Agents.Addr(), Operator: c.Operator.Addr().String(),
		DataCentre: self.DataCentre, Region: set.Daemon.Region,
	})
	watchPauses(g, c.Log)
	return &Entry{api: api, leaving: v.leaving, lameDuck: c.LameDuck, shutdownCallers: serve(g, "callers listener", c.Callers, front, int(set.Entry.MaxHeader))}
}

// observer turns the results of requests into measurements.
func observer(records ...func(metrics.Observation)) func(entry.Result) {
	return func(r entry.Result) {
		outcome := "done"
		switch {
		case r.Status == 0:
			outcome = "aborted"
		case r.LocalReply:
			outcome = r.Outcome.String()
		}
		for _, record := range records {
			record(metrics.Observation{Service: string(r.Service), Class: string(r.Class), Tenant: string(r.Tenant),
				Outcome: outcome, Duration: r.Duration})
		}
	}
}

func startLinks(g *actor.Group, c EntryConfig, self entry.Self, store *configstore.Store, dispatcher entry.Address, controllers *cells) {
	links := &entry.Links{
		Self: self, Dispatcher: dispatcher, Log: c.Log,
		Subscribers: []entry.Subscriber{entryConfig{g.Context(), store.Handle}, controllers},
		Version: func() model.ConfigVersion {
			u, err := store.Current(g.Context())
			if err != nil {
				return 0
			}
			return u.Snapshot.Version()
		},
	}
	actor.Go(g, "agents listener", func(ctx context.Context) error { return links.Accept(ctx, c.Agents) })
}

// Drain reports the entry as unhealthy, accepts no new callers after the lame
// duck time, and waits until every request in progress has been answered.
func (e *Entry) Drain(ctx context.Context) error {
	leaving := true
	e.leaving.Set(&leaving)
	if !actor.Sleep(ctx, e.lameDuck) {
		return ctx.Err()
	}
	return e.shutdownCallers(ctx)
}

// entryConfig passes configuration messages of agents to the store.
type entryConfig struct {
	ctx    context.Context
	handle configstore.Handle
}

// The sends below fail only when the process ends.

// AgentUp implements entry.Subscriber.
func (s entryConfig) AgentUp(hello msg.AgentHello, out peer.Out) {
	_ = s.handle.LinkUp(s.ctx, string(hello.Worker.ID), hello.Version, out)
}

// AgentDown implements entry.Subscriber.
func (s entryConfig) AgentDown(hello msg.AgentHello, out peer.Out) {
	_ = s.handle.LinkDown(s.ctx, string(hello.Worker.ID), out)
}

// FromAgent implements entry.Subscriber.
func (s entryConfig) FromAgent(hello msg.AgentHello, m msg.Control) {
	switch m.(type) {
	case *msg.ConfigDelta, *msg.ConfigRequest, *msg.ConfigApplied:
		_ = s.handle.Deliver(s.ctx, string(hello.Worker.ID), m)
	}
}
