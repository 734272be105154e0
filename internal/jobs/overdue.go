package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

const (
	// lastingOverdueAfter is the wait after which a long-running task may be placed
	// ahead of more urgent ones. It leaves two thirds of the 3 s within which such a
	// task has to start.
	lastingOverdueAfter = time.Second
	// overdueAfter is the same for the other tasks.
	overdueAfter = 3 * time.Second
)

// overdueWait returns the wait after which the tasks of the step are overdue.
func (s *step) overdueWait() time.Duration {
	if s.spec.LongRunning {
		return lastingOverdueAfter
	}
	return overdueAfter
}

// overdue reports whether the task has waited so long that more urgent ones no longer
// go before it.
func (t *task) overdue() bool {
	return t.step.job.core.now-t.readySince >= t.step.overdueWait()
}

// overdueSteps returns the steps that may have overdue tasks, in the order in which
// they have become overdue. It leaves out those for which no host is left, and those
// that wait for the end of the recovery.
func (c *Core) overdueSteps() []*step {
	var list []*step
	for _, g := range c.waiting.order {
		c.visits++
		if g.searches[anySpeed].examined == c.improvements || c.recoveryDeadline != 0 && g.mayHaveStarted() {
			continue
		}
		for _, s := range g.steps {
			c.visits++
			if c.now-s.waitsSince >= s.overdueWait() {
				list = append(list, s)
			}
		}
	}
	slices.SortFunc(list, compareOverdue)
	return list
}

func compareOverdue(a, b *step) int {
	if order := cmp.Compare(a.waitsSince+a.overdueWait(), b.waitsSince+b.overdueWait()); order != 0 {
		return order
	}
	if moreUrgent(a, b) {
		return -1
	}
	return 1
}

// fitsOverdue reports whether the host has room for an overdue task.
func (h *host) fitsOverdue() bool {
	examined := map[*group]bool{}
	for _, s := range h.core.overdueSteps() {
		if examined[s.group] {
			continue
		}
		examined[s.group] = true
		if hostselect.Check(s.selectionTask(), h.view(s)) == hostselect.Fits {
			return true
		}
	}
	return false
}

// placeOverdue starts overdue tasks ahead of more urgent ones, within the part of the
// rate of orders that is kept for them.
func (c *Core) placeOverdue() {
	c.orders.class = ordersOverdue
	defer func() { c.orders.class = ordersByUrgency }()
	for _, s := range c.overdueSteps() {
		p := placement{step: s, group: s.group, overdueOnly: true}
		if !p.run() {
			return
		}
	}
}
