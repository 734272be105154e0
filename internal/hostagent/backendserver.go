package hostagent

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Announced applies an announcement. One of the present incarnation updates its state.
// Another incarnation begins when the backend server has confirmed it: the
// announcement may be late, or of a sender that is not the backend server.
func (c *Core) Announced(a runner.Announcement) {
	if c.present() && sameIncarnation(a.Host, c.host) {
		c.refresh(a)
	} else {
		c.ask(a)
	}
}

// maxClockLead bounds how far the clock of an announcement may be ahead of the one that
// the backend server's answers show.
const maxClockLead = 2 * time.Second

// outdated reports whether an announcement of the present incarnation is older than the
// newest, or cannot be of its backend server. The clocks decide, because a sequence
// number out of order would make all later announcements outdated for good.
func (c *Core) outdated(a runner.Announcement) bool {
	switch {
	case a.ClockMS > c.clock.upperBound(c.now)+maxClockLead.Milliseconds():
		return true
	case a.ClockMS != c.announcedMS:
		return a.ClockMS < c.announcedMS
	}
	return a.Sequence <= c.announcement
}

// refresh applies an announcement of the present incarnation.
func (c *Core) refresh(a runner.Announcement) {
	if c.outdated(a) {
		return
	}
	if c.silent() {
		c.announcement, c.announcedMS = a.Sequence, a.ClockMS
		c.incarnation.returning = &a
		return
	}
	before := c.host
	if before.State == workload.HostUnavailable {
		// It has not announced itself before. The inventory is sent again after the
		// next poll.
		c.polled = false
		c.discardInventory()
	}
	c.setAnnounced(a)
	if changesPlacement(before, c.host) {
		c.announce()
	}
}

// setAnnounced sets the state of the host to an announcement.
func (c *Core) setAnnounced(a runner.Announcement) {
	c.announcement, c.announcedMS = a.Sequence, a.ClockMS
	c.host = a.Host
	c.host.Name, c.host.DataCentre = c.cfg.Name, c.cfg.DataCentre
}

// changesPlacement reports whether two states of a host differ in what the owner
// places tasks by.
func changesPlacement(a, b workload.Host) bool {
	return a.State != b.State || a.Capacity != b.Capacity || a.Service != b.Service || !slices.Equal(a.Labels, b.Labels)
}

// Deregistered ends the incarnation of a backend server that deregistered. The report may
// be applied after the next incarnation of the id has begun, which it does not concern.
// startedAtMS is 0 if it was not reported.
func (c *Core) Deregistered(id workload.Instance, startedAtMS int64) {
	concerns := func(h workload.Host) bool {
		return h.Instance == id && (startedAtMS == 0 || h.StartedAtMS == 0 || h.StartedAtMS == startedAtMS)
	}
	for _, k := range slices.Clone(c.candidates) {
		if concerns(k.announcement.Host) {
			k.step(evCandidateDenied)
		}
	}
	if c.present() && concerns(c.host) {
		c.processEnded("backend server deregistered", false)
	}
}

// announce sends the state of the host to all entries.
func (c *Core) announce() {
	c.sends = append(c.sends, Send{0, &msg.HostAnnounced{Host: c.host}})
}

// CanCall reports whether there is an incarnation of the backend server to poll.
func (c *Core) CanCall() bool { return c.present() || len(c.candidates) > 0 }

// leaseMS returns the end of the lease for a call, in milliseconds of the backend
// server's clock, or 0 if it would have expired or the backend server is silent. It is
// at most RunLease after the newest clock in an answer to a poll: a backend server that
// does not say what runs there gets no later lease, whatever the owner grants, so the
// end of its runs is known. It records the end in sentLeaseMS.
func (c *Core) leaseMS() int64 {
	if c.silent() {
		return 0
	}
	end := min(c.leaseEndMS, c.polledMS+c.cfg.RunLease.Milliseconds())
	if end <= c.clock.lowerBound(c.now) {
		return 0
	}
	c.sentLeaseMS = max(c.sentLeaseMS, end)
	return end
}

// Poll is a long poll of the backend server.
type Poll struct {
	Target      runner.Target
	Request     runner.PollRequest
	StartedAtMS int64         // incarnation of the backend server
	Pause       time.Duration // before the call
	Timeout     time.Duration // of the call, without the pause
	madeAt      time.Duration // time of the core
	// Candidate is the incarnation that the poll asks for; nil: the present one.
	Candidate *runner.Announcement
}

// NextPoll returns the next poll of the backend server. A poll that asks for a
// candidate goes first; while it is not answered, it alternates with one of the present
// incarnation, which extends the lease. After a call without an answer, which another incarnation may
// have received, no ends are acknowledged: the numbers of its ends are others. A
// backend server answers at once while it has unacknowledged ends, so the polls are spaced by
// unacknowledgedPause until the owner has stored the ends, and while the agent
// ignores the answers, which may contain ends. After a poll that has failed the answer is
// not delayed: the lease of the runs may be about to expire, and only the poll after the
// answer extends it.
func (c *Core) NextPoll() Poll {
	if len(c.candidates) > 0 && !(c.present() && c.askPresentNext) {
		return c.confirmingPoll()
	}
	poll := Poll{Target: c.target(), Request: runner.PollRequest{LeaseMS: c.leaseMS(), Wait: pollWait}, StartedAtMS: c.host.StartedAtMS}
	if c.failedPolls > 0 {
		poll.Request.Wait = 0
	}
	poll.Timeout, poll.madeAt = poll.Request.Wait+c.pollMargin(), c.now
	if !c.callFailed {
		poll.Request.Acknowledged = c.acknowledged
	}
	if len(c.unacknowledged) > 0 || c.pollIgnored {
		poll.Pause = unacknowledgedPause
	}
	return poll
}

const (
	// answerTime is the time for the answer to a poll beyond the time that the backend
	// server may delay it.
	answerTime = 600 * time.Millisecond
	// slowAnswerTime is the same for a backend server that may be slow.
	slowAnswerTime = 1500 * time.Millisecond
)

// pollMargin returns the time for the answer to the next poll of the present incarnation.
// Every other poll after one that has failed waits for a slow backend server. The others
// end soon, because further connections may be silent.
func (c *Core) pollMargin() time.Duration {
	if c.answersSlowly || c.failedPolls%2 == 1 {
		return slowAnswerTime
	}
	return answerTime
}

// unacknowledgedPause bounds the delay until a new end is noticed while former
// ends wait to be stored.
const unacknowledgedPause = 50 * time.Millisecond

// PollAnswered applies the answer to a poll that NextPoll returned.
func (c *Core) PollAnswered(poll Poll, response runner.PollResponse, err error) {
	if poll.Candidate != nil {
		c.candidateAnswered(poll, response, err)
		return
	}
	c.askPresentNext = false
	if !c.isPresent(poll.Target.Instance, poll.StartedAtMS) {
		return
	}
	c.answered(response.ClockMS, err)
	c.failedPolls++
	if err == nil {
		c.failedPolls, c.answersSlowly = 0, c.now-poll.madeAt-poll.Pause > poll.Request.Wait+answerTime
		c.pollIgnored = !c.applyPoll(poll.Target, response)
	}
	c.checkCrash(err)
}

func (c *Core) isPresent(id workload.Instance, startedAtMS int64) bool {
	return c.present() && c.host.Instance == id && c.host.StartedAtMS == startedAtMS
}

// maxConnectionRefusals is the number of consecutive refused connections after
// which the process of the backend server counts as ended.
const maxConnectionRefusals = 2

// answered applies the clock of an answer to any call, and raises the token if the
// call was fenced.
func (c *Core) answered(clockMS int64, err error) {
	if clockMS > 0 {
		c.clockAfterSuspension(clockMS)
		c.clock.set(clockMS, c.now)
	}
	if errors.Is(err, runner.ErrFenced) {
		c.token += fencedTokenStep
	}
}

// checkCrash ends the incarnation if the error of a call shows that its process has
// ended. It is called after the call was applied, so that a refused start is
// reported as refused before the crash, of which it cannot be the cause.
func (c *Core) checkCrash(err error) {
	switch {
	case err == nil:
		c.connectionRefusals = 0
	case errors.Is(err, runner.ErrOtherIncarnation):
		c.processEnded("another incarnation answered", true)
	case errors.Is(err, runner.ErrNotListening):
		c.callFailed = true
		if c.connectionRefusals++; c.connectionRefusals >= maxConnectionRefusals {
			c.processEnded("backend server refuses connections", true)
		}
	case errors.Is(err, runner.ErrOutcomeUnknown):
		c.callFailed = true
	}
}

// fencedTokenStep is added to the token after ErrFenced. It exceeds the token
// of a former process of the agent whose clock was up to a minute ahead.
const fencedTokenStep = 60_000 << tokenShift

// tokenShift is the number of low bits for the tokens of one millisecond.
const tokenShift = 9

// FirstToken returns the first fencing token of an agent process that starts at
// unixMS, in Unix milliseconds.
func FirstToken(unixMS int64) uint64 { return uint64(unixMS) << tokenShift }

// applyPoll applies the runs and ends of a poll response. If another incarnation of
// the same id has answered, the present one has ended and the other is asked for.
// Responses older than the newest one and those of a silent incarnation are ignored.
// One that has not announced itself is unavailable, but its runs and ends count.
// applyPoll reports whether the response was applied.
func (c *Core) applyPoll(target runner.Target, response runner.PollResponse) bool {
	if response.StartedAtMS != 0 && response.StartedAtMS != c.host.StartedAtMS {
		c.laterIncarnationAnswered(response.StartedAtMS)
		return false
	}
	if response.ClockMS < c.polledMS {
		return false
	}
	c.polledMS, c.callFailed = response.ClockMS, false
	if response.ClockMS > c.lastLeaseMS() {
		c.stepIncarnation(evPollAnswered)
	}
	if c.silent() {
		return false // the next announcement makes the host available again
	}
	c.applyLists(target, response)
	if !c.polled {
		c.polled = true
		c.sendInventory()
	}
	c.throttle()
	c.report()
	return true
}

// maxPollAge is the age of the newest answer to a poll above which the agent does not
// report the runs any more, and takes them for ended when their leases have expired. A
// poll that is not answered fails earlier, and the next one may take the rest.
const maxPollAge = 1500 * time.Millisecond

// pollOutdated reports whether the newest answer to a poll is older than maxPollAge.
func (c *Core) pollOutdated() bool {
	return c.clock.lowerBound(c.now) > c.polledMS+maxPollAge.Milliseconds()
}

// lastLeaseMS returns the latest end of a lease that the backend server may have: of this
// process of the agent or of a former one.
func (c *Core) lastLeaseMS() int64 { return max(c.sentLeaseMS, c.formerLeaseMS) }

// leasesExpiredInSilence reports whether the runs have ended because no call that the
// backend server may have received extends their lease any more, and its lists do not
// show it. If it answers polls, the lists show which runs have ended, also after the
// last grant of an owner has expired.
func (c *Core) leasesExpiredInSilence() bool {
	return c.incarnation.state == incarnationPresent &&
		c.clock.lowerBound(c.now) > c.lastLeaseMS() && c.pollOutdated()
}

// returnFromSilence makes the host available again with the newest announcement. The
// answer to the poll shows what runs there, and the owner gets a new inventory.
func (c *Core) returnFromSilence() {
	a := *c.incarnation.returning
	c.incarnation.returning = nil
	c.polled = false
	c.discardInventory()
	c.setAnnounced(a)
	c.announce()
}

// applyLists applies the runs and ends that the present incarnation lists.
func (c *Core) applyLists(target runner.Target, response runner.PollResponse) {
	c.applyEnds(response.Ended)
	running := map[workload.RunID]bool{}
	for _, s := range response.Runs {
		running[s.Run] = true
		c.applyStatus(s)
	}
	complete := len(response.Ended) < maxEndsPerPoll
	for _, r := range c.sorted() {
		if complete && !running[r.id] && r.expectedIn(target, response) {
			r.step(evUnlisted)
		}
	}
}

// maxEndsPerPoll is the maximum number of ends in one poll response. A response
// with as many ends may be incomplete.
const maxEndsPerPoll = 500

// applyEnds records ends that have not been received before.
func (c *Core) applyEnds(ends []msg.RunEnd) {
	for _, e := range ends {
		if e.Number <= c.lastEnd {
			continue
		}
		c.lastEnd = e.Number
		c.unacknowledged = append(c.unacknowledged, e)
		if r, ok := c.runs[e.Run]; ok {
			r.end = e
			r.step(evEnded)
		} else {
			c.changed.Ended = append(c.changed.Ended, e)
		}
	}
}

// applyStatus records the status of a run. It adds a run that is unknown, which
// a former process of the agent started.
func (c *Core) applyStatus(s msg.RunStatus) {
	r, ok := c.runs[s.Run]
	if !ok {
		r = c.addRun(msg.RunSize{Run: s.Run})
		r.state, r.timeoutAt, r.cpuLimitPercent = runRunning, 0, unknownPercent
	}
	r.latest = s
	r.step(evListed)
}
