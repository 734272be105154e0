package hostagent

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Announced takes an announcement of the backend server. Late ones of former
// lives are ignored.
func (c *Core) Announced(a runner.Announcement) {
	same := a.Host.Instance == c.host.Instance && a.Host.StartedAtMS == c.host.StartedAtMS
	switch {
	case same && (a.Sequence <= c.sequence || c.ended):
		return
	case !same && c.host.Instance != "" && a.Host.StartedAtMS < c.host.StartedAtMS && !c.ended:
		return
	}
	before := c.host
	if !same {
		c.beginLife()
	} else if before.State == workload.HostUnavailable {
		c.listed, c.told, c.taken = false, false, false // it was silent, not dead
	}
	c.sequence = a.Sequence
	c.host = a.Host
	c.host.Name, c.host.DataCentre = c.cfg.Name, c.cfg.DataCentre
	c.clock.set(a.ClockMS, c.now)
	if !same {
		c.note(Decision{Kind: LifeBegan, Detail: string(c.host.Instance)})
	}
	if !same || before.State != c.host.State {
		c.announce()
	}
}

// Left says that the backend server has left.
func (c *Core) Left(id workload.Instance) {
	if id == c.host.Instance && !c.ended {
		c.ended = true
		c.endLife("it left")
	}
}

func (c *Core) announce() {
	c.sends = append(c.sends, Send{0, &msg.HostAnnounced{Host: c.host}})
}

// beginLife forgets the former life of the backend server.
func (c *Core) beginLife() {
	c.dropRuns()
	c.ended, c.listed, c.listedMS = false, false, 0
	c.sequence, c.endsSeen, c.cursor, c.ends = 0, 0, 0, nil
	c.clock, c.leaseEnd, c.leaseSent, c.refusals = clock{at: c.now}, 0, 0, 0
	c.changed = msg.RunsChanged{}
	c.told, c.taken = false, false
}

// endLife announces that nothing runs any more.
func (c *Core) endLife(why string) {
	c.note(Decision{Kind: LifeEnded, Detail: why})
	c.dropRuns()
	c.host.State = workload.HostUnavailable
	c.announce()
	c.told, c.taken = false, false
	c.tell()
}

func (c *Core) dropRuns() {
	for _, r := range c.sorted() {
		r.step(evGone)
	}
}

// Live reports whether the backend server can be called.
func (c *Core) Live() bool { return c.host.Instance != "" && !c.ended }

// leaseMS returns the lease that a call may carry, or 0.
func (c *Core) leaseMS() int64 {
	now := c.clock.least(c.now)
	end := min(c.leaseEnd, now+c.cfg.RunLease.Milliseconds())
	if end <= now {
		return 0
	}
	c.leaseSent = max(c.leaseSent, end)
	return end
}

// Watch is the next call of the loop that watches the backend server.
type Watch struct {
	Target      runner.Target
	Hold        runner.PollRequest
	StartedAtMS int64
	Pause       time.Duration // before the call
}

// Watch returns the next call of the loop that watches the backend server. A
// backend server answers at once while it lists ends that are not taken, so
// the calls are spaced until the owner has stored them.
func (c *Core) Watch() Watch {
	w := Watch{Target: c.target(), Hold: runner.PollRequest{Acknowledged: c.cursor, LeaseMS: c.leaseMS(), Wait: holdWait}, StartedAtMS: c.host.StartedAtMS}
	if len(c.ends) > 0 {
		w.Pause = untakenPause
	}
	return w
}

// untakenPause bounds how long an end goes unnoticed while others wait to be
// stored.
const untakenPause = 50 * time.Millisecond

// HoldAnswered takes the answer to Watch.
func (c *Core) HoldAnswered(t runner.Target, born int64, l runner.PollResponse, err error) {
	c.answered(born, l.ClockMS, err)
	if err == nil && born == c.host.StartedAtMS && !c.ended {
		c.list(t, l)
	}
}

// refusedConnections is how many refused connections show that the backend
// server's process has ended.
const refusedConnections = 2

// answered takes what every answer tells.
func (c *Core) answered(born, clockMS int64, err error) {
	if born != c.host.StartedAtMS || c.ended {
		return
	}
	if clockMS > 0 {
		c.clock.set(clockMS, c.now)
	}
	switch {
	case err == nil:
		c.refusals = 0
	case errors.Is(err, runner.ErrOtherIncarnation):
		c.ended = true
		c.endLife("another life answered")
	case errors.Is(err, runner.ErrFenced):
		c.token += fencedStep
	case errors.Is(err, runner.ErrNotListening):
		if c.refusals++; c.refusals >= refusedConnections {
			c.ended = true
			c.endLife("its process has ended")
		}
	}
}

// fencedStep raises the token above one that a process of this host took from
// a clock that was ahead.
const fencedStep = 60_000 << tokenShift

// tokenShift leaves room for the tokens of one millisecond.
const tokenShift = 9

// FirstToken returns the first fencing token of a process that starts at a
// time in Unix milliseconds.
func FirstToken(unixMS int64) uint64 { return uint64(unixMS) << tokenShift }

// list takes a listing of what runs and what has ended.
func (c *Core) list(t runner.Target, l runner.PollResponse) {
	if l.StartedAtMS != 0 && l.StartedAtMS != c.host.StartedAtMS || l.ClockMS < c.listedMS {
		return
	}
	c.listedMS = l.ClockMS
	if c.host.State == workload.HostUnavailable {
		return // the next announcement brings it back
	}
	c.takeEnds(l.Ended)
	running := map[workload.RunID]bool{}
	for _, s := range l.Runs {
		running[s.Run] = true
		c.takeRun(s)
	}
	complete := len(l.Ended) < maxEnds
	for _, r := range c.sorted() {
		if complete && !running[r.id] && r.visibleTo(t, l) {
			r.step(evUnlisted)
		}
	}
	if !c.listed {
		c.listed = true
		c.tell()
	}
	c.pace()
	c.report()
}

// maxEnds is how many ends one listing holds at most.
const maxEnds = 500

func (c *Core) takeEnds(ends []msg.RunEnd) {
	for _, e := range ends {
		if e.Number <= c.endsSeen {
			continue
		}
		c.endsSeen = e.Number
		c.ends = append(c.ends, e)
		if r, ok := c.runs[e.Run]; ok {
			r.end = e
			r.step(evEnded)
		} else {
			c.changed.Ended = append(c.changed.Ended, e)
		}
	}
}

func (c *Core) takeRun(s msg.RunStatus) {
	r, ok := c.runs[s.Run]
	if !ok {
		r = c.hold(msg.RunSize{Run: s.Run})
		r.state, r.pace = heldRunning, unknownPace
	}
	r.latest = s
	r.step(evListed)
}
