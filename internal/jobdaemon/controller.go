package jobdaemon

import (
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
	// maxBatch bounds the number of messages that are applied before their
	// effects are sent.
	maxBatch       = 128
	pruneInterval  = 10 * time.Second
	lagLogInterval = 10 * time.Second
	// statusRecordInterval is the interval at which the metrics of the state are set.
	statusRecordInterval = time.Second
)

// controller is the actor that owns the state of an entry: its links, its cache
// of the jobs' phases and, while the entry is the owner, the jobs themselves.
type controller struct {
	self       msg.Member
	log        log.Interface
	group      *actor.Group
	storeProxy *storeProxy
	address    actor.Address[any]
	startedAt  time.Time
	metrics    *entryMetrics

	linkRate        int64 // of the host's network connection, bits per second; 0: not known
	links           map[linkID]*peerLink
	agents          map[workload.HostName]*agentView
	members         map[string]msg.Member // entries by name
	config          *configState
	phases          *phaseCache
	owner           *ownership.Core // which entry owns the jobs
	jobs            *jobs.Core      // nil unless this entry owns the jobs
	loading         bool            // this entry owns the jobs but has not read them yet
	feeds           *phaseFeeds     // nil unless this entry owns the jobs and has read them
	deferred        []any           // messages for the owner that arrived while loading
	writer          writer
	released        releasedRuns
	admissions      admissions
	cancels         unconfirmedCancels
	maxTasks        int // admissions.limit, for the callers' handlers
	clock           hostClock
	ownerLog        ownerLog
	peerCommits     peerCommits
	ownerGroup      *actor.Group // actors that end with the ownership: they load and watch the jobs
	prunedAt        time.Duration
	tickedAt        time.Duration // 0: not yet
	lagLoggedAt     time.Duration // 0: never
	ownerRecordedAt time.Duration // when the metrics of the ownership were last set

	published *published
}

// published holds the values that other goroutines of the process may read.
type published struct {
	epoch    actor.Value[uint64]
	epochs   peer.Epochs                  // for heartbeats
	linked   actor.Value[map[string]bool] // addresses of linked entries
	members  actor.Value[[]msg.Member]
	phases   actor.Value[msg.PhaseMark]
	retiring actor.Value[bool]     // the entry is draining
	seeds    actor.Value[[]string] // further addresses to dial, of changed settings
}

// peerLink is a link to an agent or to another entry.
type peerLink struct {
	id    linkID
	hello *msg.PeerHello
	out   peer.Out
}

// agentView is the state of an agent as an entry knows it.
type agentView struct {
	link *peerLink // nil: unlinked
	host workload.Host
}

func (c *controller) now() time.Duration { return time.Since(c.startedAt) }

// loop returns the loop of the controller, which applies messages in batches and
// sends their effects after each batch.
func (c *controller) loop() actor.BatchLoop[any] {
	return actor.BatchLoop[any]{Limit: maxBatch, Interval: controllerTick, Apply: c.apply, Tick: c.tick, Flush: c.flush, Pending: c.planPending, Failed: c.failed}
}

// failed applies the failure of a step of the loop. The state of the jobs may be half
// changed, so an owner ends its ownership and claims the jobs again under a new epoch,
// with the state that is stored and that the agents report.
func (c *controller) failed(err error) {
	event.Log(c.log, event.ActorFailed, log.Fields{"actor": "controller", "error": err.Error(), "restart": true})
	if c.jobs == nil {
		return
	}
	c.endOwnership("a step of the owner failed")
	c.owner.Superseded(c.now())
}

func (c *controller) tick() {
	now := c.now()
	c.checkLag(now)
	c.recordOwner(now)
	c.noticeSuspension(now)
	c.owner.Tick(now)
	if c.jobs != nil {
		c.advanceJobs()
		c.jobs.Tick()
	}
	c.sendBacklogs()
	c.peerCommits.expire(now)
	c.released.prune(now)
	if now-c.prunedAt > pruneInterval {
		c.prunedAt = now
		c.phases.prune(now)
		c.cancels.prune(now)
	}
}

// advanceJobs sets the time of the jobs, and whether leases may be extended.
func (c *controller) advanceJobs() {
	now := c.now()
	c.noticeSuspension(now)
	c.observeLinkedEpochs(now)
	c.logPermission(now)
	c.jobs.Advance(now, time.Now().UnixMilli())
	c.jobs.PermitLeases(c.owner.MayAct(now))
	c.jobs.NotReplacedUntil(c.owner.NotReplacedUntil())
}

// observeLinkedEpochs applies the highest epoch that the links have received. They may
// have echoed it already, which a successor relies on, while the message that carried it
// is still queued.
func (c *controller) observeLinkedEpochs(now time.Duration) {
	if c.owner.EpochObserved(c.published.epochs.Highest.Get(), now) {
		c.logOwner("heartbeat")
	}
}

// noticeSuspension tells the ownership if the host was suspended since the last call.
func (c *controller) noticeSuspension(now time.Duration) {
	if d := c.clock.suspendedSinceLastCall(); d > 0 {
		event.Log(c.log, event.HostSuspended, log.Fields{"epoch": c.owner.Epoch()})
		c.owner.Suspended(d, now)
	}
}

// checkLag records how late the tick is. It logs a lag above the bound of the owner
// of the jobs, which hands them over if it is persistently late.
func (c *controller) checkLag(now time.Duration) {
	lag := max(0, now-c.tickedAt-controllerTick)
	first := c.tickedAt == 0
	c.tickedAt = now
	if first {
		return
	}
	c.metrics.recordLag(lag)
	if c.jobs != nil && !c.loading {
		c.owner.Ticked(lag, now)
	}
	if c.jobs == nil || lag <= ownership.MaxLag || c.lagLoggedAt != 0 && now-c.lagLoggedAt < lagLogInterval {
		return
	}
	c.lagLoggedAt = now
	p := c.jobs.LastPass()
	event.Log(c.log, event.OwnerBehind, log.Fields{"epoch": c.jobs.Epoch(), "lag-ms": lag.Milliseconds(), "waiting": p.Waiting, "views": p.Views})
}

// recordStep records how late the next tick is already, while this entry owns the
// jobs.
func (c *controller) recordStep() {
	if c.jobs != nil && !c.loading {
		now := c.now()
		c.owner.Stepped(now-c.tickedAt-controllerTick, now)
	}
}

func (c *controller) apply(m any) {
	if c.jobs != nil {
		c.advanceJobs()
	}
	switch m := m.(type) {
	case *linkUp:
		c.linkUp(m)
	case *linkMessage:
		if l := c.links[m.id]; l != nil {
			c.received(l, m.message)
		}
	case *linkUnsent:
		c.messageUnsent(m)
	case *linkDown:
		c.linkDown(m)
	case *ownerRead:
		c.ownerRead(m)
	case *ownerClaimed:
		c.ownerClaimed(m)
	case *ownerReleased:
		c.ownerReleased(m)
	case *jobsLoaded:
		c.jobsLoaded(m)
	case *jobsWatched:
		c.jobsWatched(m)
	case *batchStored:
		c.batchStored(m)
	case *jobRowsDeleted:
		c.jobRowsDeleted(m)
	case *admissionRequest:
		c.admissionRequest(m)
	case *admissionEnded:
		c.admissions.end(m.id)
	case *jobStored:
		c.jobStored(m)
	case *cancelStored:
		c.cancelStored(m)
	case *phaseQuery:
		c.phaseQuery(m)
	case *phaseRead:
		c.phases.updateRead(m.id, m.status, c.now())
	case *queueLengthQuery:
		m.reply.Put(c.phases.queued[m.queue])
	case *membersRead:
		c.addMembers(m.entries, fromTable)
	case *peerCommitRequest:
		c.requestPeerCommit(m)
	case *retireRequest:
		c.retire(m)
	}
}

// plans reports whether this entry plans the jobs. An owner that another entry may
// have replaced does not, nor one that hands them over, so that it applies the outcome
// of the release at once, unless the table service is unreachable and the release has
// to wait.
func (c *controller) plans() bool {
	if c.jobs == nil || c.loading {
		return false
	}
	c.observeLinkedEpochs(c.now())
	if !c.owner.MayAct(c.now()) {
		return false
	}
	return !c.owner.HandingOver() || c.storeProxy.outageDuration() > 0
}

// planPending reports whether the last planning pass left work to the next.
func (c *controller) planPending() bool { return c.plans() && c.jobs.PlanPending() }

// flush applies the decisions of the ownership, of the configuration and of the
// jobs.
func (c *controller) flush() {
	c.recordStep()
	c.ownershipEffects()
	c.syncConfig()
	if c.jobs == nil || c.loading {
		return
	}
	if began := c.now(); c.plans() && c.jobs.Plan() {
		c.metrics.recordPass(c.now()-began, c.jobs.LastPass())
	}
	for _, s := range c.jobs.Messages() {
		c.sendToHost(s)
	}
	c.publish(c.jobs.Phases())
	for _, d := range c.jobs.Decisions() {
		c.logDecision(d)
	}
	c.storePending()
	c.removeExpired()
}

func (c *controller) sendToHost(s jobs.HostMessage) {
	a := c.agents[s.Host]
	if a == nil || a.link == nil {
		return // the agent sends its inventory when it is linked again
	}
	c.send(a.link, s.Message)
}

// send queues a message for a link. The link ends if its queue is full.
func (c *controller) send(l *peerLink, m msg.Control) { l.out.TrySend(m) }

// sendToEntries sends a message once to each linked entry.
func (c *controller) sendToEntries(m msg.Control) {
	sent := map[string]bool{}
	for _, l := range c.links {
		if name := l.hello.Member.Name; !l.hello.Agent && !sent[name] {
			sent[name] = true
			c.send(l, m)
		}
	}
}
