package jobdaemon

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// phaseRetention is how long an entry caches the phase of a job that has ended.
// Later calls are answered from the table service.
const phaseRetention = 200 * time.Second

// phaseCache caches the phases of the jobs at an entry.
type phaseCache struct {
	jobs   map[workload.JobID]*cachedPhase
	queued map[workload.QueueName]int // number of queued jobs
}

type cachedPhase struct {
	phase   msg.JobPhase
	endedAt time.Duration
}

func newPhaseCache() *phaseCache {
	return &phaseCache{jobs: map[workload.JobID]*cachedPhase{}, queued: map[workload.QueueName]int{}}
}

// update records a phase. Phases only advance: a message that arrives after a
// later phase is ignored.
func (c *phaseCache) update(p msg.JobPhase, now time.Duration) {
	j, known := c.jobs[p.ID]
	if known && p.Phase <= j.phase.Phase {
		return
	}
	if known {
		c.addQueued(j.phase, -1)
	} else {
		j = &cachedPhase{}
		c.jobs[p.ID] = j
	}
	j.phase = p
	c.addQueued(p, 1)
	if p.Phase.Final() {
		j.endedAt = now
	}
}

// addQueued adds n to the length of the queue if p is the phase of a queued job.
func (c *phaseCache) addQueued(p msg.JobPhase, n int) {
	if p.Phase == workload.Queued {
		c.queued[p.Queue] += n
	}
}

func (c *phaseCache) phase(id workload.JobID) (workload.Phase, bool) {
	j, ok := c.jobs[id]
	if !ok {
		return 0, false
	}
	return j.phase.Phase, true
}

// prune removes jobs that ended more than phaseRetention ago.
func (c *phaseCache) prune(now time.Duration) {
	for id, j := range c.jobs {
		if j.phase.Phase.Final() && now-j.endedAt > phaseRetention {
			delete(c.jobs, id)
		}
	}
}
