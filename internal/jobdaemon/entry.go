package jobdaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/httpserve"
	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// EntryConfig holds the settings and dependencies of an entry.
type EntryConfig struct {
	Name       string
	DataCentre workload.DataCentre
	// Listen addresses. Links is also the address that other processes dial.
	// Without Metrics no metrics are served.
	Links     string
	Callers   string
	Readiness string
	Metrics   string
	Seeds     []string // link addresses of other entries to dial first
	Boot      uint64   // random number of this process
	// GracePeriod is the time between the signal to stop and the kill of the
	// process.
	GracePeriod time.Duration
	// ProcessorShare is that of the host; 0 if it is not known.
	ProcessorShare model.MilliCPU
	// LinkRate is that of the host's network connection in bits per second; 0 if it
	// is not known.
	LinkRate int64
	// Memory is that of the host in bytes; 0 if it is not known.
	Memory int64
	Store  Store
	Config ConfigSource
	// The handlers decode requests and encode answers.
	CallerHandler    func(jobapi.Handler) http.Handler
	ReadinessHandler func(jobapi.Handler) http.Handler
	Log              log.Interface
	// Failed is called with nil or an error when the controller has ended. The entry
	// does not work any more after an error. May be nil.
	Failed func(error)
}

// Entry is a running entry. Its methods may be called by any goroutine.
type Entry struct {
	controller *controller
	callers    *httpserve.Server
	links      *actor.Group // of the actors that serve and dial links
	log        log.Interface
	// gracePeriod is the time between the signal to stop and the kill of the
	// process.
	gracePeriod actor.Value[time.Duration]
}

// Changed settings of a running process.
type ChangedSettings struct {
	Seeds       []string      // link addresses of entries to dial
	GracePeriod time.Duration // of an entry
}

// Change applies changed settings.
func (e *Entry) Change(s ChangedSettings) {
	e.gracePeriod.Set(&s.GracePeriod)
	e.controller.published.seeds.Set(&s.Seeds)
}

// StartEntry starts an entry. It ends with g.
func StartEntry(g *actor.Group, cfg EntryConfig) (*Entry, error) {
	registry := metrics.Start(g)
	configInUse := &actor.Value[workload.Config]{}
	c := newController(g, cfg, newEntryMetrics(registry), configInUse)
	listener, err := link.Listen(g, cfg.Links, link.Config{})
	if err != nil {
		return nil, err
	}
	linkGroup := g.Sub()
	c.start(c.loop(), linkGroup, cfg, listener, link.NewDialer(g, link.Config{}))

	handler := &jobHandler{controller: c, config: configInUse, log: cfg.Log, metrics: c.metrics}
	e := &Entry{controller: c, links: linkGroup, log: cfg.Log}
	e.gracePeriod.Set(&cfg.GracePeriod)
	if e.callers, err = serve(g, "callers", cfg.Callers, cfg.CallerHandler(handler)); err != nil {
		return nil, err
	}
	if _, err = serve(g, "readiness", cfg.Readiness, cfg.ReadinessHandler(handler)); err != nil {
		return nil, err
	}
	if err = serveMetrics(g, cfg.Metrics, registry); err != nil {
		return nil, err
	}
	event.Log(cfg.Log, event.NodeStarted, log.Fields{"name": cfg.Name, "role": "entry", "links": cfg.Links})
	return e, nil
}

// newController returns the controller of an entry. It is not started yet.
func newController(g *actor.Group, cfg EntryConfig, m *entryMetrics, configInUse *actor.Value[workload.Config]) *controller {
	c := &controller{
		self: msg.Member{Name: cfg.Name, Address: cfg.Links}, log: cfg.Log, group: g, startedAt: time.Now(), metrics: m,
		maxTasks: maxHeldTasks(cfg.Memory), admissions: admissions{limit: maxHeldTasks(cfg.Memory), tasks: map[workload.JobID]int{}}, linkRate: cfg.LinkRate, links: map[linkID]*peerLink{}, agents: map[workload.HostName]*agentView{}, members: map[string]msg.Member{},
		phases: newPhaseCache(), cancels: unconfirmedCancels{}, owner: ownership.New(cfg.Name, cfg.Boot, cfg.ProcessorShare, 0), published: &published{},
		peerCommits: peerCommits{pending: map[uint64]*pendingCommit{}},
	}
	c.published.epochs.StartedAt = c.startedAt
	c.config = newConfigState(g, c, cfg.Config, configInUse, cfg.LinkRate)
	c.storeProxy = &storeProxy{store: cfg.Store, commitViaPeer: c.commitViaPeer, log: cfg.Log}
	return c
}

// start starts the controller with its loop, the links of the entry in linkGroup,
// and the actors that keep its configuration and its list of entries up to date.
func (c *controller) start(loop actor.BatchLoop[any], linkGroup *actor.Group, cfg EntryConfig, listener link.Listener, dial link.Dialer) {
	c.address = actor.Spawn(c.group, actor.Spec[any]{Name: "controller", Mailbox: controllerMailbox, Run: loop.Run, OnExit: cfg.Failed})
	c.startLinks(linkGroup, cfg, listener, dial)
	c.startConfigWatch()
	actor.Go(c.group, "member keeper", c.maintainMembers)
}

// startLinks serves and dials links in g until g ends. The sockets outlive g, so
// that each link can end in an orderly way.
func (c *controller) startLinks(g *actor.Group, cfg EntryConfig, listener link.Listener, dial link.Dialer) {
	l := &links{group: g, send: c.address.Send, epochs: &c.published.epochs, hello: func() *msg.PeerHello { return c.hello(cfg) }}
	actor.Go(g, "link acceptor", func(ctx context.Context) error { return l.accept(ctx, listener) })
	dialers := &dialers{links: l, dial: dial, self: cfg.Links, started: map[string]bool{}}
	dialers.linked = func(address string) bool {
		linked := c.published.linked.Get()
		return linked != nil && (*linked)[address]
	}
	dialers.start(cfg.Seeds)
	actor.Go(g, "dialer starter", func(ctx context.Context) error {
		return dialers.followMembers(ctx, c.published)
	})
}

// hello returns the first message on a new link. Any goroutine may call it.
func (c *controller) hello(cfg EntryConfig) *msg.PeerHello {
	h := &msg.PeerHello{
		Member: c.self, Boot: cfg.Boot, DataCentre: cfg.DataCentre, RequestsConfig: true, ConfigChunks: true, ProcessorShare: cfg.ProcessorShare, LinkRate: cfg.LinkRate,
		EchoesHeartbeat: true, JoinsParts: true, InheritsRuns: true,
	}
	if epoch := c.published.epoch.Get(); epoch != nil {
		h.Epoch = *epoch
	}
	if mark := c.published.phases.Get(); mark != nil {
		h.Phases = *mark
	}
	return h
}

// dialers starts one dialer for each address. It must be used by one goroutine
// at a time.
type dialers struct {
	links   *links
	dial    link.Dialer
	self    string            // address that is not dialled
	linked  func(string) bool // reports whether a link with the process at the address is up
	started map[string]bool   // by address
}

func (d *dialers) start(addresses []string) {
	for _, a := range addresses {
		if a == d.self || d.started[a] {
			continue
		}
		d.started[a] = true
		newDialer := &dialer{links: d.links, dial: d.dial, address: a, linked: d.linked}
		actor.Go(d.links.group, "dialer", newDialer.run)
	}
}

// memberPollInterval is the interval at which the published members and seeds are
// checked for new addresses.
const memberPollInterval = 200 * time.Millisecond

// followMembers starts dialers for new members and seeds until ctx ends.
func (d *dialers) followMembers(ctx context.Context, p *published) error {
	for actor.Sleep(ctx, memberPollInterval) {
		if list := p.members.Get(); list != nil {
			for _, m := range *list {
				d.start([]string{m.Address})
			}
		}
		if seeds := p.seeds.Get(); seeds != nil {
			d.start(*seeds)
		}
	}
	return nil
}

// membersRead carries the entries that were read from the table service.
type membersRead struct{ entries []msg.Member }

const (
	memberRetryInterval  = 300 * time.Millisecond
	memberRereadInterval = 5 * time.Second
)

// maintainMembers registers this entry in the table service and reads the list
// of entries periodically.
func (c *controller) maintainMembers(ctx context.Context) error {
	registered := false
	for {
		if !registered {
			put := table.Put{Key: membersPrefix + c.self.Name, Value: []byte(c.self.Address)}
			registered = c.storeProxy.commit(ctx, table.Txn{Puts: []table.Put{put}}).outcome == table.Committed
		}
		entries, err := readMembers(ctx, c.storeProxy)
		if err == nil {
			c.post(ctx, &membersRead{entries})
		}
		pause := memberRereadInterval
		if !registered || err != nil {
			pause = memberRetryInterval
		}
		if !actor.Sleep(ctx, pause) {
			return nil
		}
	}
}

func readMembers(ctx context.Context, p *storeProxy) ([]msg.Member, error) {
	rows, _, err := p.scan(ctx, membersPrefix)
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
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// serve starts an HTTP server.
func serve(g *actor.Group, name, address string, h http.Handler) (*httpserve.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return httpserve.Start(g, l, httpserve.Config{
		Name: name, Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}), nil
}

// serveMetrics serves /metrics unless address is empty.
func serveMetrics(g *actor.Group, address string, r *metrics.Registry) error {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.Handler())
	_, err := serve(g, "metrics", address, mux)
	return err
}
