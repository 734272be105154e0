package jobdaemon

import (
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// assumedLinkRate is the rate of the host's network connection if it is not known,
	// in bits per second.
	assumedLinkRate = 10_000_000
	// maxBacklogLinkRate bounds the rate of which backlogs take a part. At a tick they
	// take 156 KB then, and not much of a small processor.
	maxBacklogLinkRate = 100_000_000
	// backlogShare is the part of the connection that backlogs may take: a quarter, so
	// that leases and heartbeats are not late.
	backlogShare = 4
	// maxPhasesBytes bounds a JobPhases. It takes 3.3 ms at assumedLinkRate.
	maxPhasesBytes = 4 << 10
	// phaseOverheadBytes is the encoding of a phase beside the names of the job
	// and of its queue, if these have less than 128 bytes each.
	phaseOverheadBytes = 12
)

// phaseFeeds sends the phases of the jobs from the owner to the linked entries.
// Changes are sent at once. What an entry lacks when it is linked is its backlog,
// which is sent in small messages at a bounded rate.
type phaseFeeds struct {
	epoch     uint64
	published uint64 // number of the newest change that was published
	budget    int    // bytes of all backlogs at a tick
	byEntry   map[string]*phaseFeed
	turns     []*phaseFeed // feeds with a backlog, the next one first
}

// phaseFeed sends phases to one entry, all of them on one link. So their order is
// kept, and the entry has whatever was sent before a message that it receives.
type phaseFeed struct {
	link    *peerLink
	backlog []workload.JobID // shared with other feeds; not to be changed in place
}

// phaseMessage is a message of a feed.
type phaseMessage struct {
	link    *peerLink
	message *msg.JobPhases
}

// phaseLookup returns the phase of a job, and whether the job is known.
type phaseLookup func(workload.JobID) (msg.JobPhase, bool)

// newPhaseFeeds returns the feeds of an owner that has published its changes up
// to a number. linkRate is that of its host in bits per second, 0 if it is not known.
func newPhaseFeeds(epoch, published uint64, linkRate int64) *phaseFeeds {
	return &phaseFeeds{epoch: epoch, published: published, budget: backlogBytes(linkRate), byEntry: map[string]*phaseFeed{}}
}

// backlogBytes bounds what is sent of all backlogs at a tick. One message is always
// sent.
func backlogBytes(linkRate int64) int {
	if linkRate == 0 {
		linkRate = assumedLinkRate
	}
	rate := float64(min(linkRate, maxBacklogLinkRate)) / 8 / backlogShare
	return max(maxPhasesBytes, int(rate*controllerTick.Seconds()))
}

// start begins the feed of an entry on a link. A former feed of the entry ends.
func (f *phaseFeeds) start(l *peerLink, backlog []workload.JobID) {
	f.end(l.hello.Member.Name)
	feed := &phaseFeed{l, backlog}
	f.byEntry[l.hello.Member.Name] = feed
	if len(backlog) > 0 {
		f.turns = append(f.turns, feed)
	}
}

// end ends the feed of an entry.
func (f *phaseFeeds) end(entry string) {
	feed := f.byEntry[entry]
	delete(f.byEntry, entry)
	for i, t := range f.turns {
		if t == feed {
			f.turns = append(f.turns[:i:i], f.turns[i+1:]...)
			return
		}
	}
}

// publish returns the messages for changes up to a number. What exceeds one
// message is put first into the backlogs.
func (f *phaseFeeds) publish(changes []msg.JobPhase, upTo uint64) []phaseMessage {
	f.published = upTo
	n := fittingPhases(changes)
	rest := make([]workload.JobID, 0, len(changes)-n)
	for _, p := range changes[n:] {
		rest = append(rest, p.ID)
	}
	var out []phaseMessage
	for _, feed := range f.byEntry {
		f.addFirst(feed, rest)
		out = append(out, phaseMessage{feed.link, f.message(feed, changes[:n])})
	}
	return out
}

// addFirst puts jobs before the backlog of a feed.
func (f *phaseFeeds) addFirst(feed *phaseFeed, ids []workload.JobID) {
	if len(ids) == 0 {
		return
	}
	if len(feed.backlog) == 0 {
		f.turns = append(f.turns, feed)
	}
	feed.backlog = append(ids[:len(ids):len(ids)], feed.backlog...)
}

// tick returns the messages of the backlogs that are due, of each feed in turn.
func (f *phaseFeeds) tick(lookup phaseLookup) []phaseMessage {
	var out []phaseMessage
	for budget := f.budget; len(f.turns) > 0 && budget >= maxPhasesBytes; {
		feed := f.turns[0]
		f.turns = f.turns[1:]
		phases := feed.next(lookup)
		if len(feed.backlog) > 0 {
			f.turns = append(f.turns, feed)
		}
		if len(phases) == 0 {
			continue
		}
		for _, p := range phases {
			budget -= phaseBytes(p)
		}
		out = append(out, phaseMessage{feed.link, f.message(feed, phases)})
	}
	return out
}

// message returns the message with phases for a feed. The entry lacks nothing
// that was published if the backlog is empty.
func (f *phaseFeeds) message(feed *phaseFeed, phases []msg.JobPhase) *msg.JobPhases {
	m := &msg.JobPhases{Epoch: f.epoch, Jobs: phases}
	if len(feed.backlog) == 0 {
		m.UpTo = f.published
	}
	return m
}

// next removes the phases of one message from the backlog. Jobs that are no
// longer known are passed over.
func (f *phaseFeed) next(lookup phaseLookup) []msg.JobPhase {
	var phases []msg.JobPhase
	bytes := 0
	for len(f.backlog) > 0 {
		p, known := lookup(f.backlog[0])
		if known {
			if bytes += phaseBytes(p); bytes > maxPhasesBytes && len(phases) > 0 {
				break
			}
			phases = append(phases, p)
		}
		f.backlog = f.backlog[1:]
	}
	return phases
}

// fittingPhases returns the number of phases that one message holds, at least
// one.
func fittingPhases(phases []msg.JobPhase) int {
	bytes := 0
	for i, p := range phases {
		if bytes += phaseBytes(p); bytes > maxPhasesBytes && i > 0 {
			return i
		}
	}
	return len(phases)
}

// phaseBytes returns the size of a phase in a message.
func phaseBytes(p msg.JobPhase) int {
	return len(p.ID) + len(p.Queue) + len(p.Failure) + phaseOverheadBytes
}

// startFeeds starts the feeds of an owner that has loaded the jobs. It knows what
// the entries last heard from its own cache: what differs from it is sent first.
func (c *controller) startFeeds() {
	all := c.jobs.JobsChangedAfter(0)
	var changed, others []workload.JobID
	for _, id := range all {
		p, _ := c.jobs.Phase(id)
		if c.phases.update(p, c.now()) {
			changed = append(changed, id)
		} else {
			others = append(others, id)
		}
	}
	c.jobs.Phases() // the backlogs contain them
	c.feeds = newPhaseFeeds(c.jobs.Epoch(), c.jobs.PhaseChanges(), c.linkRate)
	backlog := append(changed, others...)
	for _, l := range c.entryLinks() {
		c.feeds.start(l, backlog)
	}
}

// startFeed starts the feed of an entry with the changes that it lacks.
func (c *controller) startFeed(l *peerLink) {
	if c.feeds == nil {
		return
	}
	after := uint64(0)
	if mark := l.hello.Phases; mark.Epoch == c.jobs.Epoch() {
		after = mark.UpTo
	}
	c.feeds.start(l, c.jobs.JobsChangedAfter(after))
}

// endFeed ends the feed that uses a link which is down. The feed begins again on
// another link of the entry.
func (c *controller) endFeed(l *peerLink) {
	if c.feeds == nil {
		return
	}
	name := l.hello.Member.Name
	if feed := c.feeds.byEntry[name]; feed != nil && feed.link != l {
		return
	}
	c.feeds.end(name)
	if other := c.entryLink(name); other != nil {
		c.startFeed(other)
	}
}

// sendBacklogs sends what is due of the phases that the entries lack.
func (c *controller) sendBacklogs() {
	if c.feeds != nil {
		c.sendPhases(c.feeds.tick(c.jobs.Phase))
	}
}

// sendPhases sends messages of the feeds. A feed whose message is not sent ends,
// since a later message would say that the entry lacks nothing; its link ends too.
func (c *controller) sendPhases(messages []phaseMessage) {
	for _, m := range messages {
		if !m.link.out.TrySend(m.message) {
			c.feeds.end(m.link.hello.Member.Name)
		}
	}
}

// publish records phases in the cache and sends them to the other entries.
func (c *controller) publish(phases []msg.JobPhase) {
	if len(phases) == 0 {
		return
	}
	for _, p := range phases {
		c.phases.update(p, c.now())
	}
	c.sendPhases(c.feeds.publish(phases, c.jobs.PhaseChanges()))
}

// phasesReceived applies phases that the owner sent.
func (c *controller) phasesReceived(m *msg.JobPhases) {
	if m.Epoch < c.owner.Epoch() {
		return
	}
	for _, p := range m.Jobs {
		c.phases.update(p, c.now())
		c.cancels.confirm(p)
	}
	if m.UpTo != 0 {
		c.published.phases.Set(&msg.PhaseMark{Epoch: m.Epoch, UpTo: m.UpTo})
	}
}
