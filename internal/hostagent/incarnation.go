package hostagent

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/incarnation.scxml, in the order of IncarnationBinding.
const (
	incarnationUnknown chart.State = iota
	incarnationPresent
	incarnationSilent
	incarnationClosing
	incarnationEnded
)

// Events of charts/incarnation.scxml, in the order of IncarnationBinding.
const (
	evBegin chart.Event = iota
	evProcessEnded
	evSettled
	evCloseTimeout
	evSilent
	evPollAnswered
)

// closeCheck is the interval at which it is checked whether the leases of an ended
// incarnation have expired.
const closeCheck = 500 * time.Millisecond

var incarnationChart *chart.Machine[Core]

func init() { incarnationChart = chart.MustCompile(charts.Files, IncarnationBinding()) }

// IncarnationBinding binds charts/incarnation.scxml.
func IncarnationBinding() chart.Binding[Core] {
	return chart.Binding[Core]{
		Chart:  "incarnation",
		States: []string{"unknown", "present", "silent", "closing", "ended"},
		Events: []string{"confirmed", "gone", "settled", "late", "silent", "answered"},
		Guards: map[string]func(*Core) bool{
			"startsSettled": (*Core).startsSettled,
			"leasesExpired": func(c *Core) bool { return c.now >= c.incarnation.leasesExpireAt },
			"announcedAnew": func(c *Core) bool { return c.incarnation.returning != nil },
		},
		Actions: map[string]func(*Core){
			"begin":     (*Core).beginIncarnation,
			"end":       (*Core).reportEndOfIncarnation,
			"endSilent": func(c *Core) { c.endRuns("its leases expired without an answer") },
			"return":    (*Core).returnFromSilence,
		},
		Delays: map[string]time.Duration{"closeCheck": closeCheck},
	}
}

// incarnation is the state of charts/incarnation.scxml.
type incarnation struct {
	state     chart.State
	timeoutAt time.Duration        // when the state's timeout expires; 0: none
	confirmed confirmation         // during the event confirmed only
	returning *runner.Announcement // the newest while silent; nil: none

	// otherService is announced since otherServiceAt in place of that of the host; "": none.
	otherService   workload.Service
	otherServiceAt time.Duration

	// Set when its process has ended.
	endReason      string
	crashed        bool
	leasesExpireAt time.Duration
	// laterMayRun is set while a start may have reached a later incarnation of the same
	// id. Silence does not settle that, only an answer or a refused connection.
	laterMayRun bool
}

// confirmation is an announcement with the answer that confirms it.
type confirmation struct {
	announcement runner.Announcement
	token        uint64 // of the poll
	response     runner.PollResponse
}

// stepIncarnation applies an event of the chart. A running timeout is restarted only if
// the state changes or the timeout has expired.
func (c *Core) stepIncarnation(e chart.Event) {
	before := c.incarnation.state
	incarnationChart.Step(c, &c.incarnation.state, e)
	d, _, ok := incarnationChart.Timeout(c.incarnation.state)
	switch {
	case !ok:
		c.incarnation.timeoutAt = 0
	case c.incarnation.state != before || e == evCloseTimeout:
		c.incarnation.timeoutAt = c.now + d
	}
}

// present reports whether an incarnation of the backend server is known that has
// not ended.
func (c *Core) present() bool { return c.incarnation.state == incarnationPresent || c.silent() }

// silent reports whether the present incarnation answered no poll until the leases of
// its runs had expired, and has not returned.
func (c *Core) silent() bool { return c.incarnation.state == incarnationSilent }

func sameIncarnation(a, b workload.Host) bool {
	return a.Instance == b.Instance && a.StartedAtMS == b.StartedAtMS
}

// beginIncarnation makes the confirmed incarnation the present one. Runs of the
// former one cannot run on an incarnation of another id. On one of the same id a
// start may have taken effect that was meant for the former: the answer to the poll
// lists it, or its lower token excludes it.
func (c *Core) beginIncarnation() {
	k := c.incarnation.confirmed
	former := c.host
	c.flushChanges() // they are of the former incarnation
	if k.announcement.Host.Instance == former.Instance {
		c.doubtRuns(k.token)
	} else {
		c.removeRuns()
	}
	c.resetIncarnation()
	c.setAnnounced(k.announcement)
	c.announcedMS = min(c.announcedMS, k.response.ClockMS) // it was sent before the answer
	if c.host.State == workload.HostUnavailable {
		c.host.Crashed = former.State == workload.HostReady
	}
	c.addDecision(Decision{Kind: IncarnationStarted, Detail: string(c.host.Instance)})
	c.announce()
	c.applyFirstPoll(k)
}

// applyFirstPoll applies the poll that confirmed the incarnation, and sends the
// owner what runs there. A former process of the agent, which makes no calls any more,
// may have extended the lease by an answer that is no newer.
func (c *Core) applyFirstPoll(k confirmation) {
	c.clock.set(k.response.ClockMS, c.now)
	c.polledMS, c.polledAt, c.polled = k.response.ClockMS, c.now, true
	c.formerLeaseMS = k.response.ClockMS + c.cfg.RunLease.Milliseconds()
	c.applyLists(runner.Target{Instance: c.host.Instance, Token: k.token}, k.response)
	c.sendInventory()
}

// doubtRuns makes it unknown whether each run is running, until a poll with the
// token has been answered.
func (c *Core) doubtRuns(token uint64) {
	for _, r := range c.sorted() {
		r.settlingToken, r.startAnswerMS, r.stopCalled = token, 0, false
		r.step(evReplaced)
	}
}

// resetIncarnation discards what belongs to the former incarnation.
func (c *Core) resetIncarnation() {
	c.polled, c.polledMS, c.polledAt, c.pollIgnored, c.answersSlowly, c.failedPolls = false, 0, 0, false, false, 0
	c.lastEnd, c.acknowledged, c.unacknowledged, c.allListed = 0, 0, nil, false
	c.clock, c.leaseEndMS, c.sentLeaseMS, c.formerLeaseMS, c.connectionRefusals = clock{receivedAt: c.now}, 0, 0, 0, 0
	c.changed = msg.RunsChanged{}
	c.discardInventory()
	c.callFailed, c.settlingPoll = false, 0
	c.incarnation.returning, c.suspension = nil, suspension{}
}

// processEnded records that the process of the present incarnation has ended.
// crashed: it was not a planned end.
func (c *Core) processEnded(reason string, crashed bool) {
	c.incarnation.endReason, c.incarnation.laterMayRun = reason, false
	c.incarnation.crashed = crashed && c.host.State == workload.HostReady
	c.incarnation.leasesExpireAt = c.now + c.cfg.OwnerLease + c.cfg.OwnerLease/driftDivisor + maxStartWait
	c.stepIncarnation(evProcessEnded)
	c.checkSettled()
}

// checkSettled reports the end of an ended incarnation once the outcome of all starts
// is known.
func (c *Core) checkSettled() {
	if c.incarnation.state == incarnationClosing {
		c.stepIncarnation(evSettled)
	}
}

// startsSettled reports whether no start can have reached a later incarnation of the
// same id.
func (c *Core) startsSettled() bool {
	if c.incarnation.laterMayRun || c.askingSameID() {
		return false
	}
	for _, r := range c.runs {
		if r.state == runStarting {
			return false
		}
	}
	return true
}

// startAnsweredLate applies the answer to a start call after the incarnation that it
// was meant for has ended. A start that was not rejected may have reached a later
// incarnation, which is asked for its runs.
func (c *Core) startAnsweredLate(a Answer) {
	c.startAnswered(a)
	if r, ok := c.runs[a.Call.Start.Run]; ok && r.state != runStarting {
		c.askLaterForRuns()
	}
	c.checkSettled()
}

// askLaterForRuns asks for a later incarnation, which a start may have reached.
func (c *Core) askLaterForRuns() {
	c.incarnation.laterMayRun = true
	c.askWhoAnswers(0)
}

// reportEndOfIncarnation ends all runs of the ended incarnation and announces the
// host as unavailable.
func (c *Core) reportEndOfIncarnation() {
	c.host.Crashed = c.incarnation.crashed
	c.endRuns(c.incarnation.endReason)
}

// endRuns removes all runs, announces the host as unavailable, and sends the owner a
// new inventory.
func (c *Core) endRuns(reason string) {
	c.addDecision(Decision{Kind: IncarnationEnded, Detail: reason})
	c.flushChanges() // the owner has to know which runs had started before the end
	c.removeRuns()
	c.host.State = workload.HostUnavailable
	c.announce()
	c.discardInventory()
	c.sendInventory()
}

func (c *Core) removeRuns() {
	c.allListed = false
	for _, r := range c.sorted() {
		r.step(evIncarnationEnded)
	}
}
