package jobnode

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
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
	tick := time.NewTicker(controllerTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			c.apply(m)
			for n := 0; n < drainLimit && len(in) > 0; n++ {
				c.apply(<-in)
			}
		case <-tick.C:
			c.tick()
		}
		c.flush()
	}
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
	for _, s := range c.jobs.Sends() {
		c.toHost(s)
	}
	c.publish(c.jobs.Phases())
	for _, d := range c.jobs.Decisions() {
		c.logDecision(d)
	}
	c.store()
}

func (c *controller) toHost(s jobs.ToHost) {
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

func (c *controller) entryLink(name string) *entryLink {
	for _, l := range c.links {
		if !l.hello.Agent && l.hello.Member.Name == name {
			return l
		}
	}
	return nil
}

func (c *controller) linkUp(m *linkUp) {
	l := &entryLink{m.id, m.hello, m.out}
	c.links[m.id] = l
	name := m.hello.Member.Name
	event.Log(c.log, event.PeerLinked, log.Fields{"peer": name, "agent": m.hello.Agent, "epoch": m.hello.Epoch})
	if m.hello.Epoch > c.owner.Epoch() {
		c.owner.Outranked(m.hello.Epoch, c.now())
	}
	if m.hello.Agent {
		c.agentUp(l)
		return
	}
	c.owner.PeerUp(name)
	c.meet([]msg.Member{m.hello.Member})
	c.setLinked()
	if c.config.current != nil {
		c.send(l, &msg.ConfigAnnounced{Version: c.config.current.Version, Raw: c.config.raw})
	}
	if c.jobs != nil {
		c.send(l, &msg.OwnerClaim{Epoch: c.jobs.Epoch(), Owner: c.self.Name})
		c.send(l, &msg.JobPhases{Epoch: c.jobs.Epoch(), All: true, Jobs: c.jobs.AllPhases()})
	}
}

func (c *controller) agentUp(l *entryLink) {
	name := workload.HostName(l.hello.Member.Name)
	a := c.agents[name]
	if a == nil {
		a = &agentView{host: workload.Host{Name: name}}
		c.agents[name] = a
	}
	a.link = l
	c.send(l, &msg.Members{Entries: c.memberList()})
	if c.jobs != nil {
		c.jobs.Linked(a.host)
	}
}

func (c *controller) linkDown(m *linkDown) {
	l := c.links[m.id]
	if l == nil {
		return
	}
	delete(c.links, m.id)
	name := l.hello.Member.Name
	logLinkDown(c.log, name, m.err)
	if l.hello.Agent {
		if a := c.agents[workload.HostName(name)]; a != nil && a.link == l {
			a.link = nil
			if c.jobs != nil {
				c.jobs.Unlinked(workload.HostName(name))
			}
		}
		return
	}
	c.relays.lost(name)
	if c.entryLink(name) == nil {
		c.owner.PeerDown(name, c.now())
	}
	c.setLinked()
}

func (c *controller) setLinked() {
	linked := map[string]bool{}
	for _, l := range c.links {
		if !l.hello.Agent {
			linked[l.hello.Member.Address] = true
		}
	}
	c.published.linked.Set(&linked)
}

func (c *controller) received(l *entryLink, m msg.Control) {
	switch m := m.(type) {
	case *msg.Heartbeat:
	case *msg.Members:
		c.meet(m.Entries)
	case *msg.HostAnnounced:
		c.announced(l, m.Host)
	case *msg.OwnerClaim:
		c.owner.Heard(m.Owner, m.Epoch, c.now())
	case *msg.ConfigAnnounced:
		c.configAnnounced(m)
	case *msg.StoreCall:
		c.storeCall(l, m)
	case *msg.StoreResult:
		c.relays.answered(m)
	case *msg.JobPhases:
		c.phasesHeard(m)
	case *msg.JobSubmitted, *msg.JobCancelled, *msg.HostInventory, *msg.RunsChanged, *msg.RunsProgress:
		c.forOwner(l, m)
	}
}

func (c *controller) announced(l *entryLink, h workload.Host) {
	a := c.agents[workload.HostName(l.hello.Member.Name)]
	if a == nil || a.link != l {
		return
	}
	a.host = h
	if c.jobs != nil {
		c.jobs.Announced(h)
	}
}

// forOwner applies a message that concerns the owner of the jobs.
func (c *controller) forOwner(l *entryLink, m msg.Control) {
	if c.jobs == nil {
		return // the sender repeats it to the next owner
	}
	name := workload.HostName(l.hello.Member.Name)
	switch m := m.(type) {
	case *msg.JobSubmitted:
		if c.loading {
			c.early = append(c.early, m)
			return
		}
		c.jobs.Submit(m.Job)
	case *msg.JobCancelled:
		c.jobs.Cancel(m.ID)
	case *msg.HostInventory:
		if c.loading {
			c.early = append(c.early, m)
			return
		}
		c.jobs.Inventory(m)
	case *msg.RunsChanged:
		c.jobs.Changed(name, m)
	case *msg.RunsProgress:
		c.jobs.Progress(name, m)
	}
}

func (c *controller) phasesHeard(m *msg.JobPhases) {
	if m.Epoch < c.owner.Epoch() {
		return
	}
	for _, p := range m.Jobs {
		c.mirror.take(p, c.now())
	}
}

// meet takes entries that were heard of.
func (c *controller) meet(entries []msg.Member) {
	changed := false
	for _, e := range entries {
		if e.Name == c.self.Name || e.Address == "" || c.members[e.Name] == e {
			continue
		}
		c.members[e.Name] = e
		changed = true
	}
	if !changed {
		return
	}
	list := c.memberList()
	c.published.members.Set(&list)
	for _, l := range c.links {
		c.send(l, &msg.Members{Entries: list})
	}
}

func (c *controller) memberList() []msg.Member {
	list := []msg.Member{c.self}
	for _, m := range c.members {
		list = append(list, m)
	}
	return list
}
