package jobdaemon

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// AgentConfig holds what an agent is started with.
type AgentConfig struct {
	Core     hostagent.Config
	Boot     uint64
	Registry string // address at which the backend server announces itself
	Metrics  string
	Seeds    []string // addresses of links of entries
	Runner   runner.Runner
	Store    Store // for the list of entries
	// RegistryHandler translates the backend server's protocol.
	RegistryHandler func(runner.Registry) http.Handler
	Log             log.Interface
}

// agent is the actor that owns the guard of a host.
type agent struct {
	guard   *hostagent.Core
	log     log.Interface
	address actor.Address[any]
	began   time.Time
	links   map[linkID]peer.Out
	entries map[linkID]*msg.PeerHello
	known   map[string]msg.Member
	calls   actor.Address[hostagent.Call]
	holds   actor.Address[hostagent.Poll]
	holding bool

	published *published
}

const (
	agentMailbox = 512
	callMailbox  = 1024
	// callers is how many calls to the backend server may be under way beside
	// the one that watches it.
	callers = 2
	// orderTimeout bounds a call that the backend server answers at once.
	orderTimeout = 500 * time.Millisecond
	holdMargin   = 600 * time.Millisecond
	holdRetry    = 100 * time.Millisecond
	agentTick    = 100 * time.Millisecond
)

// Messages of the agent's helpers.
type (
	announced struct {
		announcement runner.Announcement
		taken        actor.Reply[bool]
	}
	left struct {
		instance workload.Instance
		taken    actor.Reply[bool]
	}
	callAnswered struct{ answer hostagent.Answer }
	holdAnswered struct {
		order   hostagent.Poll
		listing runner.PollResponse
		err     error
	}
	lastRenewal struct{ taken actor.Reply[hostagent.Poll] }
)

// Agent is a running agent.
type Agent struct {
	agent  *agent
	runner runner.Runner
	log    log.Interface
}

// StartAgent starts an agent. It ends with g.
func StartAgent(g *actor.Group, cfg AgentConfig) (*Agent, error) {
	a := &agent{
		guard: hostagent.New(cfg.Core), log: cfg.Log, began: time.Now(), links: map[linkID]peer.Out{},
		entries: map[linkID]*msg.PeerHello{}, known: map[string]msg.Member{}, published: &published{},
	}
	a.calls = actor.Spawn(g, actor.Spec[hostagent.Call]{Name: "callers", Mailbox: callMailbox, Run: func(ctx context.Context, in <-chan hostagent.Call) error {
		return a.runCallers(ctx, cfg.Runner, in)
	}})
	a.holds = actor.Spawn(g, actor.Spec[hostagent.Poll]{Name: "holder", Mailbox: 1, Run: func(ctx context.Context, in <-chan hostagent.Poll) error {
		return a.runHolds(ctx, cfg.Runner, in)
	}})
	a.address = actor.Spawn(g, actor.Spec[any]{Name: "guard", Mailbox: agentMailbox, Run: a.run})
	a.startLinks(g, cfg)
	if _, err := serve(g, "registry", cfg.Registry, cfg.RegistryHandler(&registry{a})); err != nil {
		return nil, err
	}
	if _, err := serveMetrics(g, cfg.Metrics, metrics.Start(g)); err != nil {
		return nil, err
	}
	event.Log(cfg.Log, event.NodeStarted, log.Fields{"name": string(cfg.Core.Name), "role": "agent", "seeds": cfg.Seeds})
	return &Agent{a, cfg.Runner, cfg.Log}, nil
}

func (a *agent) startLinks(g *actor.Group, cfg AgentConfig) {
	l := &links{group: g, send: a.address.Send, hello: func() *msg.PeerHello {
		h := &msg.PeerHello{Member: msg.Member{Name: string(cfg.Core.Name)}, Agent: true, Boot: cfg.Boot, DataCentre: cfg.Core.DataCentre}
		if epoch := a.published.epoch.Get(); epoch != nil {
			h.Epoch = *epoch
		}
		return h
	}}
	d := &dialers{links: l, dial: link.NewDialer(g, link.Config{}), started: map[string]bool{}}
	d.linked = func(address string) bool {
		linked := a.published.linked.Get()
		return linked != nil && (*linked)[address]
	}
	d.start(cfg.Seeds)
	actor.Go(g, "dialer starter", func(ctx context.Context) error { return d.follow(ctx, &a.published.members) })
	actor.Go(g, "entry finder", func(ctx context.Context) error { return a.findEntries(ctx, cfg) })
}

// alone is how long an agent may be without a link before it reads the list
// of entries from the table service.
const alone = 1500 * time.Millisecond

func (a *agent) findEntries(ctx context.Context, cfg AgentConfig) error {
	g := &gateway{store: cfg.Store, log: cfg.Log}
	for actor.Sleep(ctx, alone) {
		if linked := a.published.linked.Get(); linked != nil && len(*linked) > 0 {
			continue
		}
		if entries, err := readMembers(ctx, g); err == nil {
			_ = a.address.Send(ctx, &membersRead{entries}) // an error means that the process ends
		}
	}
	return nil
}

func (a *agent) run(ctx context.Context, in <-chan any) error {
	return actor.BatchLoop[any]{Limit: drainLimit, Interval: agentTick, Apply: a.apply, Tick: a.tick, Flush: a.flush}.Run(ctx, in)
}

func (a *agent) tick() {
	a.guard.Advance(time.Since(a.began))
	a.guard.Tick()
}

func (a *agent) apply(m any) {
	a.guard.Advance(time.Since(a.began))
	switch m := m.(type) {
	case *linkUp:
		a.linkUp(m)
	case *linkMessage:
		a.received(m)
	case *linkDown:
		a.linkDown(m)
	case *membersRead:
		a.meet(m.entries)
	case *announced:
		a.guard.Announced(m.announcement)
		m.taken.Put(true)
	case *left:
		a.guard.Deregistered(m.instance)
		m.taken.Put(true)
	case *callAnswered:
		a.guard.Answered(m.answer)
	case *holdAnswered:
		a.holding = false
		a.guard.PollAnswered(m.order.Target, m.order.StartedAtMS, m.listing, m.err)
		if m.err != nil {
			a.nextHold(holdRetry)
		}
	case *lastRenewal:
		m.taken.Put(a.guard.NextPoll())
	}
}

// flush sends what the guard decided.
func (a *agent) flush() {
	for _, c := range a.guard.Calls() {
		a.calls.TrySend(c) // a full queue delays: the timeouts of the runs repeat the call
	}
	for _, s := range a.guard.Sends() {
		if s.Link != 0 {
			a.links[linkID(s.Link)].TrySend(s.Message)
			continue
		}
		for _, out := range a.links {
			out.TrySend(s.Message)
		}
	}
	for _, d := range a.guard.Decisions() {
		a.logDecision(d)
	}
	epoch := a.guard.Epoch()
	a.published.epoch.Set(&epoch)
	a.nextHold(0)
}

// nextHold keeps one call open that watches the backend server.
func (a *agent) nextHold(pause time.Duration) {
	if a.holding || !a.guard.CanCall() {
		return
	}
	w := a.guard.NextPoll()
	w.Pause = max(w.Pause, pause)
	a.holding = a.holds.TrySend(w)
}

func (a *agent) linkUp(m *linkUp) {
	a.links[m.id], a.entries[m.id] = m.out, m.hello
	event.Log(a.log, event.PeerLinked, log.Fields{"peer": m.hello.Member.Name, "epoch": m.hello.Epoch})
	a.guard.EpochObserved(m.hello.Epoch)
	a.meet([]msg.Member{m.hello.Member})
	a.setLinked()
	m.out.TrySend(&msg.HostAnnounced{Host: a.guard.Host()})
}

func (a *agent) linkDown(m *linkDown) {
	hello := a.entries[m.id]
	if hello == nil {
		return
	}
	delete(a.links, m.id)
	delete(a.entries, m.id)
	logLinkDown(a.log, hello.Member.Name, m.err)
	a.guard.Unlinked(hostagent.LinkID(m.id))
	a.setLinked()
}

func (a *agent) setLinked() {
	linked := map[string]bool{}
	for _, h := range a.entries {
		linked[h.Member.Address] = true
	}
	a.published.linked.Set(&linked)
}

func (a *agent) received(m *linkMessage) {
	if _, up := a.links[m.id]; !up {
		return
	}
	if members, ok := m.message.(*msg.Members); ok {
		a.meet(members.Entries)
		return
	}
	a.guard.Received(hostagent.LinkID(m.id), m.message)
}

func (a *agent) meet(entries []msg.Member) {
	for _, e := range entries {
		if e.Address != "" {
			a.known[e.Name] = e
		}
	}
	list := make([]msg.Member, 0, len(a.known))
	for _, e := range a.known {
		list = append(list, e)
	}
	a.published.members.Set(&list)
}

// registry passes announcements to the agent.
type registry struct{ agent *agent }

func (r *registry) Announce(ctx context.Context, an runner.Announcement) error {
	_, err := actor.Ask(ctx, r.agent.address, func(rep actor.Reply[bool]) any { return &announced{an, rep} })
	return err
}

func (r *registry) Leave(ctx context.Context, id workload.Instance) error {
	_, err := actor.Ask(ctx, r.agent.address, func(rep actor.Reply[bool]) any { return &left{id, rep} })
	return err
}

// Drain ends the agent in order: what runs gets its longest lease, so that it
// outlives a restart of the agent.
func (a *Agent) Drain(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o, err := actor.Ask(limited, a.agent.address, func(r actor.Reply[hostagent.Poll]) any { return &lastRenewal{r} })
	if err == nil && o.Target.Instance != "" {
		o.Request.Wait = 0
		_, err = a.runner.Poll(limited, o.Target, o.Request)
	}
	event.Log(a.log, event.NodeStopping, log.Fields{"role": "agent", "renewed": err == nil})
}
