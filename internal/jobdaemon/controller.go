package jobdaemon

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	controllerMailbox = 1024
	controllerTick    = 50 * time.Millisecond
	// drainLimit bounds how many messages are applied before their effects
	// are sent.
	drainLimit = 128
	pruneEvery = 10 * time.Second
)

// controller is the actor that owns an entry's state: its links, its view of
// the jobs and, while it owns them, the jobs themselves.
type controller struct {
	self    msg.Member
	log     log.Interface
	group   *actor.Group
	gateway *gateway
	address actor.Address[any]
	began   time.Time
	metrics *entryMetrics

	links   map[linkID]*entryLink
	agents  map[workload.HostName]*agentView
	members map[string]msg.Member // entries by name
	config  *configState
	mirror  *mirror
	owner   *ownership.Core
	jobs    *jobs.Core // nil unless this entry owns the jobs
	loading bool       // the stored jobs are being read
	early   []any      // messages for the owner that came while loading
	writer  writer
	relays  relays
	feed    *actor.Group // of the watch of the jobs table
	pruned  time.Duration

	published *published
}

// published is what other goroutines of the entry may read.
type published struct {
	epoch    actor.Value[uint64]
	linked   actor.Value[map[string]bool] // addresses of linked entries
	members  actor.Value[[]msg.Member]
	retiring actor.Value[bool]
}

// entryLink is a link with an agent or another entry.
type entryLink struct {
	id    linkID
	hello *msg.PeerHello
	out   peer.Out
}

// agentView is what an entry knows of an agent.
type agentView struct {
	link *entryLink // nil: not linked
	host workload.Host
}

func (c *controller) now() time.Duration { return time.Since(c.began) }

// run applies messages in batches and sends what they led to.
func (c *controller) run(ctx context.Context, in <-chan any) error {
	return actor.BatchLoop[any]{Limit: drainLimit, Interval: controllerTick, Apply: c.apply, Tick: c.tick, Flush: c.flush}.Run(ctx, in)
}

func (c *controller) tick() {
	now := c.now()
	c.owner.Tick(now)
	if c.jobs != nil {
		c.jobs.Advance(now, time.Now().UnixMilli())
		c.jobs.Tick()
	}
	c.relays.expire(now)
	if now-c.pruned > pruneEvery {
		c.pruned = now
		c.mirror.prune(now)
	}
}

func (c *controller) apply(m any) {
	if c.jobs != nil {
		c.jobs.Advance(c.now(), time.Now().UnixMilli())
	}
	switch m := m.(type) {
	case *linkUp:
		c.linkUp(m)
	case *linkMessage:
		if l := c.links[m.id]; l != nil {
			c.received(l, m.message)
		}
	case *linkDown:
		c.linkDown(m)
	case *ownerRead:
		c.owner.Read(m.owner, m.version, c.now())
	case *ownerClaimed:
		c.ownerClaimed(m)
	case *jobsLoaded:
		c.jobsLoaded(m)
	case *jobsWatched:
		c.jobsWatched(m)
	case *batchStored:
		c.batchStored(m)
	case *jobStored:
		c.jobStored(m)
	case *cancelStored:
		c.cancelStored(m)
	case *phaseQuery:
		c.phaseQuery(m)
	case *waitingQuery:
		m.reply.Put(c.mirror.waiting[m.queue])
	case *configRead:
		c.configRead(m)
	case *membersRead:
		c.meet(m.entries)
	case *relayRequest:
		c.relayRequest(m)
	case *retire:
		c.retire(m)
	}
}

// flush sends what the cores decided.
func (c *controller) flush() {
	c.ownershipEffects()
	if c.jobs == nil || c.loading {
		return
	}
	c.jobs.Plan()
	for _, s := range c.jobs.Messages() {
		c.toHost(s)
	}
	c.publish(c.jobs.Phases())
	for _, d := range c.jobs.Decisions() {
		c.logDecision(d)
	}
	c.store()
}

func (c *controller) toHost(s jobs.HostMessage) {
	a := c.agents[s.Host]
	if a == nil || a.link == nil {
		return // the host is silent; its runs are settled when it returns
	}
	c.send(a.link, s.Message)
}

// send hands a message to a link. A link whose queue is full ends itself.
func (c *controller) send(l *entryLink, m msg.Control) { l.out.TrySend(m) }

// publish records phases and tells the other entries.
func (c *controller) publish(phases []msg.JobPhase) {
	if len(phases) == 0 {
		return
	}
	for _, p := range phases {
		c.mirror.take(p, c.now())
	}
	c.toEntries(&msg.JobPhases{Epoch: c.jobs.Epoch(), Jobs: phases})
}

func (c *controller) toEntries(m msg.Control) {
	sent := map[string]bool{}
	for _, l := range c.links {
		if name := l.hello.Member.Name; !l.hello.Agent && !sent[name] {
			sent[name] = true
			c.send(l, m)
		}
	}
}
