// Package credits decides which entry gets the free slots of a backend server,
// and from whom idle credits are recalled. It is pure.
package credits

import (
	"math"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Holder is an entry as the agent sees it.
type Holder struct {
	Entry          model.EntryID
	SameDataCentre bool // in the agent's data centre
	Idle           int  // credits lent and not known to be spent
	// Running counts spent credits whose exchange has not ended.
	Running      int
	Recalled     int           // credits asked back and not yet returned or spent
	Queued       int           // from the newest demand report
	MinRemaining time.Duration // time left of the tightest queued request; 0: none
	// GrantedSinceReport counts the credits granted since the newest demand report: the
	// report does not know of them yet.
	GrantedSinceReport int
	// RecentRequests is a fading count of requests, for dividing idle slots.
	RecentRequests float64
}

// need is how many more requests the entry could start than it has credits.
func (b *Holder) need() int { return b.Queued - b.GrantedSinceReport }

// Slots is the state of a backend server's slots.
type Slots struct {
	Total     int
	LookAhead int // credits lent beyond Total while requests queue at entries
	Open      bool
}

// Grant gives credits to, or recalls them from, the borrower at an index.
type Grant struct {
	Holder int
	Count  int // negative: recall
}

// Plan appends to out the grants and recalls for the current state. The
// borrowers are changed as if they had been carried out.
func Plan(s Slots, borrowers []Holder, out []Grant) []Grant {
	if !s.Open || len(borrowers) == 0 {
		return recallAll(borrowers, out)
	}
	free := s.Total - lent(borrowers)
	queued := anyNeed(borrowers)
	if queued {
		free += s.LookAhead
	}
	for ; free > 0; free-- {
		i := neediest(borrowers)
		if i < 0 {
			break
		}
		out = grant(borrowers, out, i)
	}
	if queued {
		return recallFor(borrowers, out, free)
	}
	return spread(s, borrowers, free, out)
}

func lent(borrowers []Holder) int {
	n := 0
	for i := range borrowers {
		n += borrowers[i].Idle + borrowers[i].Running
	}
	return n
}

func anyNeed(borrowers []Holder) bool {
	for i := range borrowers {
		if borrowers[i].need() > 0 {
			return true
		}
	}
	return false
}

func grant(borrowers []Holder, out []Grant, i int) []Grant {
	borrowers[i].Idle++
	borrowers[i].GrantedSinceReport++
	for k := range out {
		if out[k].Holder == i && out[k].Count > 0 {
			out[k].Count++
			return out
		}
	}
	return append(out, Grant{Holder: i, Count: 1})
}

// neediest returns the borrower with unmet need that holds the fewest credits
// for its need, so that entries get shares in proportion to their queues and
// requests wait equally long at each. Giving every slot to the entry with the
// earliest deadline made the shares of two equal entries swing between 5 and
// 102 of 88 slots. Ties go to the earlier deadline, then to the near entry.
func neediest(borrowers []Holder) int {
	best := -1
	for i := range borrowers {
		if borrowers[i].need() <= 0 {
			continue
		}
		if best < 0 || before(&borrowers[i], &borrowers[best]) {
			best = i
		}
	}
	return best
}

func before(a, b *Holder) bool {
	// held(a)/need(a) < held(b)/need(b) without division
	x, y := (a.Idle+a.Running)*b.need(), (b.Idle+b.Running)*a.need()
	if x != y {
		return x < y
	}
	if a.MinRemaining != b.MinRemaining {
		return a.MinRemaining < b.MinRemaining
	}
	return a.SameDataCentre && !b.SameDataCentre
}

// recallFor asks back idle credits of entries without a queue while others
// wait for more than the free slots and the credits asked back already.
func recallFor(borrowers []Holder, out []Grant, free int) []Grant {
	wanted := 0
	for i := range borrowers {
		wanted += max(0, borrowers[i].need()) - borrowers[i].Recalled
	}
	wanted -= free
	for i := range borrowers {
		b := &borrowers[i]
		if wanted <= 0 {
			break
		}
		if b.Queued > 0 {
			continue
		}
		if n := min(wanted, b.Idle-b.Recalled); n > 0 {
			b.Recalled += n
			wanted -= n
			out = append(out, Grant{Holder: i, Count: -n})
		}
	}
	return out
}

// spread lends free slots in advance, in proportion to recent use, so that a
// request at a quiet time finds a credit at its entry.
func spread(s Slots, borrowers []Holder, free int, out []Grant) []Grant {
	total := 0.0
	for i := range borrowers {
		total += borrowers[i].RecentRequests + 1
	}
	for ; free > 0; free-- {
		best, gap := -1, math.Inf(-1)
		for i := range borrowers {
			b := &borrowers[i]
			share := float64(s.Total) * (b.RecentRequests + 1) / total
			if g := share - float64(b.Idle+b.Running); g > gap {
				best, gap = i, g
			}
		}
		out = grant(borrowers, out, best)
		borrowers[best].GrantedSinceReport-- // not an answer to a demand report
	}
	return out
}

func recallAll(borrowers []Holder, out []Grant) []Grant {
	for i := range borrowers {
		b := &borrowers[i]
		if n := b.Idle - b.Recalled; n > 0 {
			b.Recalled += n
			out = append(out, Grant{Holder: i, Count: -n})
		}
	}
	return out
}

// LookAhead returns how many requests may wait at the agent, so that a slot
// is not idle for the round trip rtt between two requests of mean length. On
// average slots*rtt/mean requests end within a round trip; twice that covers
// most of the variation.
func LookAhead(slots int, rtt, mean time.Duration) int {
	if mean <= 0 {
		return 0
	}
	return min(slots, int(math.Ceil(2*float64(slots)*float64(rtt)/float64(mean))))
}
