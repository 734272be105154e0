package control

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// maxMovesPerWorker bounds the tasks of a draining worker that are evicted at
// the same time: each needs a checkpoint and capacity on another worker.
const maxMovesPerWorker = 4

// updateDraining starts or ends the draining of a worker according to its
// labels.
func (c *Core) updateDraining(p *peer) {
	draining := mergeLabels(p.worker.Labels, c.config.Workers[p.worker.ID])[model.LabelDrain] == "true"
	changed := draining != p.draining
	p.draining = draining
	if tracker := c.opts.Health; tracker != nil && (changed || draining) {
		c.applyHealth(tracker.SetDraining(c.now, p.worker.ID, draining))
	}
	c.planNeeded = c.planNeeded || changed
}

// drain evicts the tasks of draining workers, a few at a time.
func (c *Core) drain() {
	if c.cell.state != stOwning || !c.loaded {
		return
	}
	for _, p := range c.sortedPeers() {
		if p.draining && p.state == stReady {
			c.drainWorker(p)
		}
	}
}

// drainWorker evicts the tasks that have run for the shortest time first, since
// they lose the least work. Long-running tasks are evicted last, because an
// interruption costs them more.
func (c *Core) drainWorker(p *peer) {
	moving := 0
	for _, j := range c.jobs {
		if j.attempt.live && j.attempt.worker == p.worker.ID && j.phase == stEvicting {
			moving++
		}
	}
	list := c.tasksOn(p)
	slices.SortStableFunc(list, func(a, b *job) int {
		if a.row.Spec.LongRunning != b.row.Spec.LongRunning {
			if b.row.Spec.LongRunning {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.attempt.report.RanFor, b.attempt.report.RanFor)
	})
	for _, j := range list {
		if moving == maxMovesPerWorker {
			return
		}
		if j.phase == stJobRunning {
			c.evict(j.id, "its worker is drained")
			moving++
		}
	}
}
