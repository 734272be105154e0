package standin

import (
	"slices"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
)

type backendReply[T any] = actor.Reply[answer[T]]

// admission tells a request's handler whether the request has a slot, and
// which fault and delay to apply to it.
type admission struct {
	id      uint64
	refused bool // no slot is free
	fault   Fault
	delayMs int64
}

// slotRequest is a request that runs or waits for a slot.
type slotRequest struct {
	admission
	recordIndex int // index in the request log, or -1 if the log is full
	graceTimer  uint64
	reply       backendReply[admission]
}

// beginMsg requests a slot.
type beginMsg struct {
	record RequestRecord
	fault  Fault // selected by the request; empty: none
	reply  backendReply[admission]
}

func (m beginMsg) handle(s *backendState) {
	s.counts.Requests++
	if s.state == backendDrained {
		s.counts.AfterDrain++
	}
	s.lastID++
	req := &slotRequest{admission: admission{id: s.lastID, fault: s.fault(m.fault), delayMs: s.control.DelayMs}, recordIndex: -1, reply: m.reply}
	if len(s.records) < maxRecords {
		req.recordIndex = len(s.records)
		m.record.Started = s.clock.now()
		s.records = append(s.records, m.record)
	}
	if len(s.running) < s.Slots {
		s.start(req)
		return
	}
	s.waiting = append(s.waiting, req)
	req.graceTimer = s.timers.afterFunc(cancelGrace, func() { s.refuse(req) })
}

// fault returns the fault that the request selected, or else the one that the
// control set, whose count it reduces.
func (s *backendState) fault(requested Fault) Fault {
	if requested != "" || s.control.Fault == "" || s.control.Count == 0 {
		return requested
	}
	if s.control.Count > 0 {
		s.control.Count--
	}
	return s.control.Fault
}

// start gives the request a slot.
func (s *backendState) start(req *slotRequest) {
	if req.recordIndex >= 0 {
		s.records[req.recordIndex].Started = s.clock.now()
	}
	s.running[req.id] = req
	s.counts.MaxRunning = max(s.counts.MaxRunning, len(s.running))
	req.reply.Put(answer[admission]{value: req.admission})
}

// refuse ends a request that got no slot within cancelGrace.
func (s *backendState) refuse(req *slotRequest) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *slotRequest) bool { return o == req })
	s.counts.SlotViolations++
	req.refused = true
	s.recordEnd(req, "refused")
	req.reply.Put(answer[admission]{value: req.admission})
}

// recordEnd sets the end of the request in the log; end is a value of
// RequestRecord.End.
func (s *backendState) recordEnd(req *slotRequest, end string) {
	if req.recordIndex >= 0 {
		s.records[req.recordIndex].Finished, s.records[req.recordIndex].End = s.clock.now(), end
	}
}

// endMsg frees a slot. The handler awaits the reply before it sends the last
// byte of the response, so that no client has the whole response before the
// slot is free.
type endMsg struct {
	id    uint64
	end   string // value of RequestRecord.End
	reply backendReply[struct{}]
}

// Values of RequestRecord.End. A request that got no slot has "refused".
const (
	endComplete  = "complete"
	endCancelled = "cancelled"
	endFailed    = "failed"
)

func (m endMsg) handle(s *backendState) {
	if req, ok := s.running[m.id]; ok {
		delete(s.running, m.id)
		s.recordEnd(req, m.end)
		// A waiting request gets this slot only if the earlier request did not
		// complete: then its client could not know that it still ran.
		if m.end != endComplete && len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.timers.cancel(next.graceTimer)
			s.counts.CancelOverlaps++
			s.start(next)
		}
	}
	m.reply.Put(answer[struct{}]{})
}

// connectionMsg counts a connection that was opened or closed. The reply to a
// connection above the limit is false, unless another connection closes within
// cancelGrace: the client may have closed that one before the server noticed.
type connectionMsg struct {
	open  bool
	reply backendReply[bool]
}

func (m connectionMsg) handle(s *backendState) {
	switch {
	case !m.open && s.pendingConn != nil:
		s.counts.ConnectionOverlaps++
		s.timers.cancel(s.pendingConnTimer)
		s.pendingConn.Put(answer[bool]{value: true})
		s.pendingConn = nil
	case !m.open:
		s.counts.Connections--
	case s.counts.Connections < s.Connections:
		s.counts.Connections++
		s.counts.MaxConns = max(s.counts.MaxConns, s.counts.Connections)
	default: // at most one is pending, because Accept waits for the reply
		s.pendingConn = &m.reply
		s.pendingConnTimer = s.timers.afterFunc(cancelGrace, func() {
			s.pendingConn = nil
			s.counts.ConnectionViolations++
			m.reply.Put(answer[bool]{})
		})
		return
	}
	m.reply.Put(answer[bool]{value: true})
}

// countMsg adds to the counter of a key of /count and returns it.
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
