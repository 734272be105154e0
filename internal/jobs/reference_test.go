package jobs

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

// planByReference plans without any record of earlier passes: it examines every
// host for every ready task, and counts the runs on each host.
func planByReference(c *Core) {
	c.dropRoomReservations()
	if c.overdueFirst {
		c.overdueFirst = false
		placeByReference(c, overdueByReference(c))
	}
	placeSuspectsByReference(c)
	placeByReference(c, readyByReference(c))
	reserveRoomByReference(c)
	for _, h := range c.hostsByName {
		h.flush()
	}
}

// placeByReference starts the tasks of a list in its order.
func placeByReference(c *Core, list []*task) {
	for _, t := range list {
		if t.suspicion != taskTrusted {
			continue
		}
		views := make([]hostselect.Host, len(c.hostsByName))
		for i, h := range c.hostsByName {
			views[i] = viewByReference(h, t)
		}
		task := t.step.selectionTask()
		task.MayWait = c.now-t.readySince < hostselect.MaxWait
		i, excluded := hostselect.Choose(task, views)
		if i < 0 && excluded[hostselect.Avoided] > 0 {
			for k := range views {
				views[k].Avoided = false
			}
			i, _ = hostselect.Choose(task, views)
		}
		if i >= 0 {
			c.hostsByName[i].start(t)
		}
	}
}

// reserveRoomByReference keeps a host free for each long-running task that has waited for a
// second and that no host can run.
func reserveRoomByReference(c *Core) {
	if c.recoveryDeadline != 0 || c.now-c.roomSearchedAt < roomInterval {
		return
	}
	for _, t := range readyByReference(c) {
		if !t.step.spec.LongRunning || t.suspicion != taskTrusted {
			continue
		}
		c.roomSearchedAt = c.now
		if c.now < t.readySince+time.Second {
			continue
		}
		kept := slices.ContainsFunc(c.hostsByName, func(h *host) bool { return h.room.task == t })
		if h := c.hostToKeepFree(t); !kept && h != nil && len(c.roomHosts) < c.isolationLimit() {
			h.room = roomReservation{task: t, since: c.now}
			c.roomHosts = append(c.roomHosts, h)
		}
	}
}

// unprovenByReference returns the number of runs on the host that may show that
// their task crashes backend servers.
func unprovenByReference(h *host) int {
	n := 0
	for _, r := range h.runs {
		if r.unproven {
			n++
		}
	}
	return n
}

// placeSuspectsByReference starts the tasks that may be the cause of a crash, in
// the order in which they became ready. No task of a twin is isolated, because
// nothing is stored.
func placeSuspectsByReference(c *Core) {
	list := slices.DeleteFunc(readyByReference(c), func(t *task) bool { return t.suspicion != taskSuspect })
	slices.SortStableFunc(list, func(a, b *task) int {
		if a.readySince != b.readySince {
			return int(a.readySince - b.readySince)
		}
		return strings.Compare(a.id().String(), b.id().String())
	})
	for _, t := range list {
		var best *host
		var least [2]int
		for _, h := range c.hostsByName {
			v := viewByReference(h, t)
			v.Avoided = false
			if hostselect.Check(t.step.selectionTask(), v) != hostselect.Fits {
				continue
			}
			if cost := [2]int{unprovenByReference(h), len(h.runs)}; best == nil || slices.Compare(cost[:], least[:]) < 0 {
				best, least = h, cost
			}
		}
		if best != nil {
			best.start(t)
			t.runs[len(t.runs)-1].observe()
		}
	}
}

// readyByReference returns every task that may start, the most urgent first.
func readyByReference(c *Core) []*task {
	var list []*task
	for _, j := range c.jobs {
		if j.phase().Final() || c.recoveryDeadline != 0 && waitsByReference(j) {
			continue
		}
		for _, s := range j.steps {
			for _, t := range s.tasks {
				if s.mayStart() && !t.done && len(t.runs) == 0 {
					list = append(list, t)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		switch {
		case a.step == b.step:
			return a.index - b.index
		case moreUrgent(a.step, b.step):
			return -1
		}
		return 1
	})
	return list
}

// overdueByReference returns the tasks that may go before more urgent ones, those of
// the step first that has become overdue first.
func overdueByReference(c *Core) []*task {
	waits := func(t *task) time.Duration {
		if t.step.spec.LongRunning {
			return time.Second
		}
		return 3 * time.Second
	}
	list := slices.DeleteFunc(readyByReference(c), func(t *task) bool { return c.now < t.readySince+waits(t) })
	slices.SortStableFunc(list, func(a, b *task) int {
		return int(a.step.waitsSince + waits(a) - b.step.waitsSince - waits(b))
	})
	return list
}

// waitsByReference reports whether the tasks of the job wait for the recovery.
func waitsByReference(j *job) bool {
	sameEpoch := j.spec.Epoch == j.core.epoch
	switch j.core.formerOwners {
	case FormerOwnersEnded:
		return j.recovered && !sameEpoch
	case FormerOwnersFenced:
		return !sameEpoch
	}
	return true
}

func viewByReference(h *host, t *task) hostselect.Host {
	v := hostselect.Host{
		Info: &h.info,
		Free: h.info.Capacity, Suspect: h.suspect() || unprovenByReference(h) > 0, Failing: h.failing(), Avoided: t.failedHosts[h.info.Name], BestEffortHeadroom: math.Inf(1),
	}
	switch {
	case h.state != hostReady || h.inventoryStartedAtMS != h.info.StartedAtMS || !h.core.hostList.stored[h.info.Name]:
		v.Blocked = hostselect.Unreachable
	case h.room.task != nil && !t.step.spec.LongRunning:
		v.Blocked = hostselect.KeptFree
	}
	for _, r := range h.runs {
		spec := r.task.step.spec
		v.Free = v.Free.Sub(spec.Charge())
		if spec.BestEffort {
			v.BestEffortCPU += spec.Need.MilliCPU
		}
		if r.task.step == t.step {
			v.SameStep++
		}
		if spec.Serves() {
			v.Serving++
			v.SameImage = v.SameImage || spec.Image == t.step.spec.Image
			v.BestEffortHeadroom = min(v.BestEffortHeadroom, headroomByReference(h, r.task, t))
		}
	}
	return v
}

// headroomByReference returns how many best-effort tasks like t the serving task
// beside them tolerates.
func headroomByReference(h *host, serving, t *task) float64 {
	c := h.core
	coefficient := func(image string) float64 {
		return c.contention.Coefficient(contention.Pair{Serving: contention.Image(serving.step.spec.Image), BestEffort: contention.Image(image)})
	}
	share := func(milliCPU int64) float64 { return h.cpuShare(contention.UsedShare * float64(milliCPU)) }
	budget := contention.PressureBudget(c.contention.Load(loadGroup(serving.step.job), c.now+loadLookahead))
	// Added by image and in their order, since the result is compared exactly.
	milliCPU := map[string]int64{}
	for _, r := range h.runs {
		if s := r.task.step; s.spec.BestEffort && coefficient(s.spec.Image) <= coefficient(t.step.spec.Image) {
			milliCPU[s.spec.Image] += s.spec.Need.MilliCPU
		}
	}
	pressure := 0.0
	for _, image := range slices.Sorted(maps.Keys(milliCPU)) {
		pressure += coefficient(image) * share(milliCPU[image])
	}
	return max(0, budget-pressure) / max(minPressure, share(t.step.spec.Need.MilliCPU)*coefficient(t.step.spec.Image))
}
