package daemon

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/directory"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/httpserve"
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

// EntryConfig holds the options of an entry process.
type EntryConfig struct {
	Settings *settings.Settings
	Build    string // version of the program
	Table    storage.Table
	Objects  storage.Objects
	Callers  net.Listener
	Agents   link.Listener
	Operator net.Listener
	// DrainDelay is how long a draining entry still accepts callers while
	// /healthz reports it as unhealthy to the platform's balancer. Connections
	// that wait in the kernel's accept queue are reset when the listener closes.
	DrainDelay   time.Duration
	StartedAt    time.Time // start of the process, see entry.Frontend.StartedAt
	Log          log.Interface
	RecentEvents *RecentEvents // the newest log events; may be nil
}

// directoryInterval is the time between two reads of the list of entries by an
// entry.
const directoryInterval = 5 * time.Second

// Entry is a running entry.
type Entry struct {
	callers    callerServer
	api        *operator.API
	operators  operatorServer // the API as a drain uses it
	draining   *actor.Value[bool]
	drainDelay time.Duration
	log        log.Interface
}

// callerServer is the part of httpserve.Server that a drain uses.
type callerServer interface {
	Leave()
	Close(context.Context) error
	Counts() httpserve.Counts
}

// operatorServer is the part of operator.API that a drain uses.
type operatorServer interface{ Close(context.Context) error }

// SetOperatorToken replaces the token of the operators' API.
func (e *Entry) SetOperatorToken(token string) { e.api.SetToken(token) }

// StartEntry starts the actors of an entry in g.
func StartEntry(g *actor.Group, c EntryConfig) *Entry {
	cfg := c.Settings
	self := entry.Self{Entry: model.EntryID(cfg.Daemon.ID), Boot: newBoot(), DataCentre: cfg.Daemon.DataCentre}
	store := configstore.StartStore(g, configstore.StoreConfig{ID: self.Entry, Table: c.Table, Validator: configValidator, Log: c.Log})
	routes := &actor.Value[entry.RoutingTable]{}
	dispatcher := entry.SpawnDispatcher(g, self, routingTable(configstore.NewSnapshot(0, nil), cfg), routes)
	controllers := startCellControllers(g, cfg.Entry.Cells, self, c.Agents.Addr(), c.Table, c.Log)
	// Subscribe fails only when the process ends.
	_ = store.Subscribe(g.Context(), func(u configstore.Update) bool {
		return dispatcher.TrySend(entry.SetRouting{Table: routingTable(u.Snapshot, cfg)}) && controllers.setConfig(u.Snapshot)
	})
	startAgentLinks(g, c, self, store, dispatcher, controllers)
	registry := metrics.Start(g)
	recentRequests := metrics.StartRecentRequests(g)
	v := &operatorView{recentRequests: recentRequests, self: self, dispatcher: dispatcher, cells: controllers, table: c.Table,
		entries: &actor.Value[directory.List]{}, draining: &actor.Value[bool]{}}
	api := startOperator(g, c, v, store, registry)
	frontend := &entry.Frontend{
		Dispatcher: dispatcher, Table: routes.Get, MaxBody: int64(cfg.Entry.MaxBody),
		StartedAt: c.StartedAt, Semaphore: make(chan struct{}, cfg.Entry.MaxCallers), Observe: requestObserver(metrics.StartRequests(g, registry), recentRequests.Observe),
	}
	directory.Announce(g, c.Table, rows.Entry{
		ID: self.Entry, Boot: self.Boot, Address: c.Agents.Addr(), Operator: c.Operator.Addr().String(),
		DataCentre: self.DataCentre, Region: cfg.Daemon.Region,
	})
	watchPauses(g, c.Log)
	return &Entry{api: api, operators: api, draining: v.draining, drainDelay: c.DrainDelay, log: c.Log, callers: serve(g, "callers listener", c.Callers, frontend, int(cfg.Entry.MaxHeader))}
}

// requestObserver returns a function that passes the result of a request to the
// observers. The outcome is "done" for a response of a backend server, "aborted"
// without a response, and that of the entry's own response otherwise.
func requestObserver(observers ...func(metrics.Observation)) func(entry.Result) {
	return func(r entry.Result) {
		outcome := "done"
		switch {
		case r.Status == 0:
			outcome = "aborted"
		case r.LocalReply:
			outcome = r.Outcome.String()
		}
		for _, observe := range observers {
			observe(metrics.Observation{Service: string(r.Service), Class: string(r.Class), Tenant: string(r.Tenant),
				Outcome: outcome, Duration: r.Duration})
		}
	}
}

// startAgentLinks starts the actor that accepts links of agents.
func startAgentLinks(g *actor.Group, c EntryConfig, self entry.Self, store *configstore.Store, dispatcher entry.Address, controllers *cellControllers) {
	links := &entry.Links{
		Self: self, Dispatcher: dispatcher, Log: c.Log,
		Subscribers: []entry.Subscriber{entryConfigSubscriber{g.Context(), store.Handle}, controllers},
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

// Drain reports the entry as unhealthy and asks the callers that it answers to
// connect to another entry. After the drain delay it accepts no new callers and
// waits until every request in progress has been answered; then it does the same
// for operators, because the balancer reads /healthz from their listener. It
// returns an error when ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	draining, before, signalled := true, e.callers.Counts(), time.Now()
	e.draining.Set(&draining)
	e.callers.Leave()
	actor.Sleep(ctx, e.drainDelay)
	closing := time.Now()
	err := e.callers.Close(ctx)
	now := e.callers.Counts()
	event.Log(e.log, event.DrainEnded, log.Fields{
		"in-flight-at-signal": before.InFlight, "answered": now.Answered - before.Answered, "cut": now.Cut - before.Cut, "discarded": now.Discarded - before.Discarded,
		"gone": now.Gone - before.Gone, "unanswered": now.InFlight,
		"leaving-ms": closing.Sub(signalled).Milliseconds(), "closing-ms": time.Since(closing).Milliseconds(),
	})
	return errors.CombineErrors(err, e.operators.Close(ctx))
}

// entryConfigSubscriber forwards configuration messages of agents to the
// configuration store. Its sends fail only when the process ends, so their
// errors are ignored.
type entryConfigSubscriber struct {
	ctx    context.Context
	handle configstore.Handle
}

// AgentUp implements entry.Subscriber.
func (s entryConfigSubscriber) AgentUp(hello msg.AgentHello, out peer.Out) {
	_ = s.handle.LinkUp(s.ctx, string(hello.Worker.ID), hello.Version, out)
}

// AgentDown implements entry.Subscriber.
func (s entryConfigSubscriber) AgentDown(hello msg.AgentHello, out peer.Out) {
	_ = s.handle.LinkDown(s.ctx, string(hello.Worker.ID), out)
}

// FromAgent implements entry.Subscriber.
func (s entryConfigSubscriber) FromAgent(hello msg.AgentHello, m msg.Control) {
	switch m.(type) {
	case *msg.ConfigDelta, *msg.ConfigRequest, *msg.ConfigApplied:
		_ = s.handle.Deliver(s.ctx, string(hello.Worker.ID), m)
	}
}
