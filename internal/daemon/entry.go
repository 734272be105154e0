package daemon

import (
	"context"
	"net"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/platform"
	"github.com/bambooscale/bambooscale/internal/settings"
)

// EntryConfig is what an entry process needs.
type EntryConfig struct {
	Settings *settings.Settings
	Table    platform.Table
	Objects  platform.Objects
	Callers  net.Listener
	Agents   link.Listener
	Operator net.Listener
	Log      log.Interface
}

// Entry is a running entry.
type Entry struct {
	shutdownCallers func(context.Context) error
}

// StartEntry starts the actors of an entry in g.
func StartEntry(g *actor.Group, c EntryConfig) *Entry {
	set := c.Settings
	self := entry.Self{Entry: model.EntryID(set.Daemon.ID), Boot: newBoot(), DataCentre: set.Daemon.DataCentre}
	store := configstore.StartStore(g, configstore.StoreConfig{ID: self.Entry, Table: c.Table, Check: configCheck, Log: c.Log})
	table := &actor.Value[entry.RoutingTable]{}
	empty := routing(configstore.NewSnapshot(0, nil), set.Entry.DefaultService)
	dispatcher := entry.SpawnDispatcher(g, self, empty, table)
	// Subscribe fails only when the process ends.
	_ = store.Subscribe(g.Context(), func(u configstore.Update) bool {
		return dispatcher.TrySend(entry.Routing{Table: routing(u.Snapshot, set.Entry.DefaultService)})
	})
	startLinks(g, c, self, store, dispatcher)
	front := &entry.Frontend{
		Dispatcher: dispatcher, Table: table.Get, MaxBody: int64(set.Entry.MaxBody),
		Slots: make(chan struct{}, set.Entry.MaxCallers),
	}
	e := &Entry{}
	e.shutdownCallers = serve(g, "callers listener", c.Callers, front, int(set.Entry.MaxHeader))
	watchPauses(g, c.Log)
	return e
}

func startLinks(g *actor.Group, c EntryConfig, self entry.Self, store *configstore.Store, dispatcher entry.Address) {
	links := &entry.Links{
		Self: self, Dispatcher: dispatcher, Log: c.Log,
		Subscribers: []entry.Subscriber{entryConfig{g.Context(), store.Handle}},
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

// Drain accepts no new callers and waits until every request in progress has
// been answered.
func (e *Entry) Drain(ctx context.Context) error { return e.shutdownCallers(ctx) }

// entryConfig passes configuration messages of agents to the store.
type entryConfig struct {
	ctx    context.Context
	handle configstore.Handle
}

// The sends below fail only when the process ends.

func (s entryConfig) AgentUp(hello msg.AgentHello, out peer.Out) {
	_ = s.handle.LinkUp(s.ctx, string(hello.Worker.ID), hello.Version, out)
}

func (s entryConfig) AgentDown(hello msg.AgentHello, out peer.Out) {
	_ = s.handle.LinkDown(s.ctx, string(hello.Worker.ID), out)
}

func (s entryConfig) FromAgent(hello msg.AgentHello, m msg.Control) {
	_ = s.handle.Deliver(s.ctx, string(hello.Worker.ID), m)
}
