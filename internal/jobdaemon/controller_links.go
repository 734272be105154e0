package jobdaemon

import (
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// entryLink returns a link to the named entry, or nil.
func (c *controller) entryLink(name string) *peerLink {
	for _, l := range c.links {
		if !l.hello.Agent && l.hello.Member.Name == name {
			return l
		}
	}
	return nil
}

func (c *controller) linkUp(m *linkUp) {
	l := &peerLink{m.id, m.hello, m.out}
	c.links[m.id] = l
	c.send(l, &msg.Members{Entries: c.memberList()})
	name := m.hello.Member.Name
	event.Log(c.log, event.PeerLinked, log.Fields{"peer": name, "agent": m.hello.Agent, "epoch": m.hello.Epoch})
	if c.owner.EpochObserved(m.hello.Epoch, c.now()) {
		c.logOwner(name)
	}
	if m.hello.Agent {
		c.agentLinkUp(l)
		return
	}
	c.owner.PeerUp(name, m.hello.ProcessorShare)
	c.owner.EntryEchoes(name, m.hello.EchoesHeartbeat)
	if m.hello.EchoesHeartbeat {
		c.send(l, &msg.Heartbeat{}) // its echo shows soon that the entry is linked
	}
	c.ownerLog.entryLinked(name)
	c.addMembers([]msg.Member{m.hello.Member}, m.id)
	c.publishLinked()
	c.config.sync.PeerUp(name, m.hello.LinkRate)
	c.announceConfig(l)
	c.sendCancels()
	if c.jobs != nil {
		c.owner.EntryLinked(name, m.hello.Boot, m.hello.Epoch, c.now())
		c.limitFormerOwners()
		c.send(l, &msg.OwnerClaim{Epoch: c.jobs.Epoch(), Owner: c.self.Name})
		c.startFeed(l)
	}
}

// logOwner logs what the entry has learned about the owner, and from whom.
func (c *controller) logOwner(source string) {
	event.Log(c.log, event.OwnerLearned, log.Fields{"epoch": c.owner.Epoch(), "owner": c.owner.Owner(), "source": source})
}

func (c *controller) agentLinkUp(l *peerLink) {
	name := workload.HostName(l.hello.Member.Name)
	a := c.agents[name]
	if a == nil {
		a = &agentView{host: workload.Host{Name: name}}
		c.agents[name] = a
	}
	a.link = l
	if c.jobs == nil {
		c.sendHeartbeat(l, idleHeartbeat)
		return
	}
	c.jobs.Linked(a.host)
}

// sendHeartbeats announces an interval of heartbeats on all links to agents.
func (c *controller) sendHeartbeats(interval time.Duration) {
	for _, l := range c.links {
		if l.hello.Agent {
			c.sendHeartbeat(l, interval)
		}
	}
}

// sendHeartbeat announces an interval of heartbeats to an agent, if its program
// follows it. One of the former program would end the link as silent.
func (c *controller) sendHeartbeat(l *peerLink, interval time.Duration) {
	if l.hello.FollowsHeartbeat {
		c.send(l, &msg.Heartbeat{Interval: interval})
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
		c.agentLinkDown(l)
		return
	}
	c.peerCommits.linkDown(name)
	c.endFeed(l)
	if c.entryLink(name) == nil {
		c.owner.PeerDown(name, c.now())
		c.ownerLog.entryUnlinked(name, c.now())
		c.config.sync.PeerDown(name, c.now())
	}
	c.publishLinked()
}

// messageUnsent logs a message that was too large for its link. The tasks of starts that
// were not sent become ready again.
func (c *controller) messageUnsent(m *linkUnsent) {
	l := c.links[m.id]
	if l == nil {
		return
	}
	event.Log(c.log, event.MessageTooLarge, m.unsent.Fields(l.hello.Member.Name))
	name := workload.HostName(l.hello.Member.Name)
	if starts, ok := m.unsent.Message.(*msg.StartRuns); ok && c.jobs != nil && c.isPresentLink(name, l) {
		c.jobs.StartsUnsent(name, starts)
	}
}

// agentLinkDown records that a link of an agent has ended. An agent that is linked
// does not dial, so the newest link that is left, if any, takes its place.
func (c *controller) agentLinkDown(l *peerLink) {
	name := workload.HostName(l.hello.Member.Name)
	a := c.agents[name]
	if a == nil || a.link != l {
		return
	}
	a.link = c.newestAgentLink(name)
	switch {
	case c.jobs == nil:
	case a.link != nil:
		c.jobs.Linked(a.host)
	default:
		c.jobs.Unlinked(name)
	}
}

// newestAgentLink returns the newest link of an agent, or nil.
func (c *controller) newestAgentLink(name workload.HostName) *peerLink {
	var newest *peerLink
	for _, l := range c.links {
		if l.hello.Agent && l.hello.Member.Name == string(name) && (newest == nil || l.id > newest.id) {
			newest = l
		}
	}
	return newest
}

// publishLinked publishes the addresses of the linked entries for the dialers.
func (c *controller) publishLinked() {
	linked := map[string]bool{}
	for _, l := range c.links {
		if !l.hello.Agent {
			linked[l.hello.Member.Address] = true
		}
	}
	c.published.linked.Set(&linked)
}

func (c *controller) received(l *peerLink, m msg.Control) {
	switch m := m.(type) {
	case *msg.Heartbeat:
		c.heartbeat(l.hello.Member.Name, m)
	case *msg.Members:
		c.addMembers(m.Entries, l.id)
	case *msg.HostAnnounced:
		c.hostAnnounced(l, m.Host)
	case *msg.RunsReleased:
		c.runsReleased(m)
	case *msg.OwnerClaim:
		if c.owner.OwnerObserved(m.Owner, m.Epoch, c.now()) {
			c.logOwner(l.hello.Member.Name)
			c.sendCancels()
		}
	case *msg.ConfigAnnounced:
		c.configAnnounced(l, m)
	case *msg.ConfigRequest:
		c.configRequested(l, m)
	case *msg.ConfigChunkRequest:
		c.configChunkRequested(l, m)
	case *msg.ConfigChunk:
		c.configChunkReceived(m)
	case *msg.StoreCall:
		c.commitForPeer(l, m)
	case *msg.StoreResult:
		c.peerCommits.answered(m)
	case *msg.JobPhases:
		c.phasesReceived(m)
	case *msg.JobSubmitted, *msg.JobCancelled, *msg.HostInventory, *msg.RunsChanged, *msg.RunsProgress:
		c.applyToJobs(l, m)
	}
}

// heartbeat applies the epoch that an entry knows, and then its echo. The heartbeats of
// agents carry neither.
func (c *controller) heartbeat(name string, m *msg.Heartbeat) {
	if c.owner.EpochObserved(m.Epoch, c.now()) {
		c.logOwner(name)
	}
	if m.Echo != 0 && c.owner.Echoed(name, m.Echo, c.now()) {
		c.limitFormerOwners()
	}
}

// hostAnnounced records the state of a host from the present link of its agent.
func (c *controller) hostAnnounced(l *peerLink, h workload.Host) {
	name := workload.HostName(l.hello.Member.Name)
	if !c.isPresentLink(name, l) {
		return
	}
	c.agents[name].host = h
	if c.jobs != nil {
		c.jobs.Announced(h)
	}
}

// applyToJobs applies a message to the jobs if this entry owns them. Submissions
// and inventories that arrive while the stored jobs are loaded are deferred. A
// cancellation is applied at once, since it may precede its job.
func (c *controller) applyToJobs(l *peerLink, m msg.Control) {
	if c.jobs == nil {
		return // the next owner reads the table and claims the hosts, so nothing is lost
	}
	name := workload.HostName(l.hello.Member.Name)
	switch m := m.(type) {
	case *msg.JobSubmitted:
		switch {
		case m.Job.Epoch == 0:
			// The row may have a higher epoch, of an earlier submission that
			// the sender did not read. The watch delivers the row.
		case c.loading:
			c.deferred = append(c.deferred, m)
		default:
			c.submit(m.Job)
		}
	case *msg.JobCancelled:
		c.jobs.Cancel(m.ID)
	case *msg.HostInventory:
		switch {
		case !c.isPresentLink(name, l):
		case c.loading:
			c.deferred = append(c.deferred, m)
		default:
			c.jobs.Inventory(m)
		}
	case *msg.RunsChanged:
		if c.isPresentLink(name, l) {
			c.jobs.RunsChanged(name, m)
		}
	case *msg.RunsProgress:
		if c.isPresentLink(name, l) {
			c.jobs.RunsProgress(name, m)
		}
	}
}

// isPresentLink reports whether the owner has claimed the host of an agent on a link. An
// agent may have another one, whose messages may be older.
func (c *controller) isPresentLink(name workload.HostName, l *peerLink) bool {
	a := c.agents[name]
	return a != nil && a.link == l
}

// fromTable is the source of members that were read from the table service.
const fromTable linkID = 0
