package control

import (
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/health"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// outcome is the way in which an attempt ended, as the health tracker counts it
// for its worker and its job.
type outcome uint8

const (
	outcomeNone outcome = iota // stopped, abandoned or withdrawn: neither a success nor a failure
	outcomeDone
	outcomeFailed
)

// trackLink reports a new or lost link to the health tracker. A core without a
// tracker trusts every worker.
func (c *Core) trackLink(p *peer, up bool) {
	if tracker := c.opts.Health; tracker != nil {
		if up {
			tracker.Add(c.now, p.worker.ID)
		}
		c.applyHealth(tracker.SetLinkUp(c.now, p.worker.ID, up))
	}
}

func (c *Core) trackStart(j *job) {
	if tracker := c.opts.Health; tracker != nil {
		tracker.Started(c.now, j.attempt.worker, j.attemptID())
		c.updateWorkerState(c.peers[j.attempt.worker])
	}
}

func (c *Core) trackOutcome(j *job, o outcome) {
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

// tickHealth runs the timeouts of the health tracker and updates the states of
// the workers, whose limits for new tasks also change with time alone.
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

// updateWorkerState sets the state of a worker in the ledger, which decides
// whether it may get tasks: only with a confirmed lease, and only as the health
// tracker allows.
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

// healthState returns the state of a worker by its health. A worker that runs
// as many unproven tasks as allowed counts as suspect, so it gets no more.
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

// workersToAvoid returns the workers on which a job failed.
func (c *Core) workersToAvoid(id model.JobID) []model.WorkerID {
	if tracker := c.opts.Health; tracker != nil {
		return tracker.Avoid(id)
	}
	return nil
}

func (c *Core) removeJobHealth(id model.JobID) {
	if tracker := c.opts.Health; tracker != nil {
		tracker.ForgetJob(id)
	}
}
