package jobdaemon

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/runner"
)

// call makes a call of the agent.
func (h *siteHost) call(c hostagent.Call) {
	s, agent := h.site, h.agent
	answer := func(a hostagent.Answer) {
		if h.agent != agent {
			return
		}
		h.agent.Advance(s.now)
		h.agent.Answered(a)
		h.collect()
	}
	s.after(s.randomDelay(siteCallDelay), func() {
		h.exchange(c.Target, func(p *siteProcess) (runner.PollResponse, error) { return p.execute(c) }, func(r runner.PollResponse, err error) {
			answer(hostagent.Answer{Call: c, ClockMS: r.ClockMS, Response: r, Err: err})
		})
	})
}

// poll makes the next poll unless one is in flight.
func (h *siteHost) poll(pause time.Duration) {
	if h.polling || !h.agent.CanCall() {
		return
	}
	s := h.site
	h.polling = true
	p := h.agent.NextPoll()
	agent := h.agent
	s.after(max(pause, p.Pause)+s.randomDelay(siteCallDelay), func() {
		if h.agent != agent {
			return
		}
		if h.process != nil && p.Target.Instance == h.instance && h.process.admit(p.Target.Token, p.Request.LeaseMS) == nil {
			h.process.forget(p.Request.Acknowledged)
		}
		h.waitPoll(p, s.now+p.Request.Wait, h.process)
	})
}

// waitPoll answers a poll of a process when there is an end or the wait is over.
func (h *siteHost) waitPoll(p hostagent.Poll, until time.Duration, process *siteProcess) {
	s, agent := h.site, h.agent
	if process != nil && h.process == process && p.Target.Instance == h.instance && len(process.ends) == 0 && s.now < until {
		s.after(siteTick, func() { h.waitPoll(p, until, process) })
		return
	}
	answered := func(r runner.PollResponse, err error) {
		if h.agent != agent {
			return
		}
		h.polling = false
		h.agent.Advance(s.now)
		h.agent.PollAnswered(p, r, err)
		if err != nil {
			h.poll(pollRetryInterval)
		}
		h.collect()
	}
	if h.process != process {
		answered(runner.PollResponse{}, runner.ErrOutcomeUnknown)
		return
	}
	request := p.Request
	request.Acknowledged = 0 // it was applied when the poll arrived
	h.exchange(p.Target, func(q *siteProcess) (runner.PollResponse, error) { return q.list(p.Target.Token, request) }, answered)
}

// exchange lets the process at the address execute a request, and passes on its
// answer, unless that is lost.
func (h *siteHost) exchange(target runner.Target, execute func(*siteProcess) (runner.PollResponse, error), answered func(runner.PollResponse, error)) {
	s, p := h.site, h.process
	fail := func(err error) { answered(runner.PollResponse{}, err) }
	lose := func() { s.after(siteLostAnswer, func() { fail(runner.ErrOutcomeUnknown) }) }
	switch chance := s.random.Float64(); {
	case p == nil:
		fail(runner.ErrNotListening)
		return
	case target.Instance != h.instance:
		fail(runner.ErrOtherIncarnation)
		return
	case chance < s.late:
		s.after(s.randomDelay(siteLateExecution), func() {
			if h.process == p {
				_, _ = execute(p)
			}
		})
		lose()
		return
	case chance < s.late+s.lost:
		_, _ = execute(p)
		lose()
		return
	}
	r, err := execute(p)
	s.after(s.randomDelay(siteCallDelay), func() {
		if h.process != p {
			fail(runner.ErrOutcomeUnknown)
			return
		}
		answered(r, err)
	})
}
