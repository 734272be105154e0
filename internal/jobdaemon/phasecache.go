package jobdaemon

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// phaseRetention is how long an entry caches the phase of a job that has ended.
// Later calls are answered from the table service.
const phaseRetention = 200 * time.Second

// readPhaseLifetime is how long an entry answers from a phase that it has read
// from the table service. Until it receives the phase from the owner, it reads
// the rows of a job at most once in that time.
const readPhaseLifetime = time.Second

// phaseCache caches the phases of the jobs at an entry.
type phaseCache struct {
	jobs   map[workload.JobID]*cachedPhase
	queued map[workload.QueueName]int // number of queued jobs
	tasks  int                        // of the jobs that have not ended
	read   map[workload.JobID]readPhase
}

// readPhase is a phase that was read from the table service.
type readPhase struct {
	status workload.JobStatus
	at     time.Duration
}

type cachedPhase struct {
	phase   msg.JobPhase
	endedAt time.Duration
}

func newPhaseCache() *phaseCache {
	return &phaseCache{jobs: map[workload.JobID]*cachedPhase{}, queued: map[workload.QueueName]int{}, read: map[workload.JobID]readPhase{}}
}

// update records a phase, and reports whether the cache did not have it. Phases only
// advance: a message that arrives after a later phase is ignored.
func (c *phaseCache) update(p msg.JobPhase, now time.Duration) bool {
	j, known := c.jobs[p.ID]
	if known && p.Phase <= j.phase.Phase {
		return false
	}
	if known {
		c.count(j.phase, -1)
	} else {
		j = &cachedPhase{}
		c.jobs[p.ID] = j
	}
	j.phase = p
	c.count(p, 1)
	if p.Phase.Final() {
		j.endedAt = now
	}
	return true
}

// count adds n jobs with the phase p to the length of their queue and to the tasks that are
// held.
func (c *phaseCache) count(p msg.JobPhase, n int) {
	if !p.Phase.Final() {
		c.tasks += n * p.Tasks
	}
	if p.Phase == workload.Queued {
		c.queued[p.Queue] += n
	}
}

// status returns the status of a job, and whether the cache has it.
func (c *phaseCache) status(id workload.JobID, now time.Duration) (workload.JobStatus, bool) {
	if j, ok := c.jobs[id]; ok {
		return workload.JobStatus{Phase: j.phase.Phase, Failure: j.phase.Failure}, true
	}
	r, ok := c.read[id]
	return r.status, ok && now-r.at < readPhaseLifetime
}

// updateRead records a status that was read from the table service.
func (c *phaseCache) updateRead(id workload.JobID, s workload.JobStatus, now time.Duration) {
	c.read[id] = readPhase{s, now}
}

// forgetRead removes a phase that was read before the job's rows changed.
func (c *phaseCache) forgetRead(id workload.JobID) { delete(c.read, id) }

// prune removes jobs that ended more than phaseRetention ago, and phases that
// were read more than readPhaseLifetime ago.
func (c *phaseCache) prune(now time.Duration) {
	for id, j := range c.jobs {
		if j.phase.Phase.Final() && now-j.endedAt > phaseRetention {
			delete(c.jobs, id)
		}
	}
	for id, r := range c.read {
		if now-r.at >= readPhaseLifetime {
			delete(c.read, id)
		}
	}
}
