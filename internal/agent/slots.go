package agent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/policy/credits"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// credit is the right to send one request; see charts/credit.scxml.
type credit struct {
	state  chart.State
	holder *linkedEntry // nil: free, settling, or spent on a link that was lost
}

// linkedEntry is an entry with a link to the agent.
type linkedEntry struct {
	credits.Holder
	generation  uint64
	out         peer.Out
	maxLongSent int // MaxLong of the last CreditGrant; -1: none sent
}

// timerKey identifies a timer of the slots actor.
type timerKey struct {
	kind  timerKind
	id    model.RequestID // timerAccepted
	index int             // of the credit, timerSettle
}

type timerKind uint8

const (
	timerBackend timerKind = iota
	timerAccepted
	timerSettle
)

// slots is the state of the slots actor.
type slots struct {
	dataCentre   model.DataCentre
	backend      backend
	credits      []credit
	entries      []*linkedEntry
	records      records
	waiting      []*exchangeRecord // accepted requests, in order of arrival
	running      map[model.RequestID]*exchangeRecord
	classes      *dispatch.ClassEstimates
	meanDuration float64 // smoothed over all classes, nanoseconds
	usage        usage
	worker       model.WorkerID
	timers       *actor.Timers[timerKey]
	now          time.Time
	grants       []credits.Grant  // reused by grantCredits
	holders      []credits.Holder // reused by grantCredits
}

func newSlots(host model.Worker) *slots {
	return &slots{
		worker: host.ID, dataCentre: host.DataCentre, records: newRecords(), classes: dispatch.NewClassEstimates(),
		running: map[model.RequestID]*exchangeRecord{}, timers: actor.NewTimers[timerKey](),
	}
}

// handle processes a message, then uses the slots and credits that it freed.
func (s *slots) handle(m Message) {
	s.now = time.Now()
	switch m := m.(type) {
	case EntryUp:
		s.entryUp(m)
	case EntryDown:
		s.entryDown(m)
	case FromEntry:
		s.fromEntry(m)
	case Announce:
		s.announce(m)
	case Drain:
		s.stepBackend(beDrain)
	case requestArrived:
		s.requestArrived(m)
	case requestCancelled:
		s.requestCancelled(m.id)
	case exchangeEnded:
		s.exchangeEnded(m)
	case StatusQuery:
		m.Reply.Put(s.status())
	}
	s.startAndGrant()
}

// startAndGrant starts waiting requests, completes a drain and grants free
// credits.
func (s *slots) startAndGrant() {
	s.startWaiting()
	if s.drainComplete() {
		s.stepBackend(beIdle)
	}
	s.grantCredits()
}

// drainComplete reports whether a drain is complete: no request runs or waits,
// and no entry holds a credit, because a request that uses it may be in transit.
// After startBound such a request is refused, so credits no longer count.
func (s *slots) drainComplete() bool {
	if len(s.running)+len(s.waiting) > 0 {
		return false
	}
	return s.backend.state != beDraining || s.grantedCredits() == 0
}

// grantedCredits counts the unspent credits that entries hold, recalled ones
// included.
func (s *slots) grantedCredits() int {
	n := 0
	for i := range s.credits {
		if st := s.credits[i].state; st == crGranted || st == crRecalled {
			n++
		}
	}
	return n
}

// expire handles a timer that has expired.
func (s *slots) expire(k timerKey) {
	s.now = time.Now()
	switch k.kind {
	case timerBackend:
		s.stepBackend(beSilence)
	case timerAccepted:
		if rec := s.records.byID[k.id]; rec != nil {
			rec.refusal = msg.RefusedDown
			s.stepExchange(rec, exExpire)
		}
	case timerSettle:
		creditChart.Step(&s.credits[k.index], &s.credits[k.index].state, crSettled)
	}
	s.startAndGrant()
}

// tick is called each second. It halves the counts of recent requests, by which
// idle slots are divided among the entries, and reports the usage of the classes.
func (s *slots) tick() {
	s.now = time.Now()
	for _, e := range s.entries {
		e.RecentRequests /= 2
	}
	s.reportUsage()
	s.startAndGrant()
}

// entryUp adds an entry and removes its earlier link, if any.
func (s *slots) entryUp(m EntryUp) {
	s.entryDown(EntryDown{Entry: m.Hello.Entry, Generation: m.Hello.Generation})
	e := &linkedEntry{generation: m.Hello.Generation, out: m.Out, maxLongSent: -1}
	e.Entry, e.SameDataCentre = m.Hello.Entry, m.Hello.DataCentre == s.dataCentre
	s.entries = append(s.entries, e)
	s.sendBackend(e)
}

// entryDown frees the unspent credits of a link. Spent credits stay in use until
// their exchanges have ended at the backend server.
func (s *slots) entryDown(m EntryDown) {
	for i, e := range s.entries {
		if e.Entry != m.Entry || e.generation > m.Generation {
			continue
		}
		for k := range s.credits {
			if c := &s.credits[k]; c.holder == e {
				creditChart.Step(c, &c.state, crVoid)
				c.holder = nil
			}
		}
		s.entries = append(s.entries[:i], s.entries[i+1:]...)
		return
	}
}

// findEntry returns the entry with the link of that generation, or nil.
func (s *slots) findEntry(entry model.EntryID, generation uint64) *linkedEntry {
	for _, e := range s.entries {
		if e.Entry == entry && e.generation == generation {
			return e
		}
	}
	return nil
}

// fromEntry handles a message from an entry. It ignores those of a link that has
// ended or was replaced.
func (s *slots) fromEntry(m FromEntry) {
	e := s.findEntry(m.Entry, m.Generation)
	if e == nil {
		return
	}
	switch m := m.Msg.(type) {
	case *msg.Demand:
		e.Queued, e.MinRemaining, e.GrantedSinceReport = m.Queued, m.MinRemaining, 0
	case *msg.CreditReturn:
		if m.Generation == e.generation {
			s.creditsReturned(e, m.Count)
		}
	case *msg.OutcomeQuery:
		s.queryOutcome(e, m.ID)
	case *msg.DrainBackend:
		s.stepBackend(beDrain)
	}
}

// creditsReturned frees the credits that an entry returned after a recall. It
// spent the other recalled ones meanwhile: the heads of those requests are in
// transit and use any credit of the entry.
func (s *slots) creditsReturned(e *linkedEntry, count int) {
	defer s.keepUnreturned(e)
	for range count {
		c := s.findCredit(e, crRecalled)
		if c == nil {
			c = s.findCredit(e, crGranted)
		}
		if c == nil {
			return
		}
		creditChart.Step(c, &c.state, crReturn)
		c.holder = nil
	}
}

// keepUnreturned cancels the recall of the entry's recalled credits.
func (s *slots) keepUnreturned(e *linkedEntry) {
	for c := s.findCredit(e, crRecalled); c != nil; c = s.findCredit(e, crRecalled) {
		creditChart.Step(c, &c.state, crKeep)
	}
}

// findCredit returns a credit of e in the state, or nil. Free credits have no
// holder: e is nil.
func (s *slots) findCredit(e *linkedEntry, state chart.State) *credit {
	for i := range s.credits {
		if c := &s.credits[i]; c.holder == e && c.state == state {
			return c
		}
	}
	return nil
}

// queryOutcome replies with the outcome of a request. It first refuses one that
// has not started, so that it cannot start after the reply.
func (s *slots) queryOutcome(e *linkedEntry, id model.RequestID) {
	reply := &msg.OutcomeReply{ID: id, State: msg.ExchangeUnknown}
	if rec := s.records.get(id); rec != nil {
		if rec.refusal == 0 {
			rec.refusal = msg.RefusedCancelled
		}
		s.stepExchange(rec, exQuery)
		reply.State = rec.outcome(s.now)
	}
	e.out.TrySend(reply)
}

func (s *slots) status() Status {
	st := Status{
		Backend: s.backend.Backend, Service: s.backend.Service, State: backendChart.StateName(s.backend.state),
		Slots: s.backend.Slots, Running: len(s.running), Waiting: len(s.waiting), LongRunning: s.longRunning(),
	}
	st.GrantedCredits, st.Settling = s.grantedCredits(), s.busySlots()-len(s.running)
	st.Drained = s.backend.state != beReady && s.backend.state != beSuspect &&
		s.backend.state != beDraining && s.drainComplete()
	return st
}
