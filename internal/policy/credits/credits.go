// Package credits decides how many credits the agent of a backend server
// grants to each entry, and which idle credits it recalls. A credit permits an
// entry to send one request. The functions have no side effects.
package credits

import (
	"math"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Holder is the state of an entry's credits as the agent knows it.
type Holder struct {
	Entry          model.EntryID
	SameDataCentre bool // as the agent
	Idle           int  // credits granted and not known to be spent
	// Running is the number of spent credits whose exchange has not ended.
	Running      int
	Recalled     int           // credits recalled and not yet returned or spent
	Queued       int           // requests, from the newest demand report
	MinRemaining time.Duration // until the earliest deadline of a queued request; 0: none is queued
	// GrantedSinceReport is the number of credits granted since the newest
	// demand report, whose Queued does not account for them.
	GrantedSinceReport int
	// RecentRequests is an exponentially decaying count of requests. Slots
	// that no queue needs are divided in proportion to it.
	RecentRequests float64
}

// unmetNeed returns the number of queued requests for which no credit has been
// granted.
func (h *Holder) unmetNeed() int { return h.Queued - h.GrantedSinceReport }

// Slots is the state of a backend server's slots.
type Slots struct {
	Total     int
	LookAhead int  // credits granted beyond Total while requests queue at entries
	Open      bool // false: no credit is granted and all idle ones are recalled
}

// Grant is a number of credits to grant to an entry, or to recall from it.
type Grant struct {
	Holder int // index in the argument of Plan
	Count  int // negative: recall
}

// Plan appends the grants and recalls for the current state to out. It updates
// holders as if they had been carried out.
func Plan(slots Slots, holders []Holder, out []Grant) []Grant {
	if !slots.Open || len(holders) == 0 {
		return recallAll(holders, out)
	}
	free := slots.Total - outstanding(holders)
	queued := anyUnmetNeed(holders)
	if queued {
		free += slots.LookAhead
	}
	for ; free > 0; free-- {
		i := nextHolder(holders)
		if i < 0 {
			break
		}
		out = grant(holders, out, i)
	}
	if queued {
		return recallIdle(holders, out, free)
	}
	return grantInAdvance(slots, holders, free, out)
}

// outstanding returns the number of idle credits and unfinished exchanges.
func outstanding(holders []Holder) int {
	n := 0
	for i := range holders {
		n += holders[i].Idle + holders[i].Running
	}
	return n
}

func anyUnmetNeed(holders []Holder) bool {
	for i := range holders {
		if holders[i].unmetNeed() > 0 {
			return true
		}
	}
	return false
}

func grant(holders []Holder, out []Grant, i int) []Grant {
	holders[i].Idle++
	holders[i].GrantedSinceReport++
	for k := range out {
		if out[k].Holder == i && out[k].Count > 0 {
			out[k].Count++
			return out
		}
	}
	return append(out, Grant{Holder: i, Count: 1})
}

// nextHolder returns the index of the holder that gets the next credit: the one
// with the fewest credits relative to its unmet need, or -1 if there is no
// need. Entries thus get shares in proportion to their queues and requests wait
// equally long at each. When every slot went to the entry with the earliest
// deadline, the shares of two equal entries varied between 5 and 102 of 88
// slots. Ties go to the earlier deadline, then to an entry in the same data
// centre.
func nextHolder(holders []Holder) int {
	best := -1
	for i := range holders {
		if holders[i].unmetNeed() <= 0 {
			continue
		}
		if best < 0 || hasPriority(&holders[i], &holders[best]) {
			best = i
		}
	}
	return best
}

func hasPriority(a, b *Holder) bool {
	// credits(a)/unmetNeed(a) < credits(b)/unmetNeed(b) without division
	left, right := (a.Idle+a.Running)*b.unmetNeed(), (b.Idle+b.Running)*a.unmetNeed()
	if left != right {
		return left < right
	}
	if a.MinRemaining != b.MinRemaining {
		return a.MinRemaining < b.MinRemaining
	}
	return a.SameDataCentre && !b.SameDataCentre
}

// recallIdle recalls idle credits of entries without a queue, as many as the
// other entries need beyond the free slots and the credits recalled already.
func recallIdle(holders []Holder, out []Grant, free int) []Grant {
	wanted := 0
	for i := range holders {
		wanted += max(0, holders[i].unmetNeed()) - holders[i].Recalled
	}
	wanted -= free
	for i := range holders {
		h := &holders[i]
		if wanted <= 0 {
			break
		}
		if h.Queued > 0 {
			continue
		}
		if n := min(wanted, h.Idle-h.Recalled); n > 0 {
			h.Recalled += n
			wanted -= n
			out = append(out, Grant{Holder: i, Count: -n})
		}
	}
	return out
}

// grantInAdvance grants credits for the free slots in proportion to recent
// requests, so that a request that arrives under low load finds a credit at its
// entry.
func grantInAdvance(slots Slots, holders []Holder, free int, out []Grant) []Grant {
	total := 0.0
	for i := range holders {
		total += holders[i].RecentRequests + 1
	}
	for ; free > 0; free-- {
		best, gap := -1, math.Inf(-1)
		for i := range holders {
			h := &holders[i]
			share := float64(slots.Total) * (h.RecentRequests + 1) / total
			if g := share - float64(h.Idle+h.Running); g > gap {
				best, gap = i, g
			}
		}
		out = grant(holders, out, best)
		holders[best].GrantedSinceReport-- // these credits do not serve the reported queue
	}
	return out
}

func recallAll(holders []Holder, out []Grant) []Grant {
	for i := range holders {
		h := &holders[i]
		if n := h.Idle - h.Recalled; n > 0 {
			h.Recalled += n
			out = append(out, Grant{Holder: i, Count: -n})
		}
	}
	return out
}

// LookAhead returns how many requests may wait at the agent, so that no slot
// is idle for the round-trip time rtt between two requests. mean is their mean
// slot time. On average slots*rtt/mean requests end within a round trip; twice
// that covers most of the variation. The result is 0 if mean is not known.
func LookAhead(slots int, rtt, mean time.Duration) int {
	if mean <= 0 {
		return 0
	}
	return min(slots, int(math.Ceil(2*float64(slots)*float64(rtt)/float64(mean))))
}
