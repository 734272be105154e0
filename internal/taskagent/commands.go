package taskagent

import (
	"maps"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

func (c *Core) receive(from model.EntryID, m msg.Control) {
	switch m := m.(type) {
	case *msg.CellClaim:
		if c.admit(from, m.Command) {
			c.sendInventory(from)
		}
	case *msg.LeaseRenew:
		if c.admit(from, m.Command) && c.lease.Receive(c.now, m.Sequence, m.TTL, m.LongRunningTTL) {
			c.send(&msg.LeaseAck{Cell: c.cell, Epoch: c.epoch, Sequence: m.Sequence})
			c.renewAdopted()
		}
	case *msg.StartTask:
		if c.admit(from, m.Command) {
			c.onStart(m)
		}
	case *msg.StopTask:
		c.command(from, m.Command, m.Attempt, evStop)
	case *msg.CheckpointTask:
		c.command(from, m.Command, m.Attempt, evCheckpoint)
	case *msg.ThrottleTask:
		if h := c.attempts[m.Attempt]; h != nil {
			if m.Cell == c.cell && m.Epoch >= c.epoch {
				h.percent = m.Percent
			}
			c.command(from, m.Command, m.Attempt, evThrottle)
		}
	case *msg.TaskAck:
		if h := c.attempts[m.Attempt]; h != nil && c.admit(from, m.Command) {
			c.step(h, evAcknowledge)
		}
	}
}

// admit reports whether a command comes from the current owner of the cell,
// and adopts the sender if its epoch is higher than all before.
func (c *Core) admit(from model.EntryID, cmd msg.Command) bool {
	switch {
	case cmd.Cell != c.cell || cmd.Epoch < c.epoch:
		c.emit(Log{event.TaskStaleCommand, map[string]any{"entry": from, "epoch": uint64(cmd.Epoch), "known": uint64(c.epoch)}})
		return false
	case cmd.Epoch > c.epoch:
		c.epoch, c.owner = cmd.Epoch, from
		c.lease.NewGranter()
		c.emit(Log{event.TaskEpochAdopted, map[string]any{"entry": from, "epoch": uint64(cmd.Epoch)}})
	}
	return true
}

// attempt returns the record of an attempt, which it creates if there is room.
func (c *Core) attempt(id model.AttemptID) *attempt {
	h := c.attempts[id]
	if h == nil && len(c.attempts) < maxAttempts {
		h = &attempt{id: id, state: c.machine.Initial(), spec: model.JobSpec{ID: id.Job}}
		c.attempts[id] = h
	}
	return h
}

func (c *Core) onStart(m *msg.StartTask) {
	// Until the first list, a task of this attempt may run that was started
	// before the agent was restarted. The controller repeats the command.
	if !c.adopted {
		return
	}
	h := c.attempt(m.Attempt)
	if h == nil {
		return
	}
	if h.state == stAbsent {
		h.resume = m.Checkpoint
	}
	h.spec = m.Spec
	c.step(h, evStart)
}

func (c *Core) command(from model.EntryID, cmd msg.Command, id model.AttemptID, e chart.Event) {
	if !c.admit(from, cmd) {
		return
	}
	h := c.attempts[id]
	if h == nil && e == evStop && c.adopted {
		h = c.attempt(id)
	}
	if h != nil {
		c.step(h, e)
	}
}

// renewAdopted renews at once what runs on the worker's lease alone.
func (c *Core) renewAdopted() {
	for _, h := range c.sorted() {
		if h.adopted && c.lease.Valid(c.now, h.spec.LongRunning) {
			h.adopted = false
			c.step(h, evRenew)
		}
	}
}

func (c *Core) inventory() *msg.Inventory {
	inv := &msg.Inventory{Cell: c.cell, Epoch: c.epoch}
	for _, h := range c.sorted() {
		inv.Attempts = append(inv.Attempts, c.taskReport(h))
	}
	return inv
}

func (c *Core) taskReport(h *attempt) msg.TaskReport {
	r := msg.TaskReport{
		Attempt: h.id, Epoch: c.epoch, State: h.report.state, Checkpoint: h.report.checkpoint,
		Reason: h.report.reason, Usage: h.report.usage, RanFor: h.report.ranFor,
	}
	if h.state == stStarting || h.state == stRunning || h.state == stStopping {
		r.State = model.TaskRunning // until the worker confirmed the end
	}
	if r.State == model.TaskDone {
		r.Result = h.report.result
	}
	if h.report.usageAt > 0 {
		r.Usage.Age += c.now - h.report.usageAt
	}
	return r
}

func (c *Core) sendReport(h *attempt) {
	r := c.taskReport(h)
	c.send(&r)
}

func (c *Core) reportUsage() {
	u := &msg.UsageReport{Worker: c.worker.ID, Capacity: c.worker.Capacity}
	for _, h := range c.sorted() {
		if h.state != stRunning || h.report.usageAt == 0 {
			continue
		}
		r := c.taskReport(h)
		u.Tasks = append(u.Tasks, r)
		u.Used = u.Used.Add(r.Usage.Resources)
		u.Age = max(u.Age, r.Usage.Age)
	}
	c.send(u)
}

func (c *Core) onAnswer(a CallResult) {
	h := c.attempts[a.Attempt]
	if h == nil {
		return
	}
	if a.Err != nil && !a.over() {
		c.emit(Log{event.TaskWorkerError, map[string]any{"call": a.Call.String(), "attempt": a.Attempt.String(), "error": a.Err.Error()}})
	}
	switch a.Call {
	case StartCall:
		c.onStarted(h, a)
	case RenewCall:
		h.renewing = false
	case CheckpointCall:
		h.checkpoint = false
		if a.Err == nil && a.Checkpoint != "" {
			h.report.checkpoint = a.Checkpoint
			c.step(h, evCheckpointed)
		}
	case StopCall:
		if a.Err == nil || a.NoTask {
			c.step(h, evStopped)
		}
	}
}

func (c *Core) onStarted(h *attempt, a CallResult) {
	switch {
	case a.Err == nil:
		c.step(h, evStarted)
	case a.Refused:
		h.report.reason = a.Err.Error()
		c.step(h, evNotStarted)
	default:
		h.report.reason = a.Err.Error()
		c.step(h, evUnknown)
	}
}

// onListed compares the worker's tasks with the attempts known here.
func (c *Core) onListed(e ListResult) {
	c.listing = false
	if e.Err != nil {
		c.emit(Log{event.TaskWorkerError, map[string]any{"call": "list", "error": e.Err.Error()}})
		return
	}
	for _, h := range c.attempts {
		h.listed = false
	}
	first := !c.adopted
	c.adopted = true
	for _, t := range e.Tasks {
		c.onTask(t)
	}
	for _, h := range c.sorted() {
		if h.state == stRunning && !h.listed && h.changedAt < c.listFrom {
			c.step(h, evLost)
		}
	}
	if first {
		for _, entry := range slices.Sorted(maps.Keys(c.links)) {
			c.sendInventory(entry)
		}
	}
}

func (c *Core) onTask(t Task) {
	known := c.attempts[t.Attempt] != nil
	h := c.attempt(t.Attempt)
	if h == nil {
		return
	}
	h.listed = true
	if t.State == model.TaskRunning {
		h.record(c.now, t)
		if !known {
			c.emit(Log{event.TaskAdopted, map[string]any{"attempt": t.Attempt.String()}})
		}
		// A list that is older than the end of the attempt proves nothing.
		if !known || h.changedAt < c.listFrom {
			c.step(h, evFound)
		}
		return
	}
	if h.state == stAbsent || h.state == stRunning || h.state == stStopping {
		h.record(c.now, t)
		h.finish(t)
		c.step(h, evEnded)
	}
}

func (h *attempt) record(now time.Duration, t Task) {
	h.report.usage, h.report.usageAt, h.report.ranFor = t.Usage, now, t.RanFor
	if t.Checkpoint != "" {
		h.report.checkpoint = t.Checkpoint
	}
}

func (h *attempt) finish(t Task) {
	// A task that its worker ended by command keeps the reason of the command.
	if t.State == model.TaskStopped && h.report.state == model.TaskStopped {
		return
	}
	h.report.state, h.report.result, h.report.reason = t.State, t.Result, t.Reason
}
