package control

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/interfere"
)

const (
	// throttleInterval is the time between decisions on the processor limits of
	// the tasks on a worker with a service.
	throttleInterval = time.Second
	// throttleRepeatInterval is the time after which a processor limit is sent
	// again: a command may be lost, and a restarted agent has no limits.
	throttleRepeatInterval = 10 * time.Second
	// loadMaxAge is the age up to which a reported service load is used.
	loadMaxAge = 30 * time.Second
)

// serviceLoad is the newest usage report of a service class on a worker.
type serviceLoad struct {
	usage      msg.ServiceUsage
	receivedAt time.Duration
}

// onServiceUsage records the measurements of the backend server on a worker.
// Classes without a target latency are ignored.
func (c *Core) onServiceUsage(p *peer, list []msg.ServiceUsage) {
	for _, usage := range list {
		target, ok := c.targetLatency(usage.Class)
		if !ok {
			continue
		}
		key := interfere.ServiceClass{Service: usage.Service, Class: usage.Class}
		if p.serviceLoads == nil {
			p.serviceLoads = map[interfere.ServiceClass]serviceLoad{}
		}
		p.serviceLoads[key] = serviceLoad{usage: usage, receivedAt: c.now}
		if usage.P99 > 0 {
			c.interference.Observe(interfere.Report{
				Worker: p.worker.ID, Service: key, From: c.now - msg.UsageWindow, To: c.now, P99: usage.P99, Target: target,
			})
		}
	}
}

// targetLatency returns the target of a class for its p99, from the class's
// label. The result is false if the class has no target.
func (c *Core) targetLatency(class model.Class) (time.Duration, bool) {
	ms, err := strconv.ParseInt(c.config.Classes[class][model.LabelTargetP99], 10, 32)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// throttle limits or evicts tasks that make a service on their worker miss its
// target latency.
func (c *Core) throttle() {
	if c.throttleAt > c.now || c.cell.state != stOwning || !c.loaded {
		return
	}
	c.throttleAt = c.now + throttleInterval
	for _, p := range c.sortedPeers() {
		if p.state == stReady && len(p.serviceLoads) > 0 {
			c.throttleWorker(p)
		}
	}
}

func (c *Core) throttleWorker(p *peer) {
	host := interfere.Host{Worker: p.worker.ID, CPU: p.worker.Capacity.CPU, Services: p.recentLoads(c.now)}
	if len(host.Services) == 0 || host.CPU <= 0 {
		return
	}
	for _, j := range c.tasksOn(p) {
		t := c.interferenceTask(j)
		if t.CPULimitPercent == 0 {
			t.CPULimitPercent = c.interference.Admit(host, t)
			c.setCPULimit(j, t.CPULimitPercent)
		}
		host.Tasks = append(host.Tasks, t)
	}
	for _, a := range c.interference.Decide(c.now, host) {
		j := c.jobs[a.Attempt.Job]
		if j == nil || j.attemptID() != a.Attempt {
			continue
		}
		if a.Step == interfere.StepCheckpointStop {
			c.log(event.TaskEvicted, map[string]any{"job": j.id, "worker": p.worker.ID, "reason": a.Reason})
			c.evict(j.id, a.Reason)
			continue
		}
		c.setCPULimit(j, a.CPULimitPercent)
	}
	c.repeatThrottles(p)
}

// recentLoads returns the recent service loads of the worker in a fixed order, and
// removes older ones.
func (p *peer) recentLoads(now time.Duration) []interfere.ServiceLoad {
	var list []interfere.ServiceLoad
	for key, load := range p.serviceLoads {
		if now-load.receivedAt > loadMaxAge {
			delete(p.serviceLoads, key)
			continue
		}
		list = append(list, interfere.ServiceLoad{
			Service: key, Busy: load.usage.Busy, Arrivals: load.usage.Arrivals, Queued: float64(load.usage.Queued),
			ServiceTime: load.usage.Mean, Slots: load.usage.Slots,
		})
	}
	slices.SortFunc(list, func(a, b interfere.ServiceLoad) int {
		return cmp.Or(cmp.Compare(a.Service.Service, b.Service.Service), cmp.Compare(a.Service.Class, b.Service.Class))
	})
	return list
}

// tasksOn returns the jobs whose attempts run on a worker.
func (c *Core) tasksOn(p *peer) []*job {
	w, _ := c.ledger.Worker(p.worker.ID)
	var list []*job
	for _, t := range w.Tasks {
		if j := c.jobs[t.Attempt.Job]; j != nil && j.attempt.live && j.attemptID() == t.Attempt && j.attempt.state == stRunning {
			list = append(list, j)
		}
	}
	return list
}

func (c *Core) interferenceTask(j *job) interfere.Task {
	t := interfere.Task{
		Attempt: j.attemptID(), Class: j.row.Spec.Class, CPU: j.size.CPU, CPULimitPercent: j.attempt.cpuLimitPercent,
		YieldRank: c.rules.YieldRank(c.jobLabels(j.row.Spec)), Protected: j.row.Spec.Urgent,
	}
	if w, ok := c.ledger.Worker(j.attempt.worker); ok {
		for _, charged := range w.Tasks {
			if charged.Attempt == t.Attempt {
				t.LostWork, t.Stopping = charged.LostWork, charged.Stopping
			}
		}
	}
	return t
}

// setCPULimit sends a processor limit, in percent of the task's processors, to
// the agent of the attempt.
func (c *Core) setCPULimit(j *job, percent int) {
	j.core = c
	j.attempt.cpuLimitPercent, j.attempt.cpuLimitSentAt = percent, c.now
	j.command(&msg.ThrottleTask{Command: c.newCommand(), Attempt: j.attemptID(), Percent: percent})
}

// repeatThrottles sends the processor limits below 100 % again when they are
// older than throttleRepeatInterval.
func (c *Core) repeatThrottles(p *peer) {
	for _, j := range c.tasksOn(p) {
		if j.attempt.cpuLimitPercent != 100 && c.now-j.attempt.cpuLimitSentAt > throttleRepeatInterval {
			c.setCPULimit(j, j.attempt.cpuLimitPercent)
		}
	}
}
