package hostagent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

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
	c.polledMS, c.polledAt, c.callFailed = response.ClockMS, c.now, false
	if response.ClockMS > c.lastLeaseMS() {
		c.stepIncarnation(evPollAnswered)
	}
	if c.silent() {
		return false // the next announcement makes the host available again
	}
	listedBefore := c.allListed
	c.applyLists(target, response)
	if c.allListed && !listedBefore {
		c.discardInventory() // it said that more ends follow
	}
	c.polled = true
	c.sendInventory()
	c.throttle()
	c.report()
	return true
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
	c.allListed = c.allListed || complete
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
		e.Checkpoint = usableCheckpoint(e.Checkpoint)
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
	s.Checkpoint = usableCheckpoint(s.Checkpoint)
	r.latest = s
	r.step(evListed)
}

// maxCheckpointBytes bounds a checkpoint, which is part of reports and starts.
const maxCheckpointBytes = 32 << 10

// usableCheckpoint returns a checkpoint, or "" if it is too long: the next run of the task
// resumes from an earlier one.
func usableCheckpoint(checkpoint string) string {
	if len(checkpoint) > maxCheckpointBytes {
		return ""
	}
	return checkpoint
}
