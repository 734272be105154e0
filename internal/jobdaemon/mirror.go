package jobdaemon

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// keepMirrored is how long an entry remembers a job that is over. Later calls
// are answered from the table service.
const keepMirrored = 200 * time.Second

// mirror is what an entry knows of the jobs' phases.
type mirror struct {
	jobs    map[workload.JobID]*mirrored
	waiting map[workload.QueueName]int
}

type mirrored struct {
	phase  msg.JobPhase
	overAt time.Duration
}

func newMirror() *mirror {
	return &mirror{jobs: map[workload.JobID]*mirrored{}, waiting: map[workload.QueueName]int{}}
}

// take records a phase. Phases only advance: a message that was overtaken
// changes nothing.
func (m *mirror) take(p msg.JobPhase, now time.Duration) {
	j, known := m.jobs[p.ID]
	if known && p.Phase <= j.phase.Phase {
		return
	}
	if known {
		m.count(j.phase, -1)
	} else {
		j = &mirrored{}
		m.jobs[p.ID] = j
	}
	j.phase = p
	m.count(p, 1)
	if p.Phase.Final() {
		j.overAt = now
	}
}

func (m *mirror) count(p msg.JobPhase, n int) {
	if p.Phase == workload.Queued {
		m.waiting[p.Queue] += n
	}
}

func (m *mirror) phase(id workload.JobID) (workload.Phase, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return 0, false
	}
	return j.phase.Phase, true
}

// prune forgets jobs that have been over for long.
func (m *mirror) prune(now time.Duration) {
	for id, j := range m.jobs {
		if j.phase.Phase.Final() && now-j.overAt > keepMirrored {
			delete(m.jobs, id)
		}
	}
}
