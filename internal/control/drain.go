package control

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// drainEach bounds the tasks of a draining worker that are being moved at the
// same time: each needs a checkpoint and a place elsewhere.
const maxMovesPerWorker = 4

// followDrain starts or ends the draining of a worker as its labels say.
func (c *Core) updateDraining(p *peer) {
	on := mergeLabels(p.worker.Labels, c.config.Workers[p.worker.ID])[model.LabelDrain] == "true"
	changed := on != p.draining
	p.draining = on
	if tracker := c.opts.Health; tracker != nil && (changed || on) {
		c.applyHealth(tracker.SetDraining(c.now, p.worker.ID, on))
	}
	c.planNeeded = c.planNeeded || changed
}

// drain moves the tasks of draining workers, a few at a time.
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

// drainWorker evicts the tasks that lose least first. Long-running ones, for
// which a stop is worse, go when nothing else is left.
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
