package jobs

import (
	"maps"
	"slices"
	"strings"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// storeRound is what had changed when the round began. Its rows come first in the batches,
// and the ends that were applied before are acknowledged when all of them are stored,
// whatever has changed since.
type storeRound struct {
	jobs map[*job]struct{} // with rows of the round that are not in a batch yet
	ends map[workload.HostName]appliedEnds
}

// beginRound begins a round with all jobs that have changed, unless one goes on.
func (c *Core) beginRound() {
	if len(c.round.jobs) > 0 {
		return
	}
	c.round = storeRound{jobs: maps.Clone(c.dirty), ends: map[workload.HostName]appliedEnds{}}
	for j := range c.dirty {
		j.roundParts = maps.Clone(j.dirtyParts)
	}
	for h := range c.unstoredEnds {
		c.round.ends[h.info.Name] = appliedEnds{h.info.Instance, h.info.StartedAtMS, h.lastStorableEnd()}
	}
}

// jobsToStore returns the jobs that have changed, those of the round first.
func (c *Core) jobsToStore() []*job {
	byID := func(a, b *job) int { return strings.Compare(string(a.spec.ID), string(b.spec.ID)) }
	jobs := slices.SortedFunc(maps.Keys(c.round.jobs), byID)
	for _, j := range slices.SortedFunc(maps.Keys(c.dirty), byID) {
		if _, first := c.round.jobs[j]; !first {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// written records that rows of the job are in the batch, and adds the tasks whose crashes
// they have.
func (j *job) written(b *Batch) {
	if j.phase().Final() {
		j.roundParts, j.dirtyParts = nil, nil
	}
	if len(j.roundParts) == 0 {
		delete(j.core.round.jobs, j)
	}
	if len(j.dirtyParts) == 0 {
		delete(j.core.dirty, j)
	}
	var left []*task
	for _, t := range j.unstoredCrashes {
		if _, waits := j.dirtyParts[t.part()]; waits {
			left = append(left, t)
		} else {
			b.crashes = append(b.crashes, t)
		}
	}
	j.unstoredCrashes = left
}

// rewrite makes the next batches write again what a batch had of the job that was not
// stored. The ends of the round wait for it.
func (j *job) rewrite(parts []AttemptsPart) {
	j.core.dirty[j], j.core.round.jobs[j] = struct{}{}, struct{}{}
	for _, p := range parts {
		j.addPart(&j.dirtyParts, p.Number)
		j.addPart(&j.roundParts, p.Number)
	}
}

// addPart adds the number of a row of attempts to a set.
func (j *job) addPart(set *map[int]struct{}, number int) {
	if *set == nil {
		*set = map[int]struct{}{}
	}
	(*set)[number] = struct{}{}
}
