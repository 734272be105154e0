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

func (c *Core) onMessage(from model.EntryID, m msg.Control) {
	switch m := m.(type) {
	case *msg.CellClaim:
		if c.checkEpoch(from, m.Command) {
			c.sendInventory(from)
		}
	case *msg.LeaseRenew:
		if c.checkEpoch(from, m.Command) && c.lease.Receive(c.now, m.Sequence, m.TTL, m.LongRunningTTL) {
			c.send(&msg.LeaseAck{Cell: c.cell, Epoch: c.epoch, Sequence: m.Sequence})
			c.renewAdopted()
		}
	case *msg.StartTask:
		if c.checkEpoch(from, m.Command) {
			c.onStart(m)
		}
	case *msg.StopTask:
		c.onCommand(from, m.Command, m.Attempt, evStop)
	case *msg.CheckpointTask:
		c.onCommand(from, m.Command, m.Attempt, evCheckpoint)
	case *msg.ThrottleTask:
		if a := c.attempts[m.Attempt]; a != nil {
			if m.Cell == c.cell && m.Epoch >= c.epoch {
				a.cpuLimitPercent = m.Percent
			}
			c.onCommand(from, m.Command, m.Attempt, evThrottle)
		}
	case *msg.TaskAck:
		if a := c.attempts[m.Attempt]; a != nil && c.checkEpoch(from, m.Command) {
			c.stepAttempt(a, evAcknowledge)
		}
	}
}

// checkEpoch reports whether a command comes from the current controller of
// the cell. A sender with a higher epoch than all before becomes the
// controller.
func (c *Core) checkEpoch(from model.EntryID, cmd msg.Command) bool {
	switch {
	case cmd.Cell != c.cell || cmd.Epoch < c.epoch:
		c.emit(Log{event.TaskStaleCommand, map[string]any{"entry": from, "epoch": uint64(cmd.Epoch), "known": uint64(c.epoch)}})
		return false
	case cmd.Epoch > c.epoch:
		c.epoch, c.controller = cmd.Epoch, from
		c.lease.NewGranter()
		c.emit(Log{event.TaskEpochAdopted, map[string]any{"entry": from, "epoch": uint64(cmd.Epoch)}})
	}
	return true
}

// findOrCreate returns the record of an attempt. It returns nil when there is
// none and maxAttempts records exist.
func (c *Core) findOrCreate(id model.AttemptID) *attempt {
	a := c.attempts[id]
	if a == nil && len(c.attempts) < maxAttempts {
		a = &attempt{id: id, state: c.machine.Initial(), spec: model.JobSpec{ID: id.Job}}
		c.attempts[id] = a
	}
	return a
}

func (c *Core) onStart(m *msg.StartTask) {
	// Before the first list it is not known whether the task already runs: it
	// may have been started before the agent was restarted. The controller
	// repeats the command.
	if !c.listReceived {
		return
	}
	a := c.findOrCreate(m.Attempt)
	if a == nil {
		return
	}
	if a.state == stAbsent {
		a.resumeFrom = m.Checkpoint
	}
	a.spec = m.Spec
	c.stepAttempt(a, evStart)
}

// onCommand applies a command as an event to the attempt. A stop command for an
// unknown attempt is recorded, so that a start command that arrives later has no
// effect.
func (c *Core) onCommand(from model.EntryID, cmd msg.Command, id model.AttemptID, e chart.Event) {
	if !c.checkEpoch(from, cmd) {
		return
	}
	a := c.attempts[id]
	if a == nil && e == evStop && c.listReceived {
		a = c.findOrCreate(id)
	}
	if a != nil {
		c.stepAttempt(a, e)
	}
}

// renewAdopted renews the worker's leases of adopted attempts without waiting
// for the next renewal, because these leases may end soon.
func (c *Core) renewAdopted() {
	for _, a := range c.sortedAttempts() {
		if a.adopted && c.lease.Valid(c.now, a.spec.LongRunning) {
			a.adopted = false
			c.stepAttempt(a, evRenew)
		}
	}
}

func (c *Core) inventory() *msg.Inventory {
	inv := &msg.Inventory{Cell: c.cell, Epoch: c.epoch}
	for _, a := range c.sortedAttempts() {
		inv.Attempts = append(inv.Attempts, c.taskReport(a))
	}
	return inv
}

func (c *Core) taskReport(a *attempt) msg.TaskReport {
	r := msg.TaskReport{
		Attempt: a.id, Epoch: c.epoch, State: a.report.state, Checkpoint: a.report.checkpoint,
		Reason: a.report.reason, Usage: a.report.usage, RanFor: a.report.ranFor,
	}
	if a.state == stStarting || a.state == stRunning || a.state == stStopping {
		r.State = model.TaskRunning // until the worker has confirmed the end
	}
	if r.State == model.TaskDone {
		r.Result = a.report.result
	}
	if a.report.usageReceivedAt > 0 {
		r.Usage.Age += c.now - a.report.usageReceivedAt
	}
	return r
}

func (c *Core) sendReport(a *attempt) {
	r := c.taskReport(a)
	c.send(&r)
}

func (c *Core) reportUsage() {
	u := &msg.UsageReport{Worker: c.worker.ID, Capacity: c.worker.Capacity}
	for _, a := range c.sortedAttempts() {
		if a.state != stRunning || a.report.usageReceivedAt == 0 {
			continue
		}
		r := c.taskReport(a)
		u.Tasks = append(u.Tasks, r)
		u.Used = u.Used.Add(r.Usage.Resources)
		u.Age = max(u.Age, r.Usage.Age)
	}
	c.send(u)
}

func (c *Core) onCallResult(r CallResult) {
	if r.Err == nil {
		c.answered()
	}
	a := c.attempts[r.Attempt]
	if a == nil {
		return
	}
	if r.Err != nil && !r.taskEnded() {
		c.emit(Log{event.TaskWorkerError, map[string]any{"call": r.Call.String(), "attempt": r.Attempt.String(), "error": r.Err.Error()}})
	}
	switch r.Call {
	case StartCall:
		c.onStartResult(a, r)
	case RenewCall:
		a.renewInFlight = false
	case CheckpointCall:
		a.checkpointInFlight = false
		if r.Err == nil && r.Checkpoint != "" {
			a.report.checkpoint = r.Checkpoint
			c.stepAttempt(a, evCheckpointed)
		}
	case StopCall:
		if r.Err == nil || r.NoTask {
			c.stepAttempt(a, evStopped)
		}
	}
}

func (c *Core) onStartResult(a *attempt, r CallResult) {
	switch {
	case r.Err == nil:
		c.stepAttempt(a, evStarted)
	case r.Refused:
		a.report.reason = r.Err.Error()
		c.stepAttempt(a, evNotStarted)
	default:
		a.report.reason = r.Err.Error()
		c.stepAttempt(a, evUnknown)
	}
}

// onListResult compares the worker's tasks with the agent's attempts.
func (c *Core) onListResult(e ListResult) {
	c.listInFlight = false
	if e.Err != nil {
		c.emit(Log{event.TaskWorkerError, map[string]any{"call": "list", "error": e.Err.Error()}})
		return
	}
	c.answered()
	for _, a := range c.attempts {
		a.listed = false
	}
	first := !c.listReceived
	c.listReceived = true
	for _, t := range e.Tasks {
		c.onListedTask(t)
	}
	for _, a := range c.sortedAttempts() {
		if a.state == stRunning && !a.listed && a.stateChangedAt < c.listSentAt {
			c.stepAttempt(a, evLost)
		}
	}
	if first {
		for _, entry := range slices.Sorted(maps.Keys(c.links)) {
			c.sendInventory(entry)
		}
	}
}

// onListedTask updates the attempt of a listed task. It adopts a running task
// without a record, such as one that was started before the agent restarted.
func (c *Core) onListedTask(t Task) {
	known := c.attempts[t.Attempt] != nil
	a := c.findOrCreate(t.Attempt)
	if a == nil {
		return
	}
	a.listed = true
	if t.State == model.TaskRunning {
		a.recordStatus(c.now, t)
		if !known {
			c.emit(Log{event.TaskAdopted, map[string]any{"attempt": t.Attempt.String()}})
		}
		// A list that was requested before the attempt ended may still
		// contain it.
		if !known || a.stateChangedAt < c.listSentAt {
			c.stepAttempt(a, evFound)
		}
		return
	}
	if a.state == stAbsent || a.state == stRunning || a.state == stStopping {
		a.recordStatus(c.now, t)
		a.recordEnd(t)
		c.stepAttempt(a, evEnded)
	}
}

func (a *attempt) recordStatus(now time.Duration, t Task) {
	a.report.usage, a.report.usageReceivedAt, a.report.ranFor = t.Usage, now, t.RanFor
	if t.Checkpoint != "" {
		a.report.checkpoint = t.Checkpoint
	}
}

func (a *attempt) recordEnd(t Task) {
	// A task that its worker ended by command keeps the reason of the command.
	if t.State == model.TaskStopped && a.report.state == model.TaskStopped {
		return
	}
	a.report.state, a.report.result, a.report.reason = t.State, t.Result, t.Reason
}
