package agent

import (
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// backend is the state of the host's backend server.
type backend struct {
	Announce
	state         chart.State
	rearm         bool // set by a step: restart the time-out of the state
	open          bool // credits may be granted
	refuseWaiting bool // set by a step: refuse the waiting requests
}

// stepBackend steps the chart, sets the time-out of the state and reports a
// changed state to the entries.
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

// announce records an announcement. A new instance name means that the backend
// server has restarted.
func (s *slots) announce(m Announce) {
	event := beAnnounce
	if s.backend.Instance != "" && m.Instance != s.backend.Instance {
		event = beReplaced
	}
	s.backend.Announce = m
	s.resize(2 * m.Slots) // the look-ahead is at most the number of slots
	s.stepBackend(event)
}

// refuseWaiting refuses the requests that wait for a slot.
func (s *slots) refuseWaiting() {
	for len(s.waiting) > 0 {
		rec := s.waiting[0]
		rec.refusal = msg.RefusedDraining
		s.stepExchange(rec, exWithdraw)
	}
}

func (s *slots) reportBackend() {
	for _, e := range s.entries {
		s.sendBackend(e)
	}
}

// sendBackend sends the state of the backend server to an entry. It sends nothing
// before the first announcement.
func (s *slots) sendBackend(e *linkedEntry) {
	if s.backend.Backend == "" {
		return
	}
	e.out.TrySend(&msg.BackendState{
		Backend: s.backend.Backend, Service: s.backend.Service, State: backendChart.StateName(s.backend.state),
		Slots: s.backend.Slots, Connections: s.backend.Connections,
	})
}
