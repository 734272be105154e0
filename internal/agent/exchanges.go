package agent

import (
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// begin accepts or refuses a request that has arrived.
func (s *slots) begin(m begin) {
	rec := s.records.get(m.head.ID)
	// Its sequence number is older than the records kept, or it has a
	// tombstone or is a duplicate.
	if rec == nil || rec.state != exNew {
		if c := s.creditFor(m); c != nil { // the entry has spent it
			s.giveBack(c)
		}
		m.reply <- verdict{refused: msg.RefusedCancelled}
		return
	}
	rec.reply, rec.cancel = m.reply, m.cancel
	rec.entry, rec.class, rec.long, rec.began = m.entry, m.head.Class, m.head.LongClass, s.now
	rec.refusal = s.refusal(m, rec)
	exchangeChart.Step(rec, &rec.state, exBegin)
	if exchangeChart.Final(rec.state) {
		s.records.retire(rec, s.now)
		return
	}
	s.waiting = append(s.waiting, rec)
	s.usage.arrived(rec.class)
	if d, _, ok := exchangeChart.Timeout(rec.state); ok {
		s.timers.Set(timerKey{kind: timerAccepted, id: rec.id}, s.now.Add(d))
	}
}

// refusal spends a credit of the link's generation for rec, or says why not.
func (s *slots) refusal(m begin, rec *exchangeRecord) msg.RefusedReason {
	c := s.creditFor(m)
	if c == nil {
		return msg.RefusedNoCredit
	}
	c.borrower.RecentRequests++
	if s.backend.state != beReady && s.backend.state != beSuspect && s.backend.state != beDraining {
		s.giveBack(c)
		return msg.RefusedDraining
	}
	if rec.long && s.longFree() <= 0 {
		s.giveBack(c)
		return msg.RefusedNoCredit
	}
	creditChart.Step(c, &c.state, crSpend)
	rec.credit = c
	return 0
}

// creditFor returns the credit that the entry has spent on m, or nil when it
// had none.
func (s *slots) creditFor(m begin) *credit {
	b := s.borrower(m.entry, m.head.Generation)
	if b == nil {
		return nil
	}
	if c := s.find(b, crGranted); c != nil {
		return c
	}
	return s.find(b, crRecalled)
}

func (s *slots) giveBack(c *credit) {
	creditChart.Step(c, &c.state, crReturn)
	c.borrower = nil
}

// startWaiting starts accepted requests while slots are free. Invariant: at
// most Slots exchanges are running or settling.
func (s *slots) startWaiting() {
	for len(s.waiting) > 0 && s.busy() < s.backend.Slots {
		rec := s.waiting[0]
		rec.address = s.backend.Address
		rec.began = s.now
		s.stepWaiting(rec, exStart)
		s.running[rec.id] = rec
	}
}

// busy counts the slots in use at the backend server.
func (s *slots) busy() int {
	n := len(s.running)
	for i := range s.credits {
		if s.credits[i].state == crSettling {
			n++
		}
	}
	return n
}

// stepWaiting steps a request that may be waiting and removes it from the
// queue when it left that state.
func (s *slots) stepWaiting(rec *exchangeRecord, e chart.Event) {
	before := rec.state
	if !exchangeChart.Step(rec, &rec.state, e) || rec.state == before {
		return
	}
	if before == exAccepted {
		s.timers.Clear(timerKey{kind: timerAccepted, id: rec.id})
		for i, w := range s.waiting {
			if w == rec {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
	}
	if exchangeChart.Final(rec.state) {
		s.release(rec, crRelease)
		s.records.retire(rec, s.now)
	}
}

func (s *slots) release(rec *exchangeRecord, e chart.Event) {
	c := rec.credit
	if c == nil {
		return
	}
	c.borrower = nil
	creditChart.Step(c, &c.state, e)
	if d, _, ok := creditChart.Timeout(c.state); ok {
		for i := range s.credits {
			if &s.credits[i] == c {
				s.timers.Set(timerKey{kind: timerSettle, index: i}, s.now.Add(d))
			}
		}
	}
}

// cancelled ends a request, or keeps one from starting that has not arrived:
// the message comes from another goroutine than begin and may overtake it.
func (s *slots) cancelled(id model.RequestID) {
	rec := s.records.get(id)
	if rec == nil {
		return
	}
	if rec.state == exStarted && rec.cancel != nil {
		rec.cancel()
		return
	}
	rec.refusal = msg.RefusedCancelled
	s.stepWaiting(rec, exCancel)
}

func (s *slots) ended(m ended) {
	rec := s.running[m.id]
	if rec == nil {
		return
	}
	delete(s.running, m.id)
	event, how := exEnded, crRelease
	if m.unreached {
		event = exConnectFailed
	} else {
		s.classes.AddSample(rec.class, m.ran)
		s.usage.ended(rec.class, m.ran)
		s.mean += (float64(m.ran) - s.mean) * meanSmoothing
	}
	if m.early {
		how = crSettle
		rec.settles = s.now.Add(settleTime)
	}
	exchangeChart.Step(rec, &rec.state, event)
	s.release(rec, how)
	s.records.retire(rec, s.now)
}

const meanSmoothing = 0.05
