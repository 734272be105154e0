package jobdaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// EntryConfig holds what an entry is started with.
type EntryConfig struct {
	Name       string
	DataCentre workload.DataCentre
	Links      string // address of the links
	Callers    string
	Readiness  string
	Metrics    string
	Seeds      []string // addresses of links of other entries
	Boot       uint64
	Store      Store
	Config     ConfigSource
	// The handlers translate the callers' protocol.
	CallerHandler    func(jobapi.Handler) http.Handler
	ReadinessHandler func(jobapi.Handler) http.Handler
	Log              log.Interface
}

// Entry is a running entry.
type Entry struct {
	controller *controller
	callers    func(context.Context) error
	log        log.Interface
}

// StartEntry starts an entry. It ends with g.
func StartEntry(g *actor.Group, cfg EntryConfig) (*Entry, error) {
	registry := metrics.Start(g)
	c := &controller{
		self: msg.Member{Name: cfg.Name, Address: cfg.Links}, log: cfg.Log, group: g, began: time.Now(),
		metrics: newEntryMetrics(registry),
		links:   map[linkID]*entryLink{}, agents: map[workload.HostName]*agentView{}, members: map[string]msg.Member{},
		mirror: newMirror(), owner: ownership.New(cfg.Name, cfg.Boot, 0), published: &published{},
		relays: relays{pending: map[uint64]*relayed{}},
	}
	force := &actor.Value[workload.Config]{}
	c.config = &configState{source: cfg.Config, force: force}
	c.gateway = &gateway{store: cfg.Store, relay: c.viaPeer, log: cfg.Log}
	c.address = actor.Spawn(g, actor.Spec[any]{Name: "controller", Mailbox: controllerMailbox, Run: c.run})
	if err := c.startLinks(cfg); err != nil {
		return nil, err
	}
	actor.Go(g, "config watcher", c.watchConfig)
	actor.Go(g, "member keeper", c.keepMembers)

	d := &desk{controller: c, config: force, log: cfg.Log, metrics: c.metrics}
	e := &Entry{controller: c, log: cfg.Log}
	var err error
	if e.callers, err = serve(g, "callers", cfg.Callers, cfg.CallerHandler(d)); err != nil {
		return nil, err
	}
	if _, err = serve(g, "readiness", cfg.Readiness, cfg.ReadinessHandler(d)); err != nil {
		return nil, err
	}
	if _, err = serveMetrics(g, cfg.Metrics, registry); err != nil {
		return nil, err
	}
	event.Log(cfg.Log, event.NodeStarted, log.Fields{"name": cfg.Name, "role": "entry", "links": cfg.Links})
	return e, nil
}

func (c *controller) startLinks(cfg EntryConfig) error {
	l := &links{group: c.group, send: c.address.Send, hello: func() *msg.PeerHello {
		h := &msg.PeerHello{Member: c.self, Boot: cfg.Boot, DataCentre: cfg.DataCentre}
		if epoch := c.published.epoch.Get(); epoch != nil {
			h.Epoch = *epoch
		}
		return h
	}}
	listener, err := link.Listen(c.group, cfg.Links, link.Config{})
	if err != nil {
		return err
	}
	actor.Go(c.group, "link acceptor", func(ctx context.Context) error { return l.accept(ctx, listener) })
	dialers := &dialers{links: l, dial: link.NewDialer(c.group, link.Config{}), self: cfg.Links, started: map[string]bool{}}
	dialers.linked = func(address string) bool {
		linked := c.published.linked.Get()
		return linked != nil && (*linked)[address]
	}
	dialers.start(cfg.Seeds)
	actor.Go(c.group, "dialer starter", func(ctx context.Context) error {
		return dialers.follow(ctx, &c.published.members)
	})
	return nil
}

// dialers starts one dialer for each address.
type dialers struct {
	links   *links
	dial    link.Dialer
	self    string
	linked  func(string) bool
	started map[string]bool
}

func (d *dialers) start(addresses []string) {
	for _, a := range addresses {
		if a == d.self || d.started[a] {
			continue
		}
		d.started[a] = true
		one := &dialer{links: d.links, dial: d.dial, address: a, linked: d.linked}
		actor.Go(d.links.group, "dialer", one.run)
	}
}

// followInterval is how often new members are looked for.
const followInterval = 200 * time.Millisecond

func (d *dialers) follow(ctx context.Context, members *actor.Value[[]msg.Member]) error {
	for actor.Sleep(ctx, followInterval) {
		if list := members.Get(); list != nil {
			for _, m := range *list {
				d.start([]string{m.Address})
			}
		}
	}
	return nil
}

// membersRead are the entries that the table service lists.
type membersRead struct{ entries []msg.Member }

const (
	memberRetry  = 300 * time.Millisecond
	memberReread = 5 * time.Second
)

// keepMembers lists this entry in the table service and reads the others.
func (c *controller) keepMembers(ctx context.Context) error {
	listed := false
	for {
		if !listed {
			put := table.Put{Key: membersPrefix + c.self.Name, Value: []byte(c.self.Address)}
			listed = c.gateway.commit(ctx, table.Txn{Puts: []table.Put{put}}).outcome == table.Committed
		}
		entries, err := readMembers(ctx, c.gateway)
		if err == nil {
			c.tell(ctx, &membersRead{entries})
		}
		pause := memberReread
		if !listed || err != nil {
			pause = memberRetry
		}
		if !actor.Sleep(ctx, pause) {
			return nil
		}
	}
}

func readMembers(ctx context.Context, g *gateway) ([]msg.Member, error) {
	rows, _, err := g.scan(ctx, membersPrefix)
	if err != nil {
		return nil, err
	}
	var entries []msg.Member
	for _, row := range rows {
		entries = append(entries, msg.Member{Name: row.Key[len(membersPrefix):], Address: string(row.Value)})
	}
	return entries, nil
}

const (
	// balancerNotice covers two missed checks of a balancer that asks every
	// second.
	balancerNotice = 2300 * time.Millisecond
	shutdownTime   = 2500 * time.Millisecond
	giveUpTime     = 1500 * time.Millisecond
)

// Drain stops the entry in order: the jobs go to another entry, the balancer
// sends no new callers, and requests in flight are answered.
func (e *Entry) Drain(ctx context.Context) {
	retiring := true
	e.controller.published.retiring.Set(&retiring)
	limited, cancel := context.WithTimeout(ctx, giveUpTime)
	defer cancel()
	_, err := actor.Ask(limited, e.controller.address, func(r actor.Reply[bool]) any { return &retire{r} })
	given := err == nil
	actor.Sleep(ctx, balancerNotice)
	down, cancelDown := context.WithTimeout(ctx, shutdownTime)
	defer cancelDown()
	err = e.callers(down)
	event.Log(e.log, event.NodeStopping, log.Fields{"role": "entry", "jobs-given": given, "answered": err == nil})
}

const (
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// serve starts an HTTP server. The returned function stops it in order.
func serve(g *actor.Group, name, address string, h http.Handler) (func(context.Context) error, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	actor.Go(g, name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(l); err != http.ErrServerClosed && ctx.Err() == nil {
			return err
		}
		return nil
	})
	return func(ctx context.Context) error {
		s.SetKeepAlivesEnabled(false)
		return s.Shutdown(ctx)
	}, nil
}

func serveMetrics(g *actor.Group, address string, r *metrics.Registry) (func(context.Context) error, error) {
	if address == "" {
		return nil, nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.Handler())
	return serve(g, "metrics", address, mux)
}
