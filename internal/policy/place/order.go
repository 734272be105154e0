package place

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// budget is a team's quota and use.
type budget struct {
	usage, quota model.Resources
	hasQuota     bool
}

// allows reports whether the quota leaves room for size.
func (b *budget) allows(size model.Resources) bool {
	return !b.hasQuota || b.usage.Add(size).Fits(b.quota)
}

// teamQueue holds a team's waiting jobs in submission order.
type teamQueue struct {
	team  model.Team
	jobs  []*Job
	ratio float64 // use relative to quota, in whole steps of fairStep
	*budget
}

// teamHeap orders teams by use relative to quota.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].ratio != h[j].ratio {
		return h[i].ratio < h[j].ratio
	}
	if a, b := h[i].jobs[0].SubmitOrder, h[j].jobs[0].SubmitOrder; a != b {
		return a < b
	}
	return h[i].team < h[j].team
}
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *teamHeap) Push(x any)   { *h = append(*h, x.(*teamQueue)) }
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// budgets returns the quota and use of each team with waiting jobs. The
// ratio of a team without a quota is relative to the whole cell.
func budgets(s *Snapshot) map[model.Team]*budget {
	all := map[model.Team]*budget{}
	for i := range s.Jobs {
		team := s.Jobs[i].Spec.Team
		if _, ok := all[team]; !ok {
			quota, limited := s.Quotas[team]
			all[team] = &budget{s.TeamUse[team], quota, limited}
		}
	}
	return all
}

// offer calls try for each job that keep selects, the team with the least use
// relative to its quota first, each team's jobs in submission order.
func forEachJob(s *Snapshot, cellCapacity model.Resources, budgets map[model.Team]*budget, include func(*Job) bool, try func(*Job, *budget)) {
	queues := map[model.Team]*teamQueue{}
	var teams teamHeap
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if !include(j) {
			continue
		}
		q := queues[j.Spec.Team]
		if q == nil {
			q = &teamQueue{team: j.Spec.Team, budget: budgets[j.Spec.Team]}
			queues[j.Spec.Team] = q
			teams = append(teams, q)
		}
		q.jobs = append(q.jobs, j)
	}
	bySubmitOrder := func(a, b *Job) int { return cmp.Compare(a.SubmitOrder, b.SubmitOrder) }
	step := fairStep(teams, cellCapacity)
	ratio := func(q *teamQueue) float64 { return math.Round(q.usageRatio(cellCapacity) / step) }
	for _, q := range teams {
		if !slices.IsSortedFunc(q.jobs, bySubmitOrder) {
			slices.SortStableFunc(q.jobs, bySubmitOrder)
		}
		q.ratio = ratio(q)
	}
	heap.Init(&teams)
	for len(teams) > 0 {
		q := teams[0]
		job := q.jobs[0]
		q.jobs = q.jobs[1:]
		try(job, q.budget)
		if len(q.jobs) == 0 {
			heap.Pop(&teams)
			continue
		}
		q.ratio = ratio(q)
		heap.Fix(&teams, 0)
	}
}

// leastFairStep is the step of use relative to quota while the cell is empty.
const minFairStep = 0.05

// relative returns the use relative to the quota, or to the whole cell.
func (b *budget) usageRatio(cellCapacity model.Resources) float64 {
	if b.hasQuota {
		return dominantShare(b.usage, b.quota)
	}
	return dominantShare(b.usage, cellCapacity)
}

// fairStep returns the difference of use relative to quota that counts: the
// mean of the teams, so that a team is ahead or behind when it is half a mean
// from the others. Without steps old large jobs lost their turn to young
// small ones of other teams, and packing lost 1.6%.
func fairStep(teams teamHeap, cellCapacity model.Resources) float64 {
	sum := 0.0
	for _, q := range teams {
		sum += q.usageRatio(cellCapacity)
	}
	return max(minFairStep, sum/float64(max(1, len(teams))))
}
