package jobs

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// The number of a run has the owner's epoch in the bits above epochShift and a
// counter in the bits of numberMask, so that the run numbers of a task increase
// across changes of ownership without being stored.
const (
	epochShift = 20
	numberMask = 1<<epochShift - 1
)

// PassStats describes one planning pass.
type PassStats struct {
	Views   int // hosts examined for a task; a host counts once for each examination
	Started int // runs ordered
	Waiting int // tasks that are still ready after the pass
}

// LastPass returns the statistics of the last planning pass.
func (c *Core) LastPass() PassStats { return c.pass }

// Plan starts the tasks that a host can run, moves throttled runs, and queues
// the start and stop requests for the agents. It does nothing and returns false
// if no input since the last call may have changed the plan.
func (c *Core) Plan() bool {
	if !c.planNeeded {
		return false
	}
	c.planNeeded = false
	c.pass = PassStats{}
	hosts := c.sortedHosts()
	for _, t := range c.readyTasks() {
		c.place(t, hosts)
	}
	c.moveThrottled(hosts)
	for _, h := range hosts {
		h.flush()
	}
	c.pass.Waiting = len(c.ready)
	return true
}

// readyTasks returns the ready tasks, the most urgent first. Tasks of recovered
// jobs are left out during the recovery.
func (c *Core) readyTasks() []*task {
	list := make([]*task, 0, len(c.ready))
	for t := range c.ready {
		if t.step.job.recovered && c.recoveryDeadline != 0 {
			continue
		}
		list = append(list, t)
	}
	sort.Slice(list, func(i, k int) bool { return moreUrgent(list[i], list[k]) })
	return list
}

// moreUrgent reports whether a is placed before b: by priority, then by the
// job's deadline.
func moreUrgent(a, b *task) bool {
	ja, jb := a.step.job, b.step.job
	switch {
	case ja.spec.Priority != jb.spec.Priority:
		return ja.spec.Priority < jb.spec.Priority
	case ja.deadline != jb.deadline:
		return ja.deadline < jb.deadline
	case ja != jb:
		return ja.spec.ID < jb.spec.ID
	case a.step.number != b.step.number:
		return a.step.number < b.step.number
	}
	return a.index < b.index
}

// place starts the task on the best host, if there is one. Hosts on which the
// task failed are considered only if no other host can run it.
func (c *Core) place(t *task, hosts []*host) {
	views := make([]hostselect.Host, len(hosts))
	for i, h := range hosts {
		views[i] = h.view(t)
	}
	selection := t.selectionTask()
	selection.MayWait = c.now-t.readySince < hostselect.MaxWait
	i, excluded := hostselect.Choose(selection, views)
	if i < 0 && len(t.failedHosts) > 0 && excluded[hostselect.Avoided] > 0 {
		for k := range views {
			views[k].Avoided = false
		}
		i, excluded = hostselect.Choose(selection, views)
	}
	if i < 0 {
		t.logUnplaced(excluded)
		return
	}
	hosts[i].start(t)
}

// selectionTask returns the task as hostselect sees it.
func (t *task) selectionTask() hostselect.Task {
	j := &t.step.job.spec
	return hostselect.Task{Step: t.step.spec, Service: j.Service, Priority: j.Priority}
}

// view returns the host as hostselect sees it for a task.
func (h *host) view(t *task) hostselect.Host {
	h.core.pass.Views++
	v := hostselect.Host{
		Info: &h.info, Reachable: h.state == hostReady && h.inventoryStartedAtMS == h.info.StartedAtMS && h.core.hostList.stored[h.info.Name], Free: h.info.Capacity.Sub(h.used), BestEffortCPU: h.bestEffortCPU, Serving: h.servingRuns,
		Suspect: h.suspect(), Failing: h.failing(), Avoided: t.failedHosts[h.info.Name],
	}
	if t.step.spec.BestEffort && h.servingRuns > 0 {
		v.BestEffortHeadroom = h.bestEffortHeadroom(t)
	}
	for _, r := range h.runs {
		if r.task.step == t.step {
			v.SameStep++
		}
		if spec := r.task.step.spec; spec.Serves() && spec.Image == t.step.spec.Image {
			v.SameImage = true
		}
	}
	return v
}

// logUnplaced logs why no host can run the task, once each time it becomes
// ready.
func (t *task) logUnplaced(excluded map[hostselect.Reason]int) {
	if t.unplacedLogged {
		return
	}
	t.unplacedLogged = true
	var parts []string
	for r := hostselect.Fits + 1; r <= hostselect.LowSpeed; r++ {
		if excluded[r] > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", r, excluded[r]))
		}
	}
	t.step.job.core.addDecision(Decision{Kind: TaskUnplaced, Job: t.step.job.spec.ID, Run: workload.RunID{Task: t.id()}, Detail: strings.Join(parts, " ")})
}

// start charges a new run of the task to the host and queues its request.
func (h *host) start(t *task) {
	c := h.core
	t.starts++
	id := workload.RunID{Task: t.id(), Number: (c.epoch-1)<<epochShift + t.starts}
	r := h.charge(t, id)
	delete(c.ready, t)
	c.pass.Started++
	h.starts = append(h.starts, msg.RunStart{Size: r.size(), Specification: t.step.job.spec.Specification, Checkpoint: t.checkpoint})
	c.addDecision(Decision{Kind: RunOrdered, Job: t.step.job.spec.ID, Run: id, Host: h.info.Name, Age: c.now - t.readySince})
}

// flush sends the queued requests to the agent.
func (h *host) flush() {
	if h.state != hostReady {
		h.stops = nil // sent again after the next inventory
		return
	}
	if len(h.stops) > 0 {
		h.core.send(h, &msg.StopRuns{Epoch: h.core.epoch, Runs: h.stops})
		h.stops = nil
	}
	if len(h.starts) > 0 {
		h.core.send(h, &msg.StartRuns{Epoch: h.core.epoch, Instance: h.info.Instance, StartedAtMS: h.info.StartedAtMS, Starts: h.starts})
		h.starts = nil
	}
}

// Recover keeps the tasks of restored jobs from starting until every expected
// host has sent its inventory or certainly has no runs, which is at most one
// second after LeaseExpiry.
func (c *Core) Recover() {
	c.recoveryDeadline = c.now + LeaseExpiry + time.Second
	c.endRecoveryIfComplete()
}
