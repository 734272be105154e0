package place

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// budget is a team's usage and quota.
type budget struct {
	usage, quota model.Resources
	hasQuota     bool
}

// allows reports whether size more fits the quota.
func (b *budget) allows(size model.Resources) bool {
	return !b.hasQuota || b.usage.Add(size).Fits(b.quota)
}

// teamQueue holds a team's waiting jobs in submission order.
type teamQueue struct {
	team  model.Team
	jobs  []*Job
	ratio float64 // usage relative to quota, in whole steps of fairStep
	*budget
}

// teamHeap is a heap of teams by usage relative to quota; ties go to the team
// with the earlier job. It implements heap.Interface.
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

// budgets returns the usage and quota of each team with waiting jobs.
func budgets(s *Snapshot) map[model.Team]*budget {
	all := map[model.Team]*budget{}
	for i := range s.Jobs {
		team := s.Jobs[i].Spec.Team
		if _, ok := all[team]; !ok {
			quota, hasQuota := s.Quotas[team]
			all[team] = &budget{s.TeamUse[team], quota, hasQuota}
		}
	}
	return all
}

// forEachJob calls try for each job for which include returns true. The next
// job is always that of the team with the least usage relative to its quota;
// the jobs of a team follow in submission order.
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

// minFairStep is the lower bound of fairStep; it applies while the cell is
// nearly empty.
const minFairStep = 0.05

// usageRatio returns the team's dominant share of its quota, or of the whole
// cell if it has no quota.
func (b *budget) usageRatio(cellCapacity model.Resources) float64 {
	if b.hasQuota {
		return dominantShare(b.usage, b.quota)
	}
	return dominantShare(b.usage, cellCapacity)
}

// fairStep returns the step to which usage ratios are rounded before they are
// compared: the mean ratio of the teams, so that a team takes precedence only
// when it is about half a mean below the others. Without rounding, large jobs
// were overtaken by later small jobs of other teams, and packing was 1.6% worse.
func fairStep(teams teamHeap, cellCapacity model.Resources) float64 {
	sum := 0.0
	for _, q := range teams {
		sum += q.usageRatio(cellCapacity)
	}
	return max(minFairStep, sum/float64(max(1, len(teams))))
}
