package jobs

import (
	"math"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// earlyRunRetention is how long a run is kept at least whose job is not known. The
// job's row arrives through the watch of the table service.
const earlyRunRetention = time.Minute

// storedJobsRead is the time of StoredJobsRead for an owner that reads the stored jobs
// without delay.
const storedJobsRead time.Duration = math.MaxInt64

// StoredJobsRead records that the owner knows all jobs that were stored at a time.
func (c *Core) StoredJobsRead(at time.Duration) {
	c.storedJobsReadAt = at
	c.forgetDropped(at)
}

// earlyRun is a run, or the end of one, that a host reported before its job was
// known: the former owner started it after this one had read the stored jobs.
type earlyRun struct {
	host        *host
	startedAtMS int64 // incarnation of the backend server that reported it
	keptAt      time.Duration
	outage      bool // the watch has not returned anything since keptAt
	status      msg.RunStatus
	end         *msg.RunEnd // nil: the run may go on
}

// earlyTimeout ends the retention of an earlyRun.
type earlyTimeout struct {
	core *Core
	run  workload.RunID
}

// expire drops the run if no job of it is stored: its job was stored before it started.
// After an outage of the watch it waits once more, because the watch returns what it has
// missed in pieces.
func (t earlyTimeout) expire() {
	e := t.core.early[t.run]
	missed := e.keptAt > t.core.storedJobsReadAt
	if !missed && !e.outage {
		t.core.dropEarly(t.run)
		return
	}
	e.outage = missed
	t.core.early[t.run] = e
	t.core.due.Set(t, t.core.now+earlyRunRetention)
}

// keepEarly records a run whose task is not known, unless its job is.
func (c *Core) keepEarly(id workload.RunID, e earlyRun) {
	if _, known := c.jobs[id.Task.Job]; known {
		return
	}
	e.startedAtMS, e.keptAt = e.host.info.StartedAtMS, c.now
	c.early[id] = e
	c.due.Set(earlyTimeout{c, id}, c.now+earlyRunRetention)
}

// dropEarly drops a run whose task is not known.
func (c *Core) dropEarly(id workload.RunID) {
	e, kept := c.early[id]
	if !kept {
		return
	}
	delete(c.early, id)
	c.due.Remove(earlyTimeout{c, id})
	e.host.checkUnstoredEnds()
}

// lastStorableEnd returns the number of the last end that may be acknowledged once
// every job is stored. The end of a run whose job is not known yet may not: if the
// owner ended before the job arrives, the next one would start the task again. Nor may
// a held end.
func (h *host) lastStorableEnd() uint64 {
	last := h.endsApplied
	for _, e := range h.core.early {
		if e.host == h && e.end != nil && e.startedAtMS == h.info.StartedAtMS {
			last = min(last, e.end.Number-1)
		}
	}
	return h.lastReleasedEnd(last)
}

// dropEarlyRuns drops the runs of the host that have not ended.
func (h *host) dropEarlyRuns() {
	for id, e := range h.core.early {
		if e.host == h && e.end == nil {
			h.core.dropEarly(id)
		}
	}
}

// earlyRuns returns the runs of the job that were reported before it was known.
func (j *job) earlyRuns() []workload.RunID {
	var ids []workload.RunID
	for id := range j.core.early {
		if id.Task.Job == j.spec.ID {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool { return runIDLess(ids[i], ids[k]) })
	return ids
}

// dropEarly drops what hosts reported of the job before it was known.
func (j *job) dropEarly() {
	for _, id := range j.earlyRuns() {
		j.core.dropEarly(id)
	}
}

// applyEarly applies what hosts reported of the job before it was known. Its runs
// are charged until the stops that were requested have been answered.
func (j *job) applyEarly() {
	c := j.core
	for _, id := range j.earlyRuns() {
		e := c.early[id]
		c.dropEarly(id)
		t := j.task(id.Task)
		switch {
		case t == nil:
		case e.end != nil:
			t.applyEnd(*e.end, e.host)
		default:
			e.host.adoptRun(e.status).stop("not-wanted")
		}
	}
}
