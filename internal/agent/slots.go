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

// credit is one unit of what the agent lends.
type credit struct {
	state    chart.State
	borrower *borrower
}

// borrower is an entry with a link.
type borrower struct {
	credits.Holder
	generation uint64
	out        peer.Out
	longSent   int // last Long that the entry was told
}

// timerKey names a deadline of the slots actor.
type timerKey struct {
	kind  timerKind
	id    model.RequestID
	index int
}

type timerKind uint8

const (
	timerBackend timerKind = iota
	timerAccepted
	timerSettle
)

// slots is the state of the slots actor.
type slots struct {
	dataCentre model.DataCentre
	backend    backend
	credits    []credit
	borrowers  []*borrower
	records    records
	waiting    []*exchangeRecord // accepted, first come first served
	running    map[model.RequestID]*exchangeRecord
	classes    *dispatch.ClassEstimates
	mean       float64 // of all classes, nanoseconds
	usage      usage
	worker     model.WorkerID
	timers     *actor.Timers[timerKey]
	now        time.Time
	grants     []credits.Grant // scratch
	flat       []credits.Holder
}

func newSlots(host model.Worker) *slots {
	return &slots{
		worker: host.ID, dataCentre: host.DataCentre, records: newRecords(), classes: dispatch.NewClassEstimates(),
		running: map[model.RequestID]*exchangeRecord{}, timers: actor.NewTimers[timerKey](),
	}
}

// handle processes one message, then lends what became free.
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
	case begin:
		s.begin(m)
	case cancelled:
		s.cancelled(m.id)
	case ended:
		s.ended(m)
	case StatusQuery:
		m.Reply.Put(s.status())
	}
	s.settle()
}

// settle starts what can start and lends what is free.
func (s *slots) settle() {
	s.startWaiting()
	if s.idle() {
		s.stepBackend(beIdle)
	}
	s.lend()
}

// idle reports whether a drain is complete: nothing runs or waits, and no
// entry holds a credit, with which a request may be on its way. After the
// start bound such a request is refused, so credits no longer count.
func (s *slots) idle() bool {
	if len(s.running)+len(s.waiting) > 0 {
		return false
	}
	return s.backend.state != beDraining || s.lent() == 0
}

func (s *slots) lent() int {
	n := 0
	for i := range s.credits {
		if st := s.credits[i].state; st == crGranted || st == crRecalled {
			n++
		}
	}
	return n
}

func (s *slots) expire(k timerKey) {
	s.now = time.Now()
	switch k.kind {
	case timerBackend:
		s.stepBackend(beSilence)
	case timerAccepted:
		if rec := s.records.byID[k.id]; rec != nil {
			rec.refusal = msg.RefusedDown
			s.stepWaiting(rec, exExpire)
		}
	case timerSettle:
		creditChart.Step(&s.credits[k.index], &s.credits[k.index].state, crSettled)
	}
	s.settle()
}

// tick closes a second: it fades the traffic by which idle slots are divided,
// and reports what the classes use.
func (s *slots) tick() {
	s.now = time.Now()
	for _, b := range s.borrowers {
		b.RecentRequests /= 2
	}
	s.reportUsage()
	s.settle()
}

func (s *slots) entryUp(m EntryUp) {
	s.entryDown(EntryDown{Entry: m.Hello.Entry, Generation: m.Hello.Generation})
	b := &borrower{generation: m.Hello.Generation, out: m.Out, longSent: -1}
	b.Entry, b.SameDataCentre = m.Hello.Entry, m.Hello.DataCentre == s.dataCentre
	s.borrowers = append(s.borrowers, b)
	s.sendBackend(b)
}

// entryDown voids the idle credits of a link. Spent credits stay with their
// exchanges until those have ended at the backend server.
func (s *slots) entryDown(m EntryDown) {
	for i, b := range s.borrowers {
		if b.Entry != m.Entry || b.generation > m.Generation {
			continue
		}
		for k := range s.credits {
			if c := &s.credits[k]; c.borrower == b {
				creditChart.Step(c, &c.state, crVoid)
				c.borrower = nil
			}
		}
		s.borrowers = append(s.borrowers[:i], s.borrowers[i+1:]...)
		return
	}
}

func (s *slots) borrower(entry model.EntryID, generation uint64) *borrower {
	for _, b := range s.borrowers {
		if b.Entry == entry && b.generation == generation {
			return b
		}
	}
	return nil
}

func (s *slots) fromEntry(m FromEntry) {
	b := s.borrower(m.Entry, m.Generation)
	if b == nil {
		return
	}
	switch m := m.Msg.(type) {
	case *msg.Demand:
		b.Queued, b.MinRemaining, b.GrantedSinceReport = m.Queued, m.MinRemaining, 0
	case *msg.CreditReturn:
		if m.Generation == b.generation {
			s.returned(b, m.Count)
		}
	case *msg.OutcomeQuery:
		s.query(b, m.ID)
	case *msg.DrainBackend:
		s.stepBackend(beDrain)
	}
}

// returned takes back the credits with which an entry answered a recall. The
// recalled ones that it did not return were spent meanwhile; the heads of
// those requests are on their way and take any credit of the entry.
func (s *slots) returned(b *borrower, count int) {
	defer s.keep(b)
	for range count {
		c := s.find(b, crRecalled)
		if c == nil {
			c = s.find(b, crGranted)
		}
		if c == nil {
			return
		}
		creditChart.Step(c, &c.state, crReturn)
		c.borrower = nil
	}
}

func (s *slots) keep(b *borrower) {
	for c := s.find(b, crRecalled); c != nil; c = s.find(b, crRecalled) {
		creditChart.Step(c, &c.state, crKeep)
	}
}

func (s *slots) find(b *borrower, state chart.State) *credit {
	for i := range s.credits {
		if c := &s.credits[i]; c.borrower == b && c.state == state {
			return c
		}
	}
	return nil
}

// query answers what became of a request. One that has not started is
// refused first, so that the answer stays true.
func (s *slots) query(b *borrower, id model.RequestID) {
	reply := &msg.OutcomeReply{ID: id, State: msg.ExchangeUnknown}
	if rec := s.records.get(id); rec != nil {
		if rec.refusal == 0 {
			rec.refusal = msg.RefusedCancelled
		}
		s.stepWaiting(rec, exQuery)
		reply.State = rec.outcome(s.now)
	}
	b.out.TrySend(reply)
}

func (s *slots) status() Status {
	st := Status{
		Backend: s.backend.Backend, Service: s.backend.Service, State: backendChart.StateName(s.backend.state),
		Slots: s.backend.Slots, Running: len(s.running), Waiting: len(s.waiting), LongRunning: s.longRunning(),
	}
	st.GrantedCredits, st.Settling = s.lent(), s.busy()-len(s.running)
	st.Drained = s.backend.state != beReady && s.backend.state != beSuspect &&
		s.backend.state != beDraining && s.idle()
	return st
}
