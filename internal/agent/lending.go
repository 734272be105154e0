package agent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/credits"
)

// linkRTT is assumed for the look-ahead: between data centres it is 3 ms.
const linkRTT = 3 * time.Millisecond

// longRunning counts the requests that run and belong to a long class or have
// outlived their class.
func (s *slots) longRunning() int {
	n := 0
	for _, r := range s.running {
		if r.long || s.classes.CountsAsLong(r.class, s.now.Sub(r.began)) {
			n++
		}
	}
	for _, r := range s.waiting {
		if r.long {
			n++
		}
	}
	return n
}

// longFree is how many more long requests may start: half of the slots are
// kept for short ones.
func (s *slots) longFree() int { return max(1, s.backend.Slots/2) - s.longRunning() }

// lend carries out the plan of package credits.
func (s *slots) lend() {
	look := credits.LookAhead(s.backend.Slots, linkRTT, time.Duration(s.mean))
	s.flat = s.flat[:0]
	for _, b := range s.borrowers {
		s.count(b)
		s.flat = append(s.flat, b.Holder)
	}
	state := credits.Slots{Total: s.backend.Slots - s.withoutBorrower(), LookAhead: look, Open: s.backend.open}
	s.grants = credits.Plan(state, s.flat, s.grants[:0])
	for i, b := range s.borrowers {
		b.GrantedSinceReport = s.flat[i].GrantedSinceReport
	}
	for _, g := range s.grants {
		s.carryOut(s.borrowers[g.Holder], g.Count)
	}
	s.tellLong()
}

// withoutBorrower counts the credits that no entry accounts for: those that
// settle, and those of exchanges whose link was lost.
func (s *slots) withoutBorrower() int {
	n := 0
	for i := range s.credits {
		if c := &s.credits[i]; c.borrower == nil && c.state != crFree {
			n++
		}
	}
	return n
}

// resize makes room for more credits. There is no need to shrink, because the
// plan bounds what is lent.
func (s *slots) resize(n int) {
	if n <= len(s.credits) {
		return
	}
	grown := make([]credit, n)
	copy(grown, s.credits)
	moved := map[*credit]*credit{}
	for i := range s.credits {
		moved[&s.credits[i]] = &grown[i]
	}
	for _, r := range s.records.byID {
		if r.credit != nil {
			r.credit = moved[r.credit]
		}
	}
	s.credits = grown
}

func (s *slots) count(b *borrower) {
	b.Idle, b.Running, b.Recalled = 0, 0, 0
	for i := range s.credits {
		c := &s.credits[i]
		if c.borrower != b {
			continue
		}
		switch c.state {
		case crGranted:
			b.Idle++
		case crRecalled:
			b.Idle++
			b.Recalled++
		case crSpent:
			b.Running++
		}
	}
}

func (s *slots) carryOut(b *borrower, count int) {
	if count < 0 {
		for range -count {
			if c := s.find(b, crGranted); c != nil {
				creditChart.Step(c, &c.state, crRecall)
			}
		}
		b.out.TrySend(&msg.CreditRecall{Backend: s.backend.Backend, Generation: b.generation, Count: -count})
		return
	}
	granted := 0
	for range count {
		if c := s.find(nil, crFree); c != nil {
			c.borrower = b
			creditChart.Step(c, &c.state, crGrant)
			granted++
		}
	}
	b.longSent = s.longFree()
	b.out.TrySend(&msg.CreditGrant{Backend: s.backend.Backend, Generation: b.generation, Count: granted, MaxLong: b.longSent})
}

// tellLong tells the entries how many long requests may start, when it changed.
func (s *slots) tellLong() {
	if s.backend.Backend == "" {
		return
	}
	free := s.longFree()
	for _, b := range s.borrowers {
		if b.longSent != free {
			b.longSent = free
			b.out.TrySend(&msg.CreditGrant{Backend: s.backend.Backend, Generation: b.generation, MaxLong: free})
		}
	}
}
