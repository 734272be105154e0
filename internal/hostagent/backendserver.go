package hostagent

import (
	"slices"

	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Announced applies an announcement of the backend server. Older announcements
// of the same incarnation are ignored, and so are those of a former incarnation
// unless the present one has ended.
func (c *Core) Announced(a runner.Announcement) {
	same := a.Host.Instance == c.host.Instance && a.Host.StartedAtMS == c.host.StartedAtMS
	switch {
	case same && (a.Sequence <= c.announcement || c.ended):
		return
	case !same && c.host.Instance != "" && a.Host.StartedAtMS < c.host.StartedAtMS && !c.ended:
		return
	}
	before := c.host
	if !same {
		c.startIncarnation()
	} else if before.State == workload.HostUnavailable {
		// The same incarnation was silent. Its runs may have changed, so the
		// inventory is sent again after the next poll.
		c.polled, c.inventorySent, c.inventoryAccepted = false, false, false
	}
	c.announcement = a.Sequence
	c.host = a.Host
	c.host.Name, c.host.DataCentre = c.cfg.Name, c.cfg.DataCentre
	c.clock.set(a.ClockMS, c.now)
	if !same {
		c.addDecision(Decision{Kind: IncarnationStarted, Detail: string(c.host.Instance)})
	}
	if !same || changesPlacement(before, c.host) {
		c.announce()
	}
}

// changesPlacement reports whether two states of a host differ in what the owner
// places tasks by.
func changesPlacement(a, b workload.Host) bool {
	return a.State != b.State || a.Capacity != b.Capacity || a.Service != b.Service || !slices.Equal(a.Labels, b.Labels)
}

// Deregistered ends the incarnation of a backend server that deregistered.
func (c *Core) Deregistered(id workload.Instance) {
	if id == c.host.Instance && !c.ended {
		c.ended = true
		c.endIncarnation("backend server deregistered")
	}
}

// announce sends the state of the host to all entries.
func (c *Core) announce() {
	c.sends = append(c.sends, Send{0, &msg.HostAnnounced{Host: c.host}})
}

// startIncarnation discards the state of the former incarnation of the backend
// server.
func (c *Core) startIncarnation() {
	c.removeRuns()
	c.ended, c.polled, c.polledMS, c.pollIgnored = false, false, 0, false
	c.announcement, c.lastEnd, c.acknowledged, c.unacknowledged = 0, 0, 0, nil
	c.clock, c.leaseEndMS, c.sentLeaseMS, c.connectionRefusals = clock{receivedAt: c.now}, 0, 0, 0
	c.changed = msg.RunsChanged{}
	c.inventorySent, c.inventoryAccepted = false, false
}

// crashIncarnation ends an incarnation whose process has ended. Unless it was
// draining, it has crashed.
func (c *Core) crashIncarnation(reason string) {
	c.host.Crashed = c.host.State == workload.HostReady
	c.endIncarnation(reason)
}

// endIncarnation removes all runs, announces the host as unavailable, and sends
// the owner a new inventory. The caller sets c.ended before, unless the same
// incarnation may announce itself again.
func (c *Core) endIncarnation(reason string) {
	c.addDecision(Decision{Kind: IncarnationEnded, Detail: reason})
	c.flushChanges() // the owner has to know which runs had started before the end
	c.removeRuns()
	c.host.State = workload.HostUnavailable
	c.announce()
	c.inventorySent, c.inventoryAccepted = false, false
	c.sendInventory()
}

func (c *Core) removeRuns() {
	for _, r := range c.sorted() {
		r.step(evIncarnationEnded)
	}
}

// CanCall reports whether an incarnation of the backend server is known that
// has not ended.
func (c *Core) CanCall() bool { return c.host.Instance != "" && !c.ended }

// leaseMS returns the end of the lease for a call, in milliseconds of the backend
// server's clock, or 0 if the owner's lease has expired. It records the end in
// sentLeaseMS.
func (c *Core) leaseMS() int64 {
	now := c.clock.lowerBound(c.now)
	end := min(c.leaseEndMS, now+c.cfg.RunLease.Milliseconds())
	if end <= now {
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
}

// NextPoll returns the next poll of the backend server. A backend server
// answers at once while it has unacknowledged ends, so the polls are spaced by
// unacknowledgedPause until the owner has stored the ends, and while the agent
// ignores the answers, which may contain ends.
func (c *Core) NextPoll() Poll {
	poll := Poll{Target: c.target(), Request: runner.PollRequest{Acknowledged: c.acknowledged, LeaseMS: c.leaseMS(), Wait: pollWait}, StartedAtMS: c.host.StartedAtMS}
	if len(c.unacknowledged) > 0 || c.pollIgnored {
		poll.Pause = unacknowledgedPause
	}
	return poll
}

// unacknowledgedPause bounds the delay until a new end is noticed while former
// ends wait to be stored.
const unacknowledgedPause = 50 * time.Millisecond

// PollAnswered applies the answer to a poll that NextPoll returned.
func (c *Core) PollAnswered(target runner.Target, startedAtMS int64, response runner.PollResponse, err error) {
	if startedAtMS != c.host.StartedAtMS || c.ended {
		return
	}
	c.answered(response.ClockMS, err)
	if err == nil {
		c.pollIgnored = !c.applyPoll(target, response)
	}
	c.checkCrash(err)
}

// maxConnectionRefusals is the number of consecutive refused connections after
// which the process of the backend server counts as ended.
const maxConnectionRefusals = 2

// answered applies the clock of an answer to any call, and raises the token if the
// call was fenced.
func (c *Core) answered(clockMS int64, err error) {
	if clockMS > 0 {
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
		c.ended = true
		c.crashIncarnation("another incarnation answered")
	case errors.Is(err, runner.ErrNotListening):
		if c.connectionRefusals++; c.connectionRefusals >= maxConnectionRefusals {
			c.ended = true
			c.crashIncarnation("backend server refuses connections")
		}
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

// applyPoll applies the runs and ends of a poll response. Responses of another
// incarnation, or older than the newest one, and those of an unavailable host
// are ignored; applyPoll then reports false.
func (c *Core) applyPoll(target runner.Target, response runner.PollResponse) bool {
	if response.StartedAtMS != 0 && response.StartedAtMS != c.host.StartedAtMS || response.ClockMS < c.polledMS {
		return false
	}
	c.polledMS = response.ClockMS
	if c.host.State == workload.HostUnavailable {
		return false // only an announcement makes the host available again
	}
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
	if !c.polled {
		c.polled = true
		c.sendInventory()
	}
	c.throttle()
	c.report()
	return true
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
		r.state, r.cpuLimitPercent = runRunning, unknownPercent
	}
	r.latest = s
	r.step(evListed)
}
