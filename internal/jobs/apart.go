package jobs

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

// suspects holds the ready tasks that may be the cause of crashes, in the order in
// which they became ready.
type suspects []*task

func compareSuspects(a, b *task) int {
	if a.readySince != b.readySince {
		return cmp.Compare(a.readySince, b.readySince)
	}
	return cmp.Compare(a.id().String(), b.id().String())
}

func (s *suspects) add(t *task) {
	i, _ := slices.BinarySearchFunc(*s, t, compareSuspects)
	*s = slices.Insert(*s, i, t)
	t.readyApart = true
}

// remove makes a task no longer ready. It has no effect on a task that is not.
func (s *suspects) remove(t *task) {
	if !t.readyApart {
		return
	}
	i, _ := slices.BinarySearchFunc(*s, t, compareSuspects)
	*s = slices.Delete(*s, i, i+1)
	t.readyApart = false
}

// unready makes a task no longer ready, whether it is a suspect or not.
func (c *Core) unready(t *task) {
	c.waiting.remove(t)
	c.suspects.remove(t)
}

// placeSuspects starts ready tasks that may be the cause of crashes: a suspect on
// the host that has least to lose, and an isolated task on a host that was reserved
// for it.
func (c *Core) placeSuspects() {
	if len(c.suspects) == 0 && len(c.reserved) == 0 {
		return
	}
	var isolated, others []*task
	for _, t := range c.suspects {
		switch {
		case c.recoveryDeadline != 0 && t.step.mayHaveStarted():
		case t.suspicion == taskIsolated:
			isolated = append(isolated, t)
		default:
			others = append(others, t)
		}
	}
	c.placeOnHosts(others)
	c.placeIsolated(isolated)
}

// placeOnHosts starts suspects that are not isolated. A pass that has examined
// maxSuspectViews hosts for them leaves the rest to the next one, which begins there.
func (c *Core) placeOnHosts(tasks []*task) {
	if i := slices.Index(tasks, c.nextSuspect); i > 0 {
		tasks = slices.Concat(tasks[i:], tasks[:i])
	}
	c.nextSuspect = nil
	c.orders.class = ordersOfSuspects
	defer func() { c.orders.class = ordersByUrgency }()
	limit := c.pass.Views + maxSuspectViews
	for _, t := range tasks {
		if c.pass.Views >= limit {
			c.nextSuspect, c.planNeeded = t, true
			return
		}
		h := t.searchApart(c.hostForSuspect)
		if h == nil {
			t.logApart("no host for a suspect")
			continue
		}
		if !c.orders.admits() {
			c.nextSuspect = t // after the next refill
			return
		}
		h.startObserved(t)
	}
}

// searchApart returns the host that the search chooses for the task, or nil. It does
// not search again before a host has improved.
func (t *task) searchApart(search func(*task) *host) *host {
	c := t.step.job.core
	if t.searchedApart == c.improvements {
		return nil
	}
	h := search(t)
	if h == nil {
		t.searchedApart = c.improvements
	}
	return h
}

// startObserved starts a task that may be the cause of crashes.
func (h *host) startObserved(t *task) {
	h.start(t)
	t.runs[len(t.runs)-1].observe()
}

// hostForSuspect returns the host that has least to lose among those that can run
// the task, or nil: the one with the fewest runs that may be causes themselves, so
// that a crash tells them apart, and of these the one with the fewest runs.
func (c *Core) hostForSuspect(t *task) *host {
	selection := t.step.selectionTask()
	var best *host
	for _, h := range c.hostsByName {
		if hostselect.Check(selection, h.view(t.step)) != hostselect.Fits {
			continue
		}
		if best == nil || h.unproven < best.unproven || h.unproven == best.unproven && len(h.runs) < len(best.runs) {
			best = h
		}
	}
	return best
}

// logApart logs once why the task waits for a host on which it may run apart.
func (t *task) logApart(reason string) {
	if t.unplacedLogged {
		return
	}
	t.unplacedLogged = true
	t.step.job.core.addDecision(Decision{Kind: TaskUnplaced, Job: t.step.job.spec.ID, Run: t.lastRun(), Detail: reason})
}
