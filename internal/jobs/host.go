package jobs

import (
	"container/list"
	"slices"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/taskhost.scxml, in the order of HostBinding.
const (
	hostUnavailable chart.State = iota
	hostClaiming
	hostReady
	hostSilent
	hostListing
)

// Events of charts/taskhost.scxml, in the order of HostBinding.
const (
	evUp chart.Event = iota
	evDown
	evInventory
	evLeaseExpired
	evClaimTimeout
	evExpect
)

// claimRetry is the time after which an unanswered claim is sent again.
const claimRetry = time.Second

var hostChart *chart.Machine[host]

func init() { hostChart = chart.MustCompile(charts.Files, HostBinding()) }

// HostBinding binds charts/taskhost.scxml.
func HostBinding() chart.Binding[host] {
	return chart.Binding[host]{
		Chart:  "taskhost",
		States: []string{"away", "claiming", "ready", "silent", "listing"},
		Events: []string{"up", "down", "inventory", "lapse", "late", "expect"},
		Actions: map[string]func(*host){
			"sendClaim": (*host).sendClaim,
			"adopt":     (*host).adopt,
			"loseRuns":  (*host).loseRuns,
		},
		Guards: map[string]func(*host) bool{
			"leasesPassed": (*host).leasesPassed,
			"moreEnds":     func(h *host) bool { return h.inventory.MoreEnds },
		},
		Delays: map[string]time.Duration{"claimRetry": claimRetry, "leaseExpiry": LeaseExpiry},
	}
}

// host is a host with the runs that count against its capacity.
type host struct {
	core       *Core
	info       workload.Host
	state      chart.State
	timeoutAt  time.Duration // when the state's timeout expires; 0: none
	claimDueAt time.Duration // when an unanswered claim is sent again
	dueAt      time.Duration // when the host expires in Core.due; 0: never

	stateSince           time.Duration // when the state was entered
	longWait             waitKind      // that was logged last and goes on
	lastGrantAt          time.Duration // when the lease of the runs was last granted
	unlinkedAt           time.Duration // when its last link ended, or it was expected without a link
	endCause             LossCause     // of runs that were there before the incarnation ended; "": none has ended since the last inventory
	runs                 map[workload.RunID]*run
	used                 workload.Resources // charges of the runs
	bestEffortCPU        int64              // thousandths of a core that best-effort runs declare
	servingRuns          int
	unproven             int           // runs that may show that their task crashes backend servers
	holds                int           // those of isolated tasks; nothing else starts beside them
	heldUntil            time.Duration // when holds became lower last; 0: never
	reservedSince        time.Duration // for an isolated task; 0: not reserved
	reservations         reservations
	room                 roomReservation
	runsByStep           map[*step]int
	servingByImage       map[string]int
	servingByGroup       map[servingGroup]int
	bestEffortByImage    []bestEffortUse // ordered by image
	endsApplied          uint64          // number of the last end that was applied
	endsAcknowledged     uint64          // number of the last end that was stored and acknowledged
	health               health
	refusals             int           // starts refused since one was carried out
	pausedUntil          time.Duration // end of the pause after repeated refusals; 0: none
	inventoryNumber      uint64        // of the newest inventory since the host was linked
	inventoryStartedAtMS int64         // available incarnation whose inventory was accepted; 0: none
	stored               bool          // it is in the stored list of hosts
	listDiffers          bool          // it should not be in the stored list but is, or the reverse
	expected             bool          // runs of an earlier owner may go on there
	soughtAt             time.Duration // when its agent was linked, or sent an inventory
	adopted              bool          // it has answered this owner
	endsMissing          bool          // its agent has not listed all ends yet, so runs that it does not list may have ended
	vacated              bool          // it certainly has no runs: none was expected, or the leases have ended since it answered last
	lastMoveAt           time.Duration // when a best-effort run was last moved to the host; 0: never
	idleSince            time.Duration // when all runs on the host had certainly ended

	index       int           // number of hosts that were added before
	improvement uint64        // number of its last improvement
	position    *list.Element // in Core.improved

	starts    []msg.RunStart     // not yet sent
	stops     []workload.RunID   // not yet sent
	inventory *msg.HostInventory // set during the event inventory only
}

// host returns the host of a name, and adds it if it is not known.
func (c *Core) host(name workload.HostName) *host {
	h, ok := c.hosts[name]
	if !ok {
		h = &host{
			core: c, info: workload.Host{Name: name}, runs: map[workload.RunID]*run{}, lastGrantAt: c.now, idleSince: c.now, vacated: true, index: len(c.hosts),
			runsByStep: map[*step]int{}, servingByImage: map[string]int{}, servingByGroup: map[servingGroup]int{},
		}
		c.hosts[name] = h
		c.ending.unanswered[h] = struct{}{}
		i := sort.Search(len(c.hostsByName), func(i int) bool { return c.hostsByName[i].info.Name >= name })
		c.hostsByName = slices.Insert(c.hostsByName, i, h)
		h.position = c.improved.PushFront(h)
		h.stored = c.hostList.stored[name]
		h.schedule()
		h.improve()
	}
	return h
}

// step applies an event to the host's chart and sets the timeout of its state.
// A running timeout is restarted only if the state changes or the claim is sent
// again.
func (h *host) step(e chart.Event) {
	before := h.state
	hostChart.Step(h, &h.state, e)
	if h.answered() {
		delete(h.core.ending.unanswered, h)
	} else {
		h.core.ending.unanswered[h] = struct{}{}
	}
	if h.state != before {
		h.stateSince = h.core.now
	}
	if h.state != before || e == evClaimTimeout || e == evUp {
		h.restartTimeout()
		h.improve()
	}
	h.schedule()
}

// answered reports whether the agent is linked and has answered the claim, so that the
// leases of the host are extended.
func (h *host) answered() bool { return h.state == hostReady || h.state == hostListing }

// improve records that tasks may fit on the host which did not fit before. A
// change that can only exclude tasks, such as a charge, is not recorded.
func (h *host) improve() {
	h.core.improvements++
	h.improvement = h.core.improvements
	h.core.improved.MoveToFront(h.position)
	h.core.planNeeded = true
}

// Linked records that the agent of a host is linked.
func (c *Core) Linked(info workload.Host) {
	h := c.host(info.Name)
	h.update(info)
	h.inventoryNumber = 0 // the agent may be another process
	h.seekLease()
	h.step(evUp)
}

// Unlinked records that the agent of a host is no longer linked.
func (c *Core) Unlinked(name workload.HostName) {
	if h, ok := c.hosts[name]; ok {
		c.addDecision(Decision{Kind: HostChanged, Host: name, Detail: "silent", Age: c.now - h.lastGrantAt})
		h.unlinkedAt = c.now
		h.step(evDown)
	}
}

// Announced updates a host with the state that its agent announces.
func (c *Core) Announced(info workload.Host) {
	c.host(info.Name).update(info)
	c.planNeeded = true
}

// update applies the state that an agent reports of its backend server. The runs of
// an incarnation that has ended are lost when the agent's next inventory does not list
// them: a start may have reached the next incarnation.
func (h *host) update(info workload.Host) {
	old := h.info
	restarted := old.Instance != "" && (old.Instance != info.Instance || old.StartedAtMS != info.StartedAtMS)
	if info.Instance == "" {
		return // the agent does not know its backend server yet
	}
	if restarted || info.State == workload.HostUnavailable && old.State != workload.HostUnavailable {
		h.core.addDecision(Decision{Kind: HostChanged, Host: h.info.Name, Detail: "ended"})
		if info.Crashed || restarted && old.State == workload.HostReady {
			h.attributeCrash()
		}
		h.inventoryStartedAtMS = 0
		h.endCause = LostUnavailable
	}
	if restarted {
		h.endCause = LostIncarnationEnded
		h.endsApplied, h.endsAcknowledged = 0, 0
		delete(h.core.unstoredEnds, h)
		h.health = health{}
	}
	if info.State != old.State {
		h.core.addDecision(Decision{Kind: HostChanged, Host: info.Name, Detail: info.State.String()})
	}
	h.info = info
	h.schedule()
	if restarted || info.State != old.State || info.Service != old.Service || info.Capacity != old.Capacity || !slices.Equal(info.Labels, old.Labels) || old.Instance == "" {
		h.improve()
	}
	if info.State == workload.HostDraining && old.State != workload.HostDraining {
		h.evacuate()
	}
}

// evacuate stops the runs that are not expected to end before the host shuts
// down. Runs of long-running tasks never are.
func (h *host) evacuate() {
	for _, r := range h.sortedRuns() {
		if r.task.step.spec.LongRunning || r.remaining() > h.info.Remaining {
			r.stop("host-drains")
		}
	}
}

// queueStop queues a stop request to the agent.
func (h *host) queueStop(id workload.RunID) {
	h.stops = append(h.stops, id)
	h.core.unsent[h] = struct{}{}
	h.core.planNeeded = true
}

// size returns what the agent has to know of the run to admit and throttle it.
func (r *run) size() msg.RunSize {
	s := r.task.step.spec
	return msg.RunSize{Run: r.id, Charge: s.Charge(), TargetLatency: s.TargetLatency, BestEffort: s.BestEffort, Image: s.Image, MilliCPU: s.Need.MilliCPU}
}

// leasesPassed reports whether leases of the host have certainly ended and its runs are
// not given up yet.
func (h *host) leasesPassed() bool { return !h.vacated && h.core.certainlyPassed(h.leaseEnd()) }

// loseRuns ends the runs of a host on which they have certainly ended.
func (h *host) loseRuns() {
	h.vacated, h.endsMissing = true, false
	h.idleSince = h.core.now
	h.logExpiredLeases()
	h.dropEarlyRuns()
	for _, r := range h.sortedRuns() {
		r.lose(LostLeaseExpired)
	}
	h.core.endRecoveryIfComplete()
}
