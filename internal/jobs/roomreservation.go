package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

const (
	// maxRoomReservation is how long a host may be kept free for a long-running task. If
	// the runs there have not ended by then, another host is tried.
	maxRoomReservation = 3 * time.Second
	// roomReservationPause is the time after that in which the host is not kept free
	// again.
	roomReservationPause = 3 * time.Second
	// roomInterval is the minimum time between two searches for hosts to keep free.
	roomInterval = 200 * time.Millisecond
	// maxRoomSteps bounds the waiting steps of each requirement that are considered then,
	// and maxRoomSearches the searches of all hosts. The next time goes on behind them.
	maxRoomSteps    = 16
	maxRoomSearches = 16
)

// roomReservation keeps a host from starting tasks that end, until an overdue long-running
// task has room there. Otherwise smaller tasks take the room of each run that ends.
type roomReservation struct {
	task        *task         // nil: none
	since       time.Duration // when it began
	pausedUntil time.Duration // when the host may be kept free again; 0: now
}

// reserveRoom keeps hosts free for the overdue long-running tasks that no host can run, one
// host for each. If there is none for a task, there is none for others with its requirement.
func (c *Core) reserveRoom() {
	if c.waiting.lastingTasks == 0 || c.recoveryDeadline != 0 || c.now-c.roomSearchedAt < roomInterval {
		return
	}
	c.roomSearchedAt = c.now
	list := slices.DeleteFunc(c.overdueLastingTasks(), func(t *task) bool {
		return slices.ContainsFunc(c.roomHosts, func(h *host) bool { return h.room.task == t })
	})
	if len(list) == 0 {
		return
	}
	limit := c.isolationLimit() - len(c.reserved) - c.heldHosts()
	first := c.roomCursor % len(list)
	c.roomCursor = 0
	noneLeft := map[*group]bool{}
	searches := 0
	for i := range list {
		t := list[(first+i)%len(list)]
		switch {
		case len(c.roomHosts) >= limit:
			return
		case noneLeft[t.step.group]:
			continue
		case searches == maxRoomSearches:
			c.roomCursor = first + i
			return
		}
		searches++
		h := c.hostToKeepFree(t)
		if h == nil {
			noneLeft[t.step.group] = true
			continue
		}
		h.room = roomReservation{task: t, since: c.now}
		c.roomHosts = append(c.roomHosts, h)
	}
}

// dropRoomReservations gives up the reservations that are not needed any more, or that have
// lasted too long.
func (c *Core) dropRoomReservations() {
	c.roomHosts = slices.DeleteFunc(c.roomHosts, func(h *host) bool {
		late := c.now-h.room.since >= maxRoomReservation
		if h.room.task.ready && h.acceptsStarts() && !late {
			return false
		}
		h.room = roomReservation{}
		if late {
			h.room.pausedUntil = c.now + roomReservationPause
		}
		h.improve()
		return true
	})
}

// overdueLastingTasks returns the long-running tasks that wait for too long because no host
// can run them, the most urgent first.
func (c *Core) overdueLastingTasks() []*task {
	var list []*task
	for _, g := range c.waiting.order {
		c.visits++
		noHostLeft := g.searches[anySpeed].examined == c.improvements
		if !g.steps[0].spec.LongRunning || !noHostLeft {
			continue
		}
		for _, s := range g.steps[:min(len(g.steps), maxRoomSteps)] {
			c.visits++
			if c.now-s.waitsSince < s.overdueWait() {
				continue
			}
			for _, t := range s.ready {
				c.visits++
				if t.overdue() {
					list = append(list, t)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		switch {
		case a.step == b.step:
			return cmp.Compare(a.index, b.index)
		case moreUrgent(a.step, b.step):
			return -1
		}
		return 1
	})
	return list
}

// hostToKeepFree returns the host that is expected to have room for the task first once
// nothing that ends starts there, or nil.
func (c *Core) hostToKeepFree(t *task) *host {
	var best *host
	var bestWait time.Duration
	for _, h := range c.hostsByName {
		c.visits++
		if h.room.task != nil || c.now < h.room.pausedUntil || h.reservedSince != 0 || h.holds > 0 || h.unproven > 0 || !h.suitsApart(t) {
			continue
		}
		if wait := h.timeUntilRoom(t); best == nil || wait < bestWait {
			best, bestWait = h, wait
		}
	}
	return best
}

// timeUntilRoom estimates when enough runs that end by themselves have ended on the host.
func (h *host) timeUntilRoom(t *task) time.Duration {
	type ending struct {
		run *run
		in  time.Duration
	}
	var endings []ending
	for _, r := range h.sortedRuns() {
		if !r.task.step.spec.LongRunning {
			endings = append(endings, ending{r, r.remaining()})
		}
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	view := h.view(t.step)
	view.Blocked = hostselect.Fits
	wait := time.Duration(0)
	for _, e := range endings {
		if hostselect.Check(t.step.selectionTask(), view) == hostselect.Fits {
			break
		}
		view.Free = view.Free.Add(e.run.task.step.spec.Charge())
		wait = e.in
	}
	return wait
}

// keptFreeFor reports whether the host is kept free and keeps the tasks of the step away.
func (h *host) keptFreeFor(s *step) bool { return h.room.task != nil && !s.spec.LongRunning }
