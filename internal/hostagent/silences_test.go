package hostagent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// answerMode is how a backend server treats the calls of a time.
type answerMode int

const (
	modeAnswer  answerMode = iota
	modeSlow               // it answers after a delay
	modeLost               // it carries them out and does not answer
	modeLate               // it carries them out 2 to 12 s later and does not answer
	modeHang               // it does nothing; calls are carried out when the time is over
	modeDead               // they do not arrive
	modeRefuse             // it answers with an error
	modeNoPolls            // it leaves polls unanswered and answers other calls
)

// answerModes and modeTimes are sampled, since rapid prefers small numbers: the first
// lease has to be extended before a silence. modeAnswer is the likeliest.
var (
	answerModes = []answerMode{modeAnswer, modeAnswer, modeAnswer, modeSlow, modeLost, modeLate, modeHang, modeDead, modeRefuse, modeNoPolls}
	modeTimes   = []time.Duration{
		50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 4500 * time.Millisecond, 6 * time.Second, 8 * time.Second,
	}
)

// silences is a backend server with one run that passes through times of different
// modes, and the owner of its agent.
type silences struct {
	*harness
	rt         *rapid.T
	rate       float64 // of its clock
	jumpedMS   int64   // by which its clock ran ahead during suspensions of the agent
	mode       answerMode
	delay      time.Duration // of answers in modeSlow
	grants     bool          // the owner answers
	leaseMS    int64
	runs       bool
	due        []dueEvent
	hung       []func()
	polling    bool
	answeredAt time.Duration // when the newest answer to a poll was received
	started    int           // further runs that were ordered
}

// dueEvent is something that happens at a time.
type dueEvent struct {
	at time.Duration
	do func()
}

func (s *silences) after(d time.Duration, do func()) { s.due = append(s.due, dueEvent{s.now + d, do}) }

func (s *silences) serverMS() int64 {
	return 1000 + int64(float64(s.now.Milliseconds())*s.rate) + s.jumpedMS
}

// execute applies the lease of a call and lets the run end if it has expired before.
func (s *silences) execute(leaseMS int64) {
	s.runs = s.runs && s.serverMS() < s.leaseMS
	s.leaseMS = max(s.leaseMS, min(leaseMS, s.serverMS()+6000))
}

// call carries out a call by the present mode. answer is called if it is answered.
func (s *silences) call(isPoll bool, leaseMS int64, answer func(err error)) {
	switch mode := s.mode; {
	case mode == modeAnswer, mode == modeNoPolls && !isPoll:
		s.execute(leaseMS)
		answer(nil)
	case mode == modeSlow:
		s.after(s.delay, func() { s.execute(leaseMS); answer(nil) })
	case mode == modeLost:
		s.execute(leaseMS)
	case mode == modeLate:
		s.after(rapid.SampledFrom([]time.Duration{2 * time.Second, 4 * time.Second, 5 * time.Second, 8 * time.Second, 12 * time.Second}).Draw(s.rt, "late"), func() { s.execute(leaseMS) })
	case mode == modeHang:
		s.hung = append(s.hung, func() { s.execute(leaseMS) })
	case mode == modeRefuse:
		answer(runner.ErrUnavailable)
	}
}

// poll makes the next poll unless one is in flight.
func (s *silences) poll() {
	if s.polling || !s.core.CanCall() {
		return
	}
	s.polling = true
	p := s.core.NextPoll()
	done := false
	finish := func(r runner.PollResponse, err error) {
		if done {
			return // it has timed out
		}
		done = true
		if err == nil {
			s.answeredAt = s.now
		}
		s.core.PollAnswered(p, r, err)
		pause := time.Duration(0)
		if err != nil {
			pause = 100 * time.Millisecond
		}
		s.after(pause, func() { s.polling = false })
	}
	s.after(p.Pause, func() {
		s.call(true, p.Request.LeaseMS, func(err error) {
			if err != nil {
				finish(runner.PollResponse{}, err)
				return
			}
			s.after(p.Request.Wait, func() {
				if s.mode == modeDead || s.mode == modeHang || s.mode == modeNoPolls {
					return
				}
				r := runner.PollResponse{ClockMS: s.serverMS(), StartedAtMS: 1}
				if s.execute(0); s.runs {
					r.Runs = []msg.RunStatus{{Run: runID(0)}}
				} else {
					r.Ended = []msg.RunEnd{{Number: 1, Run: runID(0)}}
				}
				finish(r, nil)
			})
		})
		s.after(p.Timeout, func() { finish(runner.PollResponse{}, runner.ErrOutcomeUnknown) })
	})
}

// makeCalls carries out the calls that the core has made beside its poll.
func (s *silences) makeCalls() {
	calls := s.calls
	s.calls = nil
	for _, c := range calls {
		answered := false
		finish := func(clockMS int64, r runner.PollResponse, err error) {
			if !answered {
				answered = true
				s.core.Answered(Answer{Call: c, ClockMS: clockMS, Response: r, Err: err})
			}
		}
		leaseMS := int64(0)
		if c.Start != nil {
			leaseMS = c.Start.LeaseMS
		}
		if c.Poll == nil {
			s.call(false, leaseMS, func(err error) {
				switch {
				case c.Start != nil && err == nil:
					err = runner.ErrNoCapacity // which extends the lease too
				case c.Stop != nil && err == nil && *c.Stop == runID(0):
					s.runs = false
				}
				finish(s.serverMS(), runner.PollResponse{}, err)
			})
		}
		s.after(500*time.Millisecond, func() { finish(0, runner.PollResponse{}, runner.ErrOutcomeUnknown) })
	}
}

// step advances the time by 50 ms.
func (s *silences) step() {
	s.advance(50 * time.Millisecond)
	due := s.due
	s.due = nil
	for _, e := range due {
		if e.at > s.now {
			s.due = append(s.due, e)
			continue
		}
		e.do()
	}
	s.collect()
	if s.grants {
		s.grant()
	}
	s.makeCalls()
	s.poll()
	s.execute(0)
	if s.runs && len(s.core.runs) == 0 {
		s.rt.Fatalf("at %v the run was given up, and its lease goes on for %d ms", s.now, s.leaseMS-s.serverMS())
	}
	if silent := s.now - s.answeredAt; silent > maxGiveUp && len(s.core.runs) > 0 {
		s.rt.Fatalf("at %v, %v after the newest answer to a poll, %d runs are kept", s.now, silent, len(s.core.runs))
	}
}

// pass lets the backend server be in a mode for a time.
func (s *silences) pass(mode answerMode, d time.Duration) {
	for _, do := range s.hung {
		do()
	}
	s.hung, s.mode = nil, mode
	for end := s.now + d; s.now < end; {
		s.step()
		if rapid.IntRange(0, 19).Draw(s.rt, "start") == 0 {
			s.started++
			s.start(ownerLink, 1, s.started, 1)
		}
		if s.now%announcementInterval == 0 && mode != modeDead && mode != modeHang {
			s.announce(1, workload.HostReady, uint64(s.serverMS()))
		}
	}
}

// Guards against a run that is given up while its backend server may keep it, and against
// one that is kept for ever after its backend server has answered a poll for the last
// time: the random times in which it is slow, hangs, loses answers or carries calls out
// late, and the host is suspended.
func TestRunsAreGivenUpWhenTheirLeaseCertainlyHasExpired(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := running(t)
		s := &silences{harness: h, rt: rt, rate: rapid.Float64Range(0.98, 1).Draw(rt, "rate"), runs: true, leaseMS: h.core.sentLeaseMS, grants: true}
		for i := range rapid.SampledFrom([]int{0, 1, 2, 4, 6, 8}).Draw(rt, "times") {
			s.delay = rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 500 * time.Millisecond, time.Second, 1400 * time.Millisecond}).Draw(rt, "delay")
			s.grants = rapid.IntRange(0, 5).Draw(rt, "grants") > 0
			if rapid.IntRange(0, 9).Draw(rt, "suspended") == 0 {
				d := rapid.SampledFrom(modeTimes[1:]).Draw(rt, "suspension")
				if rapid.Bool().Draw(rt, "counted") {
					s.jumpedMS += int64(float64(d.Milliseconds()) * s.rate)
				}
				s.core.Suspended(d)
			}
			mode := rapid.SampledFrom(answerModes).Draw(rt, fmt.Sprintf("mode %d", i))
			s.pass(mode, rapid.SampledFrom(modeTimes).Draw(rt, "time"))
		}
		s.grants = true
		s.pass(rapid.SampledFrom([]answerMode{modeLost, modeLate, modeHang, modeDead, modeRefuse, modeNoPolls}).Draw(rt, "last mode"), 12*time.Second)
	})
}
