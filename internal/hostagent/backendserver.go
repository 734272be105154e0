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
	if c.outdated(a) || c.contradictsService(a.Host.Service) {
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

// serviceChangeTime is how long a backend server must have announced another service, and
// never its present one, until that is applied. It is longer than the interval of its
// announcements, so a few announcements of another sender change nothing.
const serviceChangeTime = 2 * time.Second

// contradictsService reports whether an announcement of the present incarnation with a
// service is not to be applied, because the incarnation has announced another one. Its
// runs would be stopped by it.
func (c *Core) contradictsService(s workload.Service) bool {
	i := &c.incarnation
	switch {
	case c.host.Service == "" || s == c.host.Service:
		i.otherService = ""
		return false
	case s != i.otherService:
		i.otherService, i.otherServiceAt = s, c.now
	}
	return c.now-i.otherServiceAt < serviceChangeTime
}

// setAnnounced sets the state of the host to an announcement.
func (c *Core) setAnnounced(a runner.Announcement) {
	c.announcement, c.announcedMS = a.Sequence, a.ClockMS
	c.host = a.Host
	c.incarnation.otherService = ""
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
