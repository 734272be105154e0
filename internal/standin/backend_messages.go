package standin

import (
	"slices"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
)

type backendReply[T any] = actor.Reply[answer[T]]

// verdict tells a request's handler how to treat the request.
type verdict struct {
	id      uint64
	refused bool // no slot is free
	fault   Fault
	delayMs int64
}

// admission is a request that runs or waits for a slot.
type admission struct {
	verdict
	record int // index in the log, or -1
	timer  uint64
	reply  backendReply[verdict]
}

// beginMsg asks for a slot.
type beginMsg struct {
	record RequestRecord
	fault  Fault // that the request asks for
	reply  backendReply[verdict]
}

func (m beginMsg) handle(s *backendState) {
	s.counts.Requests++
	if s.state == backendDrained {
		s.counts.AfterDrain++
	}
	s.lastID++
	a := &admission{verdict: verdict{id: s.lastID, fault: s.fault(m.fault), delayMs: s.control.DelayMs}, record: -1, reply: m.reply}
	if len(s.records) < maxRecords {
		a.record = len(s.records)
		m.record.Started = s.clock.now()
		s.records = append(s.records, m.record)
	}
	if len(s.running) < s.Slots {
		s.start(a)
		return
	}
	s.waiting = append(s.waiting, a)
	a.timer = s.later.after(cancelGrace, func() { s.refuse(a) })
}

// fault is what the request asks for, else what the control set.
func (s *backendState) fault(asked Fault) Fault {
	if asked != "" || s.control.Fault == "" || s.control.Count == 0 {
		return asked
	}
	if s.control.Count > 0 {
		s.control.Count--
	}
	return s.control.Fault
}

func (s *backendState) start(a *admission) {
	if a.record >= 0 {
		s.records[a.record].Started = s.clock.now()
	}
	s.running[a.id] = a
	s.counts.MaxRunning = max(s.counts.MaxRunning, len(s.running))
	a.reply.Put(answer[verdict]{value: a.verdict})
}

func (s *backendState) refuse(a *admission) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *admission) bool { return o == a })
	s.counts.SlotViolations++
	a.refused = true
	s.end(a, "refused")
	a.reply.Put(answer[verdict]{value: a.verdict})
}

func (s *backendState) end(a *admission, how string) {
	if a.record >= 0 {
		s.records[a.record].Finished, s.records[a.record].End = s.clock.now(), how
	}
}

// endMsg frees a slot. The reply comes before the last byte of the response is
// sent, so that no client can see the response before the slot is free.
type endMsg struct {
	id    uint64
	how   string
	reply backendReply[struct{}]
}

// Values of Record.End.
const (
	endComplete  = "complete"
	endCancelled = "cancelled"
	endFailed    = "failed"
)

func (m endMsg) handle(s *backendState) {
	if a, ok := s.running[m.id]; ok {
		delete(s.running, m.id)
		s.end(a, m.how)
		// A request that found all slots in use may take this one only if
		// its client could not know that the cancelled request still ran.
		if m.how != endComplete && len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.later.cancel(next.timer)
			s.counts.CancelOverlaps++
			s.start(next)
		}
	}
	m.reply.Put(answer[struct{}]{})
}

// connMsg opens or closes a connection. An opening above the limit is
// answered with false, unless another connection closes within cancelGrace:
// the client may have closed that one before the server noticed.
type connMsg struct {
	open  bool
	reply backendReply[bool]
}

func (m connMsg) handle(s *backendState) {
	switch {
	case !m.open && s.overflow != nil:
		s.counts.ConnectionOverlaps++
		s.later.cancel(s.overflowTimer)
		s.overflow.Put(answer[bool]{value: true})
		s.overflow = nil
	case !m.open:
		s.counts.Connections--
	case s.counts.Connections < s.Connections:
		s.counts.Connections++
		s.counts.MaxConns = max(s.counts.MaxConns, s.counts.Connections)
	default: // one at a time, because the listener waits for the answer
		s.overflow = &m.reply
		s.overflowTimer = s.later.after(cancelGrace, func() {
			s.overflow = nil
			s.counts.ConnectionViolations++
			m.reply.Put(answer[bool]{})
		})
		return
	}
	m.reply.Put(answer[bool]{value: true})
}

// countMsg serves /count: it adds to a value and returns it.
type countMsg struct {
	key   string
	add   int64
	reply backendReply[int64]
}

func (m countMsg) handle(s *backendState) {
	s.values[m.key] += m.add
	m.reply.Put(answer[int64]{value: s.values[m.key]})
}

type backendControlMsg struct {
	control *BackendControl
	reply   backendReply[BackendState]
}

func (m backendControlMsg) handle(s *backendState) {
	if c := m.control; c != nil {
		s.control = *c
		if c.Announce != nil {
			s.step(map[bool]chart.Event{true: backendAnnounce, false: backendSilence}[*c.Announce])
		}
		if c.Drain {
			s.step(backendDrain)
		}
	}
	state := s.counts
	state.State, state.Running = backendChart.StateName(s.state), len(s.running)
	m.reply.Put(answer[BackendState]{value: state})
}

type recordsMsg struct{ reply backendReply[[]RequestRecord] }

func (m recordsMsg) handle(s *backendState) {
	m.reply.Put(answer[[]RequestRecord]{value: slices.Clone(s.records)})
}
