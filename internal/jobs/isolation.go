package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

const (
	// isolationShare is the part of the hosts that isolated tasks may take at the
	// same time: one host in so many, and at least one.
	isolationShare = 4
	// maxReservation is how long a host that is reserved for an isolated task gets no
	// other tasks before the task starts there beside those that still run.
	maxReservation = 1500 * time.Millisecond
	// maxIsolatedTogether bounds the isolated tasks that start together.
	maxIsolatedTogether = 4
	// waitingPerHost is the number of waiting isolated tasks for each host that may be
	// taken and for each of those that start together.
	waitingPerHost = 4
	// minIsolatedCrashes is the number of crashes from which on a task is isolated.
	minIsolatedCrashes = 2
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
	limit := c.pass.Views + maxSuspectViews
	for _, t := range tasks {
		if c.pass.Views >= limit {
			c.nextSuspect, c.planNeeded = t, true
			return
		}
		if h := t.searchApart(c.hostForSuspect); h != nil {
			h.startObserved(t)
		} else {
			t.logApart("no host for a suspect")
		}
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

// placeIsolated starts isolated tasks on the hosts that are reserved for them, and
// reserves hosts for the others.
func (c *Core) placeIsolated(tasks []*task) {
	c.reserved = slices.DeleteFunc(c.reserved, func(h *host) bool {
		if slices.ContainsFunc(tasks, h.suitsApart) {
			return false
		}
		h.endReservation()
		return true
	})
	tasks = c.startIsolated(tasks)
	c.reserveHosts(tasks)
	if slices.ContainsFunc(c.reserved, (*host).drained) {
		c.startIsolated(tasks)
	}
}

// startIsolated starts isolated tasks on reserved hosts and returns the others. A
// task starts alone, unless many more tasks wait than hosts may be taken: then some
// tasks of two crashes start together, so that the many that are not the cause are
// cleared soon. After a crash each of them starts alone.
func (c *Core) startIsolated(tasks []*task) []*task {
	limit := c.isolationLimit()
	together := min(maxIsolatedTogether, max(1, len(tasks)/(waitingPerHost*limit)))
	var rest []*task
	for len(tasks) > 0 {
		t := tasks[0]
		tasks = tasks[1:]
		i := slices.IndexFunc(c.reserved, func(h *host) bool { return h.drained() && h.fitsApart(t) })
		if i < 0 {
			t.logApart("isolated")
			rest = append(rest, t)
			continue
		}
		h := c.reserved[i]
		c.reserved = slices.Delete(c.reserved, i, i+1)
		h.startObserved(t)
		tasks = slices.DeleteFunc(tasks, func(u *task) bool {
			if h.holds >= together || max(t.crashes.possible, u.crashes.possible) > minIsolatedCrashes || !h.fitsApart(u) {
				return false
			}
			h.startObserved(u)
			return true
		})
		h.reservedSince = 0 // the runs hold the host
	}
	return rest
}

// reserveHosts reserves hosts for the tasks that have none.
func (c *Core) reserveHosts(tasks []*task) {
	free := slices.Clone(c.reserved)
	for _, t := range tasks {
		if i := slices.IndexFunc(free, func(h *host) bool { return h.suitsApart(t) }); i >= 0 {
			free = slices.Delete(free, i, i+1)
			continue
		}
		if len(c.reserved)+c.heldHosts() >= c.isolationLimit() {
			return
		}
		h := t.searchApart(c.hostToReserve)
		if h == nil {
			continue
		}
		h.reservedSince = c.now
		c.reserved = append(c.reserved, h)
		c.planNeeded = true
	}
}

// endReservation lets other tasks start on the host.
func (h *host) endReservation() {
	h.reservedSince = 0
	h.improve()
}

// drained reports whether a reserved host is ready for isolated tasks: the runs that
// end by themselves have ended, or the reservation has lasted long enough for them.
func (h *host) drained() bool {
	return h.core.now-h.reservedSince >= maxReservation || h.endingRuns() == 0
}

// fitsApart reports whether the task can run on a host that is reserved or held.
func (h *host) fitsApart(t *task) bool {
	view := h.view(t.step)
	view.Reachable = h.acceptsStarts()
	return hostselect.Check(t.step.selectionTask(), view) == hostselect.Fits
}

// suitsApart reports whether the task could run on a host, reserved or not, if
// nothing else that ends ran there.
func (h *host) suitsApart(t *task) bool {
	view := h.view(t.step)
	view.Reachable = h.acceptsStarts()
	view.Free = h.info.Capacity
	for _, r := range h.runs {
		if r.task.step.spec.LongRunning {
			view.Free = view.Free.Sub(r.task.step.spec.Charge())
		}
	}
	return hostselect.Check(t.step.selectionTask(), view) == hostselect.Fits
}

// endingRuns returns the number of runs on the host that end by themselves.
func (h *host) endingRuns() int {
	n := 0
	for _, r := range h.runs {
		h.core.visits++
		if !r.task.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// isolationLimit returns the number of hosts that may be reserved or held.
func (c *Core) isolationLimit() int {
	ready := 0
	for _, h := range c.hostsByName {
		c.visits++
		if h.acceptsStarts() {
			ready++
		}
	}
	return max(1, ready/isolationShare)
}

// heldHosts returns the number of hosts with runs beside which nothing starts.
func (c *Core) heldHosts() int {
	held := 0
	for _, h := range c.hostsByName {
		c.visits++
		if h.holds > 0 {
			held++
		}
	}
	return held
}

// hostToReserve returns the host with the fewest runs, those of long-running tasks
// first, among those that could run the task if nothing else that ends ran there.
func (c *Core) hostToReserve(t *task) *host {
	var best *host
	for _, h := range c.hostsByName {
		if h.unproven > 0 || h.reservedSince != 0 || h.holds > 0 {
			continue
		}
		if !h.suitsApart(t) {
			continue
		}
		if h.wasHeld() {
			return h
		}
		if best == nil || h.fewerRuns(best) {
			best = h
		}
	}
	return best
}

// wasHeld reports whether the last run beside which nothing started has just
// survived or ended.
func (h *host) wasHeld() bool { return h.holds == 0 && h.heldUntil != 0 && h.heldUntil == h.core.now }

func (h *host) fewerRuns(other *host) bool {
	lasting, otherLasting := len(h.runs)-h.endingRuns(), len(other.runs)-other.endingRuns()
	if lasting != otherLasting {
		return lasting < otherLasting
	}
	return len(h.runs) < len(other.runs)
}

// logApart logs once why the task waits for a host on which it may run apart.
func (t *task) logApart(reason string) {
	if t.unplacedLogged {
		return
	}
	t.unplacedLogged = true
	t.step.job.core.addDecision(Decision{Kind: TaskUnplaced, Job: t.step.job.spec.ID, Run: t.lastRun(), Detail: reason})
}
