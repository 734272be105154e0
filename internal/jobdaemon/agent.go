package jobdaemon

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	tally "github.com/uber-go/tally/v4"

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

// AgentConfig holds the settings and dependencies of an agent.
type AgentConfig struct {
	Core     hostagent.Config
	Boot     uint64   // random number of this process
	Registry string   // listen address for announcements of the backend server
	Metrics  string   // listen address; empty: no metrics
	Seeds    []string // link addresses of entries to dial first
	Runner   runner.Runner
	Store    Store // for the list of entries
	// RegistryHandler decodes the backend server's announcements.
	RegistryHandler func(runner.Registry) http.Handler
	Log             log.Interface
	metrics         *agentMetrics // nil: none
	// Failed is called with nil or an error when the agent's loop has ended. The agent
	// does not work any more after an error. May be nil.
	Failed func(error)
}

// agent is the actor that owns the hostagent.Core of a host.
type agent struct {
	cfg       AgentConfig
	core      *hostagent.Core
	life      int // number of cores before the present one
	log       log.Interface
	group     *actor.Group
	dial      link.Dialer
	linkGroup *actor.Group // of the actors that serve links
	address   actor.Address[any]
	startedAt time.Time
	clock     hostClock
	links     map[linkID]peer.Out
	hellos    map[linkID]*msg.PeerHello // of the linked entries
	members   map[string]msg.Member     // known entries by name
	calls     actor.Address[agentCall]
	polls     actor.Address[agentPoll]
	polling   bool // a poll is in flight
	// epochKnown is set when the stored epoch was read. A former process of the agent may
	// have known a higher epoch than the entries that this one reaches.
	epochKnown bool
	heldClaims map[linkID]*msg.OwnerClaim // until epochKnown
	throttling throttleLog
	recordedAt time.Duration // when the metrics of the state were last set

	published *published
}

const (
	agentMailbox = 512
	callMailbox  = 1024
	// maxCalls is how many calls to the backend server may be in flight beside
	// the poll.
	maxCalls = 2
	// callTimeout bounds a call that the backend server answers at once.
	callTimeout       = 500 * time.Millisecond
	pollRetryInterval = 100 * time.Millisecond
	agentTick         = 100 * time.Millisecond
)

// Messages of other goroutines to the agent.
type (
	announced struct {
		announcement runner.Announcement
		applied      actor.Reply[bool]
	}
	deregistered struct {
		instance    workload.Instance
		startedAtMS int64 // 0: not reported
		applied     actor.Reply[bool]
	}
	callAnswered struct {
		life   int
		answer hostagent.Answer
	}
	pollAnswered struct {
		life     int
		poll     hostagent.Poll
		response runner.PollResponse
		err      error
	}
	finalPoll struct{ reply actor.Reply[hostagent.Poll] }
	epochRead struct{ epoch uint64 }
)

// Agent is a running agent. Its methods may be called by any goroutine.
type Agent struct {
	agent  *agent
	runner runner.Runner
	log    log.Interface
}

// StartAgent starts an agent. It ends with g.
func StartAgent(g *actor.Group, cfg AgentConfig) (*Agent, error) {
	series := metrics.Start(g)
	cfg.metrics = newAgentMetrics(series)
	a := startAgentActors(g, cfg, link.NewDialer(g, link.Config{}))
	if _, err := serve(g, "registry", cfg.Registry, cfg.RegistryHandler(&registry{a})); err != nil {
		return nil, err
	}
	if err := serveMetrics(g, cfg.Metrics, series); err != nil {
		return nil, err
	}
	event.Log(cfg.Log, event.NodeStarted, log.Fields{"name": string(cfg.Core.Name), "role": "agent", "seeds": cfg.Seeds})
	return &Agent{a, cfg.Runner, cfg.Log}, nil
}

// startAgentActors starts an agent and its links.
func startAgentActors(g *actor.Group, cfg AgentConfig, dial link.Dialer) *agent {
	if cfg.metrics == nil {
		cfg.metrics = &agentMetrics{tally.NoopScope}
	}
	a := &agent{
		cfg: cfg, core: hostagent.New(cfg.Core), log: cfg.Log, group: g, dial: dial, linkGroup: g.Sub(),
		startedAt: time.Now(), links: map[linkID]peer.Out{},
		hellos: map[linkID]*msg.PeerHello{}, heldClaims: map[linkID]*msg.OwnerClaim{}, members: map[string]msg.Member{}, published: &published{},
	}
	a.calls = actor.Spawn(g, actor.Spec[agentCall]{Name: "callers", Mailbox: callMailbox, Run: func(ctx context.Context, in <-chan agentCall) error {
		return a.runCalls(ctx, cfg.Runner, in)
	}})
	a.polls = actor.Spawn(g, actor.Spec[agentPoll]{Name: "holder", Mailbox: 1, Run: func(ctx context.Context, in <-chan agentPoll) error {
		return a.runPolls(ctx, cfg.Runner, in)
	}})
	a.address = actor.Spawn(g, actor.Spec[any]{Name: "guard", Mailbox: agentMailbox, Run: a.run, OnExit: cfg.Failed})
	a.startLinks(a.linkGroup)
	actor.Go(g, "entry finder", func(ctx context.Context) error { return a.findEntries(ctx, cfg) })
	actor.GoUntilDone(g, "epoch reader", func(ctx context.Context) error { return a.readEpoch(ctx, cfg) })
	return a
}

// failed applies the failure of a step of the loop. The state of the runs may be half
// changed, so the agent begins anew like a process that was started again: it asks the
// backend server for its runs with a higher token, and its links are set up again. The
// runs go on under their leases.
func (a *agent) failed(err error) {
	event.Log(a.log, event.ActorFailed, log.Fields{"actor": "guard", "error": err.Error(), "restart": true})
	a.life++
	core := a.cfg.Core
	core.Token = max(hostagent.FirstToken(time.Now().UnixMilli()), a.core.Token()) + 1
	epoch := a.core.Epoch()
	a.core = hostagent.New(core)
	a.core.Advance(time.Since(a.startedAt))
	a.core.EpochObserved(epoch)
	a.linkGroup.Cancel()
	clear(a.links)
	clear(a.hellos)
	a.publishLinked()
	a.linkGroup = a.group.Sub()
	a.startLinks(a.linkGroup)
}

// lifeShift is the number of low bits of a linkID that number the links of one life of
// an agent's core, so that late events of former links are told apart.
const lifeShift = 32

// unlinkedInterval is the interval at which an agent without links reads the
// list of entries from the table service.
const unlinkedInterval = 1500 * time.Millisecond

// findEntries reads the entries from the table service while the agent has no
// link.
func (a *agent) findEntries(ctx context.Context, cfg AgentConfig) error {
	p := &storeProxy{store: cfg.Store, log: cfg.Log}
	for actor.Sleep(ctx, unlinkedInterval) {
		if linked := a.published.linked.Get(); linked != nil && len(*linked) > 0 {
			continue
		}
		if entries, err := readMembers(ctx, p); err == nil {
			_ = a.address.Send(ctx, &membersRead{entries}) // an error means that the process ends
		}
	}
	return nil
}

func (a *agent) run(ctx context.Context, in <-chan any) error {
	return actor.BatchLoop[any]{Limit: maxBatch, Interval: agentTick, Apply: a.apply, Tick: a.tick, Flush: a.flush, Failed: a.failed}.Run(ctx, in)
}

// advance sets the time of the core, and tells it of a suspension of the host before
// anything that was received is applied.
func (a *agent) advance() {
	a.core.Advance(time.Since(a.startedAt))
	if d := a.clock.suspendedSinceLastCall(); d > 0 {
		event.Log(a.log, event.AgentSuspended, log.Fields{"suspended-ms": d.Milliseconds()})
		a.core.Suspended(d)
	}
}

func (a *agent) tick() {
	a.advance()
	a.core.Tick()
	now := time.Since(a.startedAt)
	a.logThrottling(now)
	a.recordStatus(now)
}

func (a *agent) apply(m any) {
	a.advance()
	switch m := m.(type) {
	case *linkUp:
		a.linkUp(m)
	case *linkMessage:
		a.received(m)
	case *linkUnsent:
		if hello := a.hellos[m.id]; hello != nil {
			event.Log(a.log, event.MessageTooLarge, m.unsent.Fields(hello.Member.Name))
		}
	case *linkDown:
		a.linkDown(m)
	case *membersRead:
		a.addMembers(m.entries)
	case *announced:
		a.core.Announced(m.announcement)
		m.applied.Put(true)
	case *deregistered:
		a.core.Deregistered(m.instance, m.startedAtMS)
		m.applied.Put(true)
	case *callAnswered:
		if m.life == a.life {
			a.core.Answered(m.answer)
		}
	case *pollAnswered:
		a.polling = false
		if m.life != a.life {
			return // of a core that has failed
		}
		a.core.PollAnswered(m.poll, m.response, m.err)
		if m.err != nil {
			a.startPoll(pollRetryInterval)
		}
	case *epochRead:
		a.applyStoredEpoch(m.epoch)
	case *finalPoll:
		m.reply.Put(a.core.NextPoll())
	}
}

// flush applies the decisions of the core: it sends its messages, makes its
// calls, and logs.
func (a *agent) flush() {
	for _, c := range a.core.Calls() {
		if !a.calls.TrySend(agentCall{a.life, c}) {
			a.core.Answered(hostagent.Answer{Call: c, Err: runner.ErrNotSent}) // the queue is full
		}
	}
	for _, s := range a.core.Sends() {
		if s.Link != 0 {
			a.links[linkID(s.Link)].TrySend(s.Message)
			continue
		}
		for _, out := range a.links {
			out.TrySend(s.Message)
		}
	}
	for _, d := range a.core.Decisions() {
		a.logDecision(d)
	}
	epoch := a.core.Epoch()
	a.published.epoch.Set(&epoch)
	a.startPoll(0)
}

// startPoll starts the next poll of the backend server unless one is in flight.
func (a *agent) startPoll(pause time.Duration) {
	if a.polling || !a.core.CanCall() {
		return
	}
	poll := a.core.NextPoll()
	poll.Pause = max(poll.Pause, pause)
	a.polling = a.polls.TrySend(agentPoll{a.life, poll})
}

// Change applies changed settings.
func (a *Agent) Change(s ChangedSettings) { a.agent.published.seeds.Set(&s.Seeds) }

// agentStopTime is longer than the last poll of an agent takes.
const agentStopTime = 2 * time.Second

// StopTime returns the time from the signal to stop until the process has to end, also
// if the drain or the log has not ended.
func (a *Agent) StopTime() time.Duration { return agentStopTime }

// Drain prepares the end of the agent: a last poll extends the lease of the runs
// as far as allowed, so that they outlive a restart of the agent.
func (a *Agent) Drain(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	poll, err := actor.Ask(limited, a.agent.address, func(r actor.Reply[hostagent.Poll]) any { return &finalPoll{r} })
	if err == nil && poll.Target.Instance != "" {
		poll.Request.Wait = 0
		_, err = a.runner.Poll(limited, poll.Target, poll.Request)
	}
	event.Log(a.log, event.NodeStopping, log.Fields{"role": "agent", "renewed": err == nil})
}
