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
	if t := c.opts.Health; t != nil {
		if up {
			t.Add(c.now, p.worker.ID)
		}
		c.applyHealth(t.SetLinkUp(c.now, p.worker.ID, up))
	}
}

func (c *Core) noteStart(j *job) {
	if t := c.opts.Health; t != nil {
		t.Started(c.now, j.attempt.worker, j.attemptID())
		c.rate(c.peers[j.attempt.worker])
	}
}

func (c *Core) noteOutcome(j *job, o outcome) {
	t := c.opts.Health
	if t == nil {
		return
	}
	worker, id, class := j.attempt.worker, j.attemptID(), j.row.Spec.Class
	switch o {
	case outcomeDone:
		c.applyHealth(t.Succeeded(c.now, worker, id, class))
	case outcomeFailed:
		c.applyHealth(t.Failed(c.now, worker, id, class))
	default:
		t.Stopped(worker, id)
	}
	c.rate(c.peers[worker])
}

// tickHealth runs the timeouts of the policy and applies the limits that
// change with time alone.
func (c *Core) tickHealth() {
	if t := c.opts.Health; t != nil {
		c.applyHealth(t.Tick(c.now))
		for _, p := range c.sortedPeers() {
			c.rate(p)
		}
	}
}

func (c *Core) applyHealth(changes []health.Change) {
	for _, ch := range changes {
		switch {
		case ch.ParkedJob != "":
			if j := c.jobs[ch.ParkedJob]; j != nil {
				j.parked = ch.Reason
			}
		case c.peers[ch.Worker] != nil:
			c.log(event.WorkerHealth, map[string]any{"worker": ch.Worker, "state": ch.State.String(), "reason": ch.Reason})
			c.peers[ch.Worker].reason = ch.Reason
			c.rate(c.peers[ch.Worker])
		}
	}
}

// rate tells the ledger whether the worker may get tasks: only with a
// confirmed lease, and as far as the health policy trusts it.
func (c *Core) rate(p *peer) {
	state := place.WorkerSuspect
	switch {
	case p.state == stUnlinked:
		state = place.WorkerDown
	case p.state == stReady && p.rounds >= leaseRounds:
		state = c.trust(p.worker.ID)
	}
	if w, ok := c.ledger.Worker(p.worker.ID); ok && w.State != state {
		c.ledger.SetState(p.worker.ID, state)
		c.planning = c.planning || state == place.WorkerReady || state == place.WorkerProbation
	}
}

func (c *Core) trust(id model.WorkerID) place.WorkerState {
	t := c.opts.Health
	if t == nil {
		return place.WorkerReady
	}
	if unproven, limit := t.UnprovenAttempts(c.now, id); limit > 0 && unproven >= limit {
		return place.WorkerSuspect
	}
	return t.State(id)
}

// avoid lists the workers on which a job failed.
func (c *Core) avoid(id model.JobID) []model.WorkerID {
	if t := c.opts.Health; t != nil {
		return t.Avoid(id)
	}
	return nil
}

func (c *Core) forgetHealth(id model.JobID) {
	if t := c.opts.Health; t != nil {
		t.ForgetJob(id)
	}
}
