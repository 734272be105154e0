package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

const (
	// preemptEach bounds the preemptions of a round; each costs a snapshot.
	preemptEach = 8
	// claimFor outlasts an eviction that waits for its checkpoint in vain.
	claimFor = 2 * checkpointTimeout
)

// claim is room that is kept for an urgent job until a time.
type claim struct {
	place.Claim
	until time.Duration
}

// activeClaims drops the claims that are over and returns the others.
func (c *Core) activeClaims() []place.Claim {
	var list []place.Claim
	for id, cl := range c.claims {
		j := c.jobs[id]
		if j == nil || j.phase != stPending || cl.until <= c.now {
			delete(c.claims, id)
			continue
		}
		list = append(list, cl.Claim)
	}
	slices.SortFunc(list, func(a, b place.Claim) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// preempt evicts tasks for urgent jobs that fit nowhere.
func (c *Core) preempt(waiting []place.Verdict) {
	count := 0
	for _, v := range waiting {
		j := c.jobs[v.Job]
		if j == nil || j.phase != stPending || !j.row.Spec.Urgent || v.Reason == place.ReasonImpossible || count == preemptEach {
			continue
		}
		if _, has := c.claims[j.id]; has {
			continue
		}
		choice, ok := place.Victims(c.snapshot(), c.waiting(j))
		if !ok {
			continue
		}
		count++
		c.claims[j.id] = claim{place.Claim{Job: j.id, Worker: choice.Worker, Size: j.size}, c.now + claimFor}
		c.log(event.Preempted, map[string]any{"job": j.id, "worker": choice.Worker, "victims": len(choice.Victims)})
		for _, id := range choice.Victims {
			c.evict(id.Job, "preempted by urgent job "+string(j.id))
		}
	}
}
