package control

import (
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

func (c *Core) receive(worker model.WorkerID, m msg.Control) {
	p := c.peers[worker]
	if b, ok := m.(*msg.BackendState); ok && p != nil {
		c.onBackendState(p, b) // sent once, so it is recorded before the cell is owned, too
		return
	}
	if p == nil || !c.isOwner() || !c.loaded {
		return // agents repeat messages that are not acknowledged
	}
	switch m := m.(type) {
	case *msg.Inventory:
		c.onInventory(p, m)
	case *msg.LeaseAck:
		c.onLeaseAck(p, m)
	case *msg.TaskReport:
		if m.Epoch == c.cell.owner.Epoch {
			c.onReport(p, *m)
		}
	case *msg.UsageReport:
		c.onServiceUsage(p, m.Services)
		for _, t := range m.Tasks {
			c.onTaskUsage(p, t)
		}
	}
}

// onInventory compares the attempts of an agent with those charged to it. An
// attempt that may have been running and that the agent does not know is
// stopped, so that a start command that arrives later has no effect.
func (c *Core) onInventory(p *peer, m *msg.Inventory) {
	if m.Epoch != c.cell.owner.Epoch {
		return // sent before the agent adopted the present epoch
	}
	c.stepPeer(p, evInventory)
	known := map[model.AttemptID]bool{}
	for _, r := range m.Attempts {
		known[r.Attempt] = true
		c.onReport(p, r)
	}
	absent := func(j *job) bool {
		return j.attempt.live && j.attempt.worker == p.worker.ID && !known[j.attemptID()]
	}
	for _, j := range selectJobs(c.jobs, absent) {
		c.stepAttempt(j, evAbsent)
	}
}

// onReport handles the reported state of one attempt. Only the live attempt of
// its job counts; other attempts are stopped while they run and acknowledged
// when they have ended.
func (c *Core) onReport(p *peer, r msg.TaskReport) {
	j := c.jobs[r.Attempt.Job]
	ended := r.State != model.TaskRunning
	if ended {
		delete(p.abandoned, r.Attempt)
	}
	current := j != nil && j.attempt.live && j.attemptID() == r.Attempt && j.attempt.worker == p.worker.ID
	switch {
	case current:
		j.attempt.report = r
		c.saveCheckpoint(j, r.Checkpoint)
		if ended {
			c.stepAttempt(j, evEnded)
		} else {
			c.stepAttempt(j, evRunning)
		}
	case !ended:
		p.abandoned[r.Attempt] = true
		c.send(p, &msg.StopTask{Command: c.newCommand(), Attempt: r.Attempt})
	}
	if ended {
		c.acknowledge(p, j, r.Attempt)
	}
}

// acknowledge acknowledges the end of an attempt once its result is committed,
// so that the agent can remove the attempt.
func (c *Core) acknowledge(p *peer, j *job, id model.AttemptID) {
	if j != nil && j.committed < j.generation {
		j.hooks = append(j.hooks, hook{j.generation, hookAcknowledge, id.Number, p.worker.ID})
		return
	}
	c.send(p, &msg.TaskAck{Command: c.newCommand(), Attempt: id})
}

// saveCheckpoint records a new checkpoint in the job row. An eviction that waits
// for the checkpoint continues when its name is committed.
func (c *Core) saveCheckpoint(j *job, name string) {
	if name == "" || name == j.row.Checkpoint {
		return
	}
	j.row.Checkpoint = name
	c.queueWrite(j)
	if j.attempt.state == stCheckpointing {
		j.awaitCommit(hookCheckpointCommitted)
	}
}

func (c *Core) onTaskUsage(p *peer, r msg.TaskReport) {
	j := c.jobs[r.Attempt.Job]
	if j == nil || !j.attempt.live || j.attemptID() != r.Attempt || j.attempt.worker != p.worker.ID {
		return
	}
	c.ledger.RecordUsage(r.Attempt, r.Usage)
	c.ledger.SetLostWork(r.Attempt, r.RanFor)
	c.saveCheckpoint(j, r.Checkpoint)
}
