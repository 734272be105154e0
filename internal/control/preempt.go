package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

const (
	// maxPreemptionsPerPlan bounds the preemptions of a plan, because each takes
	// a snapshot.
	maxPreemptionsPerPlan = 8
	// capacityClaimDuration is longer than an eviction whose checkpoint times out.
	capacityClaimDuration = 2 * checkpointTimeout
)

// capacityClaim is capacity that is kept for an urgent job until a time.
type capacityClaim struct {
	place.Claim
	until time.Duration
}

// activeCapacityClaims removes the claims that have expired or whose job no
// longer waits, and returns the others.
func (c *Core) activeCapacityClaims() []place.Claim {
	var list []place.Claim
	for id, claim := range c.capacityClaims {
		j := c.jobs[id]
		if j == nil || j.phase != stPending || claim.until <= c.now {
			delete(c.capacityClaims, id)
			continue
		}
		list = append(list, claim.Claim)
	}
	slices.SortFunc(list, func(a, b place.Claim) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// preempt evicts tasks for urgent jobs that no worker has free capacity for.
func (c *Core) preempt(waiting []place.Verdict) {
	count := 0
	for _, verdict := range waiting {
		j := c.jobs[verdict.Job]
		if j == nil || j.phase != stPending || !j.row.Spec.Urgent || verdict.Reason == place.ReasonImpossible || count == maxPreemptionsPerPlan {
			continue
		}
		if _, has := c.capacityClaims[j.id]; has {
			continue
		}
		choice, ok := place.Victims(c.snapshot(), c.plannerJob(j))
		if !ok {
			continue
		}
		count++
		c.capacityClaims[j.id] = capacityClaim{place.Claim{Job: j.id, Worker: choice.Worker, Size: j.size}, c.now + capacityClaimDuration}
		c.log(event.Preempted, map[string]any{"job": j.id, "worker": choice.Worker, "victims": len(choice.Victims)})
		for _, id := range choice.Victims {
			c.evict(id.Job, "preempted by urgent job "+string(j.id))
		}
	}
}
