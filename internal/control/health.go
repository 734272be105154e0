package control

import (
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/health"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// outcome is how an attempt ended, for the health of its worker and job.
type outcome uint8

const (
	outcomeNone outcome = iota // stopped, lost or withdrawn: nobody is to blame
	outcomeDone
	outcomeFailed
)

// noteLink tells the health policy about a link. A core without a tracker
// trusts every worker.
func (c *Core) noteLink(p *peer, up bool) {
	if tracker := c.opts.Health; tracker != nil {
		if up {
			tracker.Add(c.now, p.worker.ID)
		}
		c.applyHealth(tracker.SetLinkUp(c.now, p.worker.ID, up))
	}
}

func (c *Core) noteStart(j *job) {
	if tracker := c.opts.Health; tracker != nil {
		tracker.Started(c.now, j.attempt.worker, j.attemptID())
		c.updateWorkerState(c.peers[j.attempt.worker])
	}
}

func (c *Core) noteOutcome(j *job, o outcome) {
	tracker := c.opts.Health
	if tracker == nil {
		return
	}
	worker, id, class := j.attempt.worker, j.attemptID(), j.row.Spec.Class
	switch o {
	case outcomeDone:
		c.applyHealth(tracker.Succeeded(c.now, worker, id, class))
	case outcomeFailed:
		c.applyHealth(tracker.Failed(c.now, worker, id, class))
	default:
		tracker.Stopped(worker, id)
	}
	c.updateWorkerState(c.peers[worker])
}

// tickHealth runs the timeouts of the policy and applies the limits that
// change with time alone.
func (c *Core) tickHealth() {
	if tracker := c.opts.Health; tracker != nil {
		c.applyHealth(tracker.Tick(c.now))
		for _, p := range c.sortedPeers() {
			c.updateWorkerState(p)
		}
	}
}

func (c *Core) applyHealth(changes []health.Change) {
	for _, change := range changes {
		switch {
		case change.ParkedJob != "":
			if j := c.jobs[change.ParkedJob]; j != nil {
				j.parkReason = change.Reason
			}
		case c.peers[change.Worker] != nil:
			c.log(event.WorkerHealth, map[string]any{"worker": change.Worker, "state": change.State.String(), "reason": change.Reason})
			c.peers[change.Worker].healthReason = change.Reason
			c.updateWorkerState(c.peers[change.Worker])
		}
	}
}

// rate tells the ledger whether the worker may get tasks: only with a
// confirmed lease, and as far as the health policy trusts it.
func (c *Core) updateWorkerState(p *peer) {
	state := place.WorkerSuspect
	switch {
	case p.state == stUnlinked:
		state = place.WorkerDown
	case p.state == stReady && p.ackedRenewals >= minAckedRenewals:
		state = c.healthState(p.worker.ID)
	}
	if w, ok := c.ledger.Worker(p.worker.ID); ok && w.State != state {
		c.ledger.SetState(p.worker.ID, state)
		c.planNeeded = c.planNeeded || state == place.WorkerReady || state == place.WorkerProbation
	}
}

func (c *Core) healthState(id model.WorkerID) place.WorkerState {
	tracker := c.opts.Health
	if tracker == nil {
		return place.WorkerReady
	}
	if unproven, limit := tracker.UnprovenAttempts(c.now, id); limit > 0 && unproven >= limit {
		return place.WorkerSuspect
	}
	return tracker.State(id)
}

// avoid lists the workers on which a job failed.
func (c *Core) workersToAvoid(id model.JobID) []model.WorkerID {
	if tracker := c.opts.Health; tracker != nil {
		return tracker.Avoid(id)
	}
	return nil
}

func (c *Core) forgetHealth(id model.JobID) {
	if tracker := c.opts.Health; tracker != nil {
		tracker.ForgetJob(id)
	}
}
