package agent

import (
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// requestArrived accepts or refuses a request.
func (s *slots) requestArrived(m requestArrived) {
	rec := s.records.get(m.head.ID)
	// The request is older than the records that are kept, it has a tombstone,
	// or it is a duplicate.
	if rec == nil || rec.state != exNew {
		if c := s.creditFor(m); c != nil { // the entry has spent it
			s.returnCredit(c)
		}
		m.reply <- decision{refused: msg.RefusedCancelled}
		return
	}
	rec.reply, rec.cancel = m.reply, m.cancel
	rec.entry, rec.class, rec.long, rec.stateSince = m.entry, m.head.Class, m.head.LongClass, s.now
	rec.refusal = s.spendCredit(m, rec)
	exchangeChart.Step(rec, &rec.state, exBegin)
	if exchangeChart.Final(rec.state) {
		s.records.retire(rec, s.now)
		return
	}
	s.waiting = append(s.waiting, rec)
	s.usage.requestArrived(rec.class)
	if d, _, ok := exchangeChart.Timeout(rec.state); ok {
		s.timers.Set(timerKey{kind: timerAccepted, id: rec.id}, s.now.Add(d))
	}
}

// spendCredit spends a credit of the link on rec and returns 0, or the reason
// for refusing the request.
func (s *slots) spendCredit(m requestArrived, rec *exchangeRecord) msg.RefusedReason {
	c := s.creditFor(m)
	if c == nil {
		return msg.RefusedNoCredit
	}
	c.holder.RecentRequests++
	if s.backend.state != beReady && s.backend.state != beSuspect && s.backend.state != beDraining {
		s.returnCredit(c)
		return msg.RefusedDraining
	}
	if rec.long && s.freeLong() <= 0 {
		s.returnCredit(c)
		return msg.RefusedNoCredit
	}
	creditChart.Step(c, &c.state, crSpend)
	rec.credit = c
	return 0
}

// creditFor returns a credit that the entry may have spent on m, or nil when it
// holds none.
func (s *slots) creditFor(m requestArrived) *credit {
	e := s.findEntry(m.entry, m.head.Generation)
	if e == nil {
		return nil
	}
	if c := s.findCredit(e, crGranted); c != nil {
		return c
	}
	return s.findCredit(e, crRecalled)
}

// returnCredit frees a credit.
func (s *slots) returnCredit(c *credit) {
	creditChart.Step(c, &c.state, crReturn)
	c.holder = nil
}

// startWaiting starts accepted requests in the order of their arrival while
// slots are free. Invariant: at most Slots exchanges are running or settling.
func (s *slots) startWaiting() {
	for len(s.waiting) > 0 && s.busySlots() < s.backend.Slots {
		rec := s.waiting[0]
		rec.address = s.backend.Address
		rec.stateSince = s.now
		s.stepExchange(rec, exStart)
		s.running[rec.id] = rec
	}
}

// busySlots counts the slots in use at the backend server: those of running
// exchanges and of settling credits.
func (s *slots) busySlots() int {
	n := len(s.running)
	for i := range s.credits {
		if s.credits[i].state == crSettling {
			n++
		}
	}
	return n
}

// stepExchange steps the chart of an exchange. It removes the request from the
// queue when it no longer waits, and releases the credit of one that ends.
func (s *slots) stepExchange(rec *exchangeRecord, e chart.Event) {
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
		s.releaseCredit(rec, crRelease)
		s.records.retire(rec, s.now)
	}
}

// releaseCredit steps the credit of rec, if any, with crRelease or crSettle.
func (s *slots) releaseCredit(rec *exchangeRecord, e chart.Event) {
	c := rec.credit
	if c == nil {
		return
	}
	c.holder = nil
	creditChart.Step(c, &c.state, e)
	if d, _, ok := creditChart.Timeout(c.state); ok {
		for i := range s.credits {
			if &s.credits[i] == c {
				s.timers.Set(timerKey{kind: timerSettle, index: i}, s.now.Add(d))
			}
		}
	}
}

// requestCancelled cancels a running request, or leaves a tombstone that keeps
// one from starting that has not arrived. The exchange sends it from another
// goroutine than the requestArrived message, so it may arrive first.
func (s *slots) requestCancelled(id model.RequestID) {
	rec := s.records.get(id)
	if rec == nil {
		return
	}
	if rec.state == exStarted && rec.cancel != nil {
		rec.cancel()
		return
	}
	rec.refusal = msg.RefusedCancelled
	s.stepExchange(rec, exCancel)
}

// exchangeEnded frees the slot of an exchange and updates the estimates.
func (s *slots) exchangeEnded(m exchangeEnded) {
	rec := s.running[m.id]
	if rec == nil {
		return
	}
	delete(s.running, m.id)
	event, creditEvent := exEnded, crRelease
	if m.connectFailed {
		event = exConnectFailed
	} else {
		s.classes.AddSample(rec.class, m.duration)
		s.usage.requestEnded(rec.class, m.duration)
		s.meanDuration += (float64(m.duration) - s.meanDuration) * meanSmoothing
	}
	if m.closedEarly {
		creditEvent = crSettle
		rec.settledAt = s.now.Add(settleTime)
	}
	exchangeChart.Step(rec, &rec.state, event)
	s.releaseCredit(rec, creditEvent)
	s.records.retire(rec, s.now)
}

// meanSmoothing is the weight of the newest sample of meanDuration.
const meanSmoothing = 0.05
