package jobs

import (
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
	c.limitReservations()
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
		h.reservedSince, h.reservations = 0, reservations{} // the runs hold the host
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

// drained reports whether a reserved host is ready for isolated tasks: the runs that
// end by themselves have ended, or the reservation has lasted long enough for them.
func (h *host) drained() bool {
	return h.core.now-h.reservedSince >= maxReservation || h.endingRuns() == 0
}

// fitsApart reports whether the task can run on a host that is reserved or held.
func (h *host) fitsApart(t *task) bool {
	view := h.view(t.step)
	view.Blocked = h.unready()
	return hostselect.Check(t.step.selectionTask(), view) == hostselect.Fits
}

// suitsApart reports whether the task could run on a host, reserved or not, if
// nothing else that ends ran there.
func (h *host) suitsApart(t *task) bool {
	view := h.view(t.step)
	view.Blocked = h.unready()
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
// first, among those that could run the task if nothing else that ends ran there. A
// host that isolated tasks have just held is reserved again, unless it is the turn of
// overdue tasks.
func (c *Core) hostToReserve(t *task) *host {
	var best *host
	for _, h := range c.hostsByName {
		if h.unproven > 0 || h.reservedSince != 0 || h.holds > 0 || h.reservations.pausedUntil != 0 || h.room.task != nil {
			continue
		}
		if !h.suitsApart(t) {
			continue
		}
		if h.wasHeld() {
			if !h.fitsOverdue() {
				return h
			}
			h.pauseReservations(overdueTurn)
			continue
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
