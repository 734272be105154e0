package agent

import (
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// backend is the backend server of the host.
type backend struct {
	Announce
	state         chart.State
	rearm         bool // the state's timeout starts again
	open          bool // credits may be lent
	refuseWaiting bool
}

func (s *slots) stepBackend(e chart.Event) {
	b, before := &s.backend, s.backend.state
	b.rearm, b.refuseWaiting = false, false
	if !backendChart.Step(b, &b.state, e) {
		return
	}
	if b.rearm || b.state != before {
		s.timers.Clear(timerKey{kind: timerBackend})
		if d, _, ok := backendChart.Timeout(b.state); ok {
			s.timers.Set(timerKey{kind: timerBackend}, s.now.Add(d))
		}
	}
	if b.refuseWaiting {
		s.refuseWaiting()
	}
	if b.state != before {
		s.reportBackend()
	}
}

func (s *slots) announce(m Announce) {
	event := beAnnounce
	if s.backend.Instance != "" && m.Instance != s.backend.Instance {
		event = beReplaced
	}
	s.backend.Announce = m
	s.resize(2 * m.Slots) // the look-ahead is at most the slots
	s.stepBackend(event)
}

func (s *slots) refuseWaiting() {
	for len(s.waiting) > 0 {
		rec := s.waiting[0]
		rec.refusal = msg.RefusedDraining
		s.stepWaiting(rec, exWithdraw)
	}
}

func (s *slots) reportBackend() {
	for _, b := range s.borrowers {
		s.sendBackend(b)
	}
}

func (s *slots) sendBackend(b *borrower) {
	if s.backend.Backend == "" {
		return
	}
	b.out.TrySend(&msg.BackendState{
		Backend: s.backend.Backend, Service: s.backend.Service, State: backendChart.StateName(s.backend.state),
		Slots: s.backend.Slots, Connections: s.backend.Connections,
	})
}
