package jobdaemon

import (
	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Messages of a jobHandler to the controller.
type (
	jobStored struct {
		job     workload.Job
		applied actor.Reply[bool]
	}
	cancelStored struct {
		id      workload.JobID
		queue   workload.QueueName
		applied actor.Reply[bool]
	}
	phaseQuery struct {
		id    workload.JobID
		reply actor.Reply[phaseAnswer]
	}
	queueLengthQuery struct {
		queue workload.QueueName
		reply actor.Reply[int]
	}
	phaseRead struct {
		id     workload.JobID
		status workload.JobStatus
	}
	phaseAnswer struct {
		status workload.JobStatus
		known  bool // the job is in the cache
	}
)

func (c *controller) phaseQuery(m *phaseQuery) {
	status, known := c.phases.status(m.id, c.now())
	m.reply.Put(phaseAnswer{status, known})
}

// jobStored caches a job that a caller of this entry submitted, and passes it to
// the owner.
func (c *controller) jobStored(m *jobStored) {
	c.admissions.end(m.job.ID)
	c.phases.update(msg.JobPhase{ID: m.job.ID, Queue: m.job.Queue, Tasks: m.job.TaskCount()}, c.now())
	c.submitToOwner(&msg.JobSubmitted{Job: m.job})
	m.applied.Put(true)
}

func (c *controller) cancelStored(m *cancelStored) {
	c.phases.forgetRead(m.id)
	if c.jobs != nil {
		c.jobs.Cancel(m.id)
	} else {
		c.cancels.add(m.id, c.now())
		c.sendCancels()
	}
	m.applied.Put(true)
}

// submitToOwner passes a stored job to the owner. An owner that it does not reach receives
// the job through its watch of the table service.
func (c *controller) submitToOwner(m *msg.JobSubmitted) {
	if c.jobs != nil {
		c.applyToJobs(&peerLink{hello: &msg.PeerHello{Member: c.self}}, m)
		return
	}
	for _, l := range c.ownerLinks() {
		c.send(l, m)
	}
}

// ownerLinks returns a link to the owner of the jobs, if there is one. While the owner is
// not known, it returns one to each linked entry: the one that owns the jobs applies what
// is sent, and the others ignore it.
func (c *controller) ownerLinks() []*peerLink {
	if c.jobs != nil {
		return nil
	}
	owner := c.owner.Owner()
	if owner == "" {
		return c.entryLinks()
	}
	if l := c.entryLink(owner); l != nil {
		return []*peerLink{l}
	}
	return nil
}
