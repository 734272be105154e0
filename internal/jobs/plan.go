package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// The number of a run has the owner's epoch in the bits above epochShift and a
// counter in the bits of numberMask, so that the run numbers of a task increase
// across changes of ownership without being stored.
const (
	epochShift = 20
	numberMask = 1<<epochShift - 1
)

// PassStats describes one planning pass.
type PassStats struct {
	Views   int // hosts examined for a task; a host counts once for each examination
	Started int // runs ordered
	Waiting int // tasks that are still ready after the pass
}

// LastPass returns the statistics of the last planning pass.
func (c *Core) LastPass() PassStats { return c.pass }

// maxPassViews bounds the hosts that a pass examines, so that planning delays
// the messages of the hosts by a few milliseconds at most. The views of one step
// are not divided, so a pass can exceed it by the number of hosts.
const maxPassViews = 4096

// maxSuspectViews bounds the hosts that a pass examines for suspects that are not
// isolated. As many are left to the other tasks, also if the search for isolated tasks
// exceeds the rest.
const maxSuspectViews = maxPassViews / 2

// Plan starts the tasks that a host can run, moves throttled runs, and queues
// the start and stop requests for the agents. It does nothing and returns false
// if no input since the last call may have changed the plan. If the pass has
// reached maxPassViews, PlanPending is true afterwards and the next call
// continues, the most urgent tasks first. A pass that has reached the bound of
// LimitOrders continues after a Tick, and tasks that have waited for long go first
// within a part of the rate.
func (c *Core) Plan() bool {
	if !c.planNeeded {
		return false
	}
	c.planNeeded = false
	c.pass, c.viewLimit = PassStats{}, maxPassViews
	c.dropRoomReservations()
	if c.orders.overdueDue() || c.overdueFirst {
		c.overdueFirst = false
		c.placeOverdue()
	}
	c.placeSuspects()
	c.viewLimit = max(maxPassViews, c.pass.Views+maxPassViews/2)
	switch {
	case !c.placeWaiting():
		c.planNeeded = !c.orders.exhausted // otherwise the next tick lets the pass continue
	case c.movesDue:
		c.movesDue, c.movesExaminedAt = false, c.now
		c.moveThrottled()
	}
	c.reserveRoom()
	c.flushHosts()
	c.pass.Waiting = c.waiting.tasks + len(c.suspects)
	return true
}

// PlanPending reports whether Plan has work to do.
func (c *Core) PlanPending() bool { return c.planNeeded }

// mayHaveStarted reports whether a former owner may have started tasks of the
// step: those of a restored job, and of every job if it may still be active. A
// job of this owner's epoch was accepted after all of them had been replaced.
func (s *step) mayHaveStarted() bool {
	c := s.job.core
	if c.formerOwners != FormerOwnersActive && s.job.spec.Epoch >= c.epoch {
		return false
	}
	return s.job.recovered || c.formerOwners != FormerOwnersEnded
}

// selectionTask returns the tasks of the step as hostselect sees them.
func (s *step) selectionTask() hostselect.Task {
	j := &s.job.spec
	return hostselect.Task{Step: s.spec, Service: j.Service, Priority: j.Priority}
}

// view returns the host as hostselect sees it for the tasks of a step.
func (h *host) view(s *step) hostselect.Host {
	h.core.pass.Views++
	v := hostselect.Host{
		Info: &h.info, Blocked: h.blocked(s), Free: h.info.Capacity.Sub(h.used), BestEffortCPU: h.bestEffortCPU, Serving: h.servingRuns,
		Suspect: h.suspect() || h.unproven > 0, Failing: h.failing(),
	}
	// Only some steps need the counts that cost a look-up.
	if s.spec.MaxPerHost > 0 || s.spec.Serves() {
		v.SameStep = h.runsByStep[s]
	}
	if s.spec.Serves() {
		v.SameImage = h.servingByImage[s.spec.Image] > 0
	}
	if s.spec.BestEffort && h.servingRuns > 0 {
		v.BestEffortHeadroom = h.bestEffortHeadroom(s)
	}
	return v
}

// unready returns why the agent of the host is not expected to accept starts, or Fits. It
// is expected to if the owner has the complete inventory of the present incarnation of its
// backend server, the host is in the stored list, and it is not paused after refusals.
func (h *host) unready() hostselect.Reason {
	switch {
	case h.state == hostUnavailable || h.state == hostSilent:
		return hostselect.Unreachable
	case h.state == hostListing:
		return hostselect.EndsMissing
	case h.state != hostReady || h.inventoryStartedAtMS != h.info.StartedAtMS:
		return hostselect.NoInventory
	case !h.stored:
		return hostselect.Unlisted
	case h.pausedUntil != 0:
		return hostselect.Paused
	}
	return hostselect.Fits
}

// acceptsStarts reports whether the agent of the host is expected to accept starts.
func (h *host) acceptsStarts() bool { return h.unready() == hostselect.Fits }

// blocked returns why the host takes no tasks of the step at present, whatever its
// resources, or Fits.
func (h *host) blocked(s *step) hostselect.Reason {
	switch reason := h.unready(); {
	case reason != hostselect.Fits:
		return reason
	case h.holds > 0 || h.reservedAgainst(s):
		return hostselect.Reserved
	case h.keptFreeFor(s):
		return hostselect.KeptFree
	}
	return hostselect.Fits
}

// logUnplaced logs why no host can run the task, once each time it becomes
// ready. The reasons are those of the last examination of each host.
func (t *task) logUnplaced() {
	if t.unplacedLogged {
		return
	}
	c := t.step.job.core
	t.unplacedLogged = true
	detail := t.step.group.searches[t.searchKind()].describe(c)
	t.step.countLogged()
	c.addDecision(Decision{Kind: TaskUnplaced, Job: t.step.job.spec.ID, Run: workload.RunID{Task: t.id()}, Detail: detail})
}

// describe returns the number of hosts that each reason excluded.
func (s *search) describe(c *Core) string {
	if s.described {
		return s.description
	}
	var excluded [hostselect.LowSpeed + 1]int
	for _, r := range s.reasons {
		c.visits++
		excluded[r]++
	}
	var parts []string
	for r := hostselect.Fits + 1; r <= hostselect.LowSpeed; r++ {
		if excluded[r] > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", r, excluded[r]))
		}
	}
	s.described, s.description = true, strings.Join(parts, " ")
	return s.description
}

// start charges a new run of the task to the host and queues its request.
func (h *host) start(t *task) {
	c := h.core
	t.starts++
	id := workload.RunID{Task: t.id(), Number: (c.epoch-1)<<epochShift + t.starts}
	r := h.charge(t, id)
	c.unready(t)
	c.pass.Started++
	c.unsent[h] = struct{}{}
	c.orders.spend(len(t.step.job.spec.Specification) + len(t.checkpoint))
	h.starts = append(h.starts, msg.RunStart{Size: r.size(), Specification: t.step.job.spec.Specification, Checkpoint: t.checkpoint})
	c.addDecision(Decision{Kind: RunOrdered, Job: t.step.job.spec.ID, Run: id, Host: h.info.Name, Age: c.now - t.readySince})
}

// flushHosts sends the queued requests to the agents in the order of the hosts'
// names.
func (c *Core) flushHosts() {
	hosts := slices.SortedFunc(maps.Keys(c.unsent), func(a, b *host) int { return cmp.Compare(a.info.Name, b.info.Name) })
	clear(c.unsent)
	for _, h := range hosts {
		c.visits++
		h.flush()
	}
}

// flush sends the queued requests to the agent.
func (h *host) flush() {
	if !h.answered() {
		h.stops = nil // sent again after the next inventory
		return
	}
	if len(h.stops) > 0 {
		h.core.send(h, &msg.StopRuns{Epoch: h.core.epoch, Runs: h.stops})
		h.stops = nil
	}
	if len(h.starts) > 0 {
		h.core.send(h, &msg.StartRuns{Epoch: h.core.epoch, Instance: h.info.Instance, StartedAtMS: h.info.StartedAtMS, Starts: h.starts})
		h.starts = nil
	}
}

// maxRecovery is how long a recovery takes at most after the last grant of a former
// owner.
const maxRecovery = LeaseExpiry + time.Second

// Recover keeps the tasks of restored jobs from starting until every expected
// host has sent its inventory, is inherited with a list of its runs, or certainly
// has no runs, which is at most one second after LeaseExpiry, counted from the
// time of FormerOwnersActUntil. The tasks of listed runs wait for their hosts. If a former owner may still be active, this holds
// for all tasks, since it may have started tasks of jobs that were accepted
// after the stored jobs were read. Jobs of this owner's epoch do not wait if the
// former owners have ended or are fenced.
func (c *Core) Recover(former FormerOwners) {
	c.formerOwners = former
	c.recoveryDeadline = c.now + maxRecovery
	c.chargeListedRuns()
	c.endRecoveryIfComplete()
}

// Settled reports whether no former owner can have runs that the core does not
// know, or get any: while one acts, an agent that is started again may obey it. Runs that
// the core does not know may go on at hosts that the stored row names, where a successor
// waits for the rest of their leases.
func (c *Core) Settled() bool {
	return c.now >= c.formerOwnersActUntil && (c.recoveryDeadline == 0 || c.waitsAreStored())
}
