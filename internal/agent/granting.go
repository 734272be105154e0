package agent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/credits"
)

// linkRTT is the round-trip time for which the look-ahead is computed: 3 ms
// between data centres.
const linkRTT = 3 * time.Millisecond

// longRunning counts the running and waiting requests of long classes, and the
// running ones that exceed the usual durations of their class.
func (s *slots) longRunning() int {
	n := 0
	for _, r := range s.running {
		if r.long || s.classes.CountsAsLong(r.class, s.now.Sub(r.stateSince)) {
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

// freeLong returns how many more long requests may start. Half of the slots, but
// not the only one, are reserved for short requests. The result may be negative.
func (s *slots) freeLong() int { return max(1, s.backend.Slots/2) - s.longRunning() }

// grantCredits computes the plan of package credits and applies its grants and
// recalls.
func (s *slots) grantCredits() {
	lookAhead := credits.LookAhead(s.backend.Slots, linkRTT, time.Duration(s.meanDuration))
	s.holders = s.holders[:0]
	for _, e := range s.entries {
		s.countCredits(e)
		s.holders = append(s.holders, e.Holder)
	}
	state := credits.Slots{Total: s.backend.Slots - s.creditsWithoutHolder(), LookAhead: lookAhead, Open: s.backend.open}
	s.grants = credits.Plan(state, s.holders, s.grants[:0])
	for i, e := range s.entries {
		e.GrantedSinceReport = s.holders[i].GrantedSinceReport
	}
	for _, g := range s.grants {
		s.applyGrant(s.entries[g.Holder], g.Count)
	}
	s.sendMaxLong()
}

// creditsWithoutHolder counts the credits in use that no linked entry holds:
// settling ones, and those of exchanges whose link was lost.
func (s *slots) creditsWithoutHolder() int {
	n := 0
	for i := range s.credits {
		if c := &s.credits[i]; c.holder == nil && c.state != crFree {
			n++
		}
	}
	return n
}

// resize grows the list of credits to n. It never shrinks the list, because the
// plan bounds the granted credits.
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

// countCredits sets the counts of credits in the state of an entry.
func (s *slots) countCredits(e *linkedEntry) {
	e.Idle, e.Running, e.Recalled = 0, 0, 0
	for i := range s.credits {
		c := &s.credits[i]
		if c.holder != e {
			continue
		}
		switch c.state {
		case crGranted:
			e.Idle++
		case crRecalled:
			e.Idle++
			e.Recalled++
		case crSpent:
			e.Running++
		}
	}
}

// applyGrant grants count credits to an entry, or recalls -count of them.
func (s *slots) applyGrant(e *linkedEntry, count int) {
	if count < 0 {
		for range -count {
			if c := s.findCredit(e, crGranted); c != nil {
				creditChart.Step(c, &c.state, crRecall)
			}
		}
		e.out.TrySend(&msg.CreditRecall{Backend: s.backend.Backend, Generation: e.generation, Count: -count})
		return
	}
	granted := 0
	for range count {
		if c := s.findCredit(nil, crFree); c != nil {
			c.holder = e
			creditChart.Step(c, &c.state, crGrant)
			granted++
		}
	}
	e.maxLongSent = s.freeLong()
	e.out.TrySend(&msg.CreditGrant{Backend: s.backend.Backend, Generation: e.generation, Count: granted, MaxLong: e.maxLongSent})
}

// sendMaxLong sends the entries the number of long requests that may start, if
// it has changed.
func (s *slots) sendMaxLong() {
	if s.backend.Backend == "" {
		return
	}
	free := s.freeLong()
	for _, e := range s.entries {
		if e.maxLongSent != free {
			e.maxLongSent = free
			e.out.TrySend(&msg.CreditGrant{Backend: s.backend.Backend, Generation: e.generation, MaxLong: free})
		}
	}
}
