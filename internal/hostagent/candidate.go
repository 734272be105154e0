package hostagent

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Events of charts/candidate.scxml, in the order of CandidateBinding.
const (
	evCandidateAnnounced chart.Event = iota
	evCandidateConfirmed
	evCandidateDenied
	evCandidateTimeout
)

// candidateTimeout is how long an announcement that nobody confirms is asked for.
// It is longer than three heartbeat intervals.
const candidateTimeout = 5 * time.Second

// maxCandidates bounds the candidates. Announcements beyond it are dropped; a backend
// server repeats its own.
const maxCandidates = 4

var candidateChart *chart.Machine[candidate]

func init() { candidateChart = chart.MustCompile(charts.Files, CandidateBinding()) }

// CandidateBinding binds charts/candidate.scxml.
func CandidateBinding() chart.Binding[candidate] {
	return chart.Binding[candidate]{
		Chart:   "candidate",
		States:  []string{"asking", "over"},
		Events:  []string{"announced", "confirmed", "denied", "late"},
		Actions: map[string]func(*candidate){"dismiss": (*candidate).dismiss},
		Delays:  map[string]time.Duration{"candidateTimeout": candidateTimeout},
	}
}

// candidate is an incarnation that may live at the address of the backend server.
type candidate struct {
	core         *Core
	state        chart.State
	timeoutAt    time.Duration // when the state's timeout expires; 0: none
	announcement runner.Announcement
	refusals     int // consecutive refused connections
}

// step applies an event and removes a candidate that has been decided.
func (k *candidate) step(e chart.Event) {
	candidateChart.Step(k, &k.state, e)
	if d, _, ok := candidateChart.Timeout(k.state); ok {
		k.timeoutAt = k.core.now + d
	}
	if candidateChart.Final(k.state) {
		k.core.candidates = slices.DeleteFunc(k.core.candidates, func(other *candidate) bool { return other == k })
	}
}

// dismiss records that the candidate was not found at the address of the backend
// server.
func (k *candidate) dismiss() {
	k.core.addDecision(Decision{Kind: AnnouncementDenied, Detail: string(k.announcement.Host.Instance)})
}

// candidate returns the candidate of an incarnation, or nil.
func (c *Core) candidate(h workload.Host) *candidate {
	for _, k := range c.candidates {
		if sameIncarnation(k.announcement.Host, h) {
			return k
		}
	}
	return nil
}

// ask makes a later poll ask whether the announced incarnation lives at the address
// of the backend server. The poll has a higher token than any call before it, so its
// answer lists every start that a later incarnation of the same id has carried out
// and will carry out.
func (c *Core) ask(a runner.Announcement) {
	k := c.candidate(a.Host)
	switch {
	case k == nil && len(c.candidates) >= maxCandidates && !c.makeRoom(a):
		return
	case k == nil:
		k = &candidate{core: c, state: candidateChart.Initial()}
		c.candidates = append(c.candidates, k)
	}
	k.announcement = a
	if a.Host.Instance == c.host.Instance {
		c.token++ // calls to another id are rejected anyway
	}
	k.step(evCandidateAnnounced)
}

// makeRoom drops a candidate for an announcement with the id of the present
// incarnation, and reports whether it did.
func (c *Core) makeRoom(a runner.Announcement) bool {
	if a.Host.Instance != c.host.Instance {
		return false
	}
	c.candidates = slices.Delete(c.candidates, 0, 1)
	return true
}

// askWhoAnswers asks for the incarnation with the id of the present one that has
// answered a call, before it has announced itself. startedAtMS is 0 if it is not
// known. Until the announcement the host counts as unavailable.
func (c *Core) askWhoAnswers(startedAtMS int64) {
	host := c.host
	host.StartedAtMS, host.State = startedAtMS, workload.HostUnavailable
	if c.candidate(host) == nil {
		c.ask(runner.Announcement{Host: host})
	}
}

// askingSameID reports whether another incarnation with the id of the present one
// may have started.
func (c *Core) askingSameID() bool {
	return slices.ContainsFunc(c.candidates, func(k *candidate) bool { return k.announcement.Host.Instance == c.host.Instance })
}

// confirmingPoll returns the poll that asks for the first candidate. It changes
// nothing at the backend server but its token.
func (c *Core) confirmingPoll() Poll {
	a := c.candidates[0].announcement
	return Poll{Target: runner.Target{Instance: a.Host.Instance, Token: c.token}, StartedAtMS: a.Host.StartedAtMS, Candidate: &a, Timeout: slowAnswerTime}
}

// candidateAnswered applies the answer to a confirming poll.
func (c *Core) candidateAnswered(poll Poll, response runner.PollResponse, err error) {
	asked := *poll.Candidate
	c.askPresentNext = err != nil && !errors.Is(err, runner.ErrNotListening)
	k := c.candidate(asked.Host)
	if k != nil {
		asked = k.announcement // the newest
	}
	switch {
	case err == nil && confirms(asked, response):
		c.candidateConfirmed(asked, poll.Target.Token, response)
	case err == nil:
		c.otherAnswered(asked, response.StartedAtMS)
	case errors.Is(err, runner.ErrOtherIncarnation):
		c.denyID(asked, k)
	case errors.Is(err, runner.ErrFenced):
		c.token += fencedTokenStep
	case errors.Is(err, runner.ErrNotListening) && k != nil:
		if k.refusals++; k.refusals >= maxConnectionRefusals {
			c.denyID(asked, k)
		}
	}
	c.rotateCandidates()
}

// rotateCandidates makes the next candidate the one that is asked for.
func (c *Core) rotateCandidates() {
	if n := len(c.candidates); n > 1 {
		c.candidates = append(c.candidates[1:n:n], c.candidates[0])
	}
}

// confirms reports whether the response comes from the incarnation that was asked
// for. A start time of 0 is not known.
func confirms(asked runner.Announcement, response runner.PollResponse) bool {
	started := asked.Host.StartedAtMS
	return started == response.StartedAtMS || started == 0 && asked.Host.State == workload.HostUnavailable || response.StartedAtMS == 0
}

func (c *Core) candidateConfirmed(asked runner.Announcement, token uint64, response runner.PollResponse) {
	if k := c.candidate(asked.Host); k != nil {
		k.step(evCandidateConfirmed)
	}
	if response.StartedAtMS != 0 {
		asked.Host.StartedAtMS = response.StartedAtMS
	}
	if c.present() && sameIncarnation(asked.Host, c.host) {
		return // it has begun already
	}
	c.incarnation.confirmed = confirmation{announcement: asked, token: token, response: response}
	c.stepIncarnation(evBegin)
	c.incarnation.confirmed = confirmation{}
}

// otherAnswered applies an answer of another incarnation than the one that was asked
// for. If it has the id of the present one and is not it, the present one has ended.
func (c *Core) otherAnswered(asked runner.Announcement, startedAtMS int64) {
	if asked.Host.Instance == c.host.Instance && !(c.present() && startedAtMS == c.host.StartedAtMS) {
		c.laterIncarnationAnswered(startedAtMS)
	}
	c.deny(c.candidate(asked.Host))
}

// laterIncarnationAnswered ends the present incarnation, if it has not ended yet, and
// asks for the one with the same id that has answered.
func (c *Core) laterIncarnationAnswered(startedAtMS int64) {
	c.askWhoAnswers(startedAtMS)
	if c.present() {
		c.processEnded("a later incarnation with its id answered", true)
	}
	c.incarnation.laterMayRun = true
}

// denyID drops a candidate, which may be nil, after the answer has shown that no
// incarnation of its id lives at the address.
func (c *Core) denyID(asked runner.Announcement, k *candidate) {
	if asked.Host.Instance == c.host.Instance {
		c.incarnation.laterMayRun = false
	}
	c.deny(k)
}

// deny drops a candidate, which may be nil.
func (c *Core) deny(k *candidate) {
	if k != nil {
		k.step(evCandidateDenied)
	}
	c.checkSettled()
}

// expireCandidates drops the candidates that nobody has confirmed in time.
func (c *Core) expireCandidates() {
	for _, k := range slices.Clone(c.candidates) {
		if c.now >= k.timeoutAt {
			k.step(evCandidateTimeout)
		}
	}
}
