package jobs

import (
	"sort"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// maxBatch is how many rows one batch holds. The store takes 100 entries.
const maxBatchRows = 80

// Write is a row of a batch.
type Write struct {
	Job      workload.JobID
	Progress workload.Progress
}

// Batch is what one transaction stores. After it has been committed the ends
// that it covers are acknowledged and its final phases are shown.
type Batch struct {
	Writes       []Write
	Removed      []workload.JobID
	Hosts        []workload.HostName // the list of hosts; nil: as it is stored
	Interference []msg.Interference  // of fillers; nil: as they are stored
	ends         map[workload.HostName]appliedEnds
}

type appliedEnds struct {
	instance    workload.Instance
	startedAtMS int64
	lastNumber  uint64
}

// Pending reports whether there is something to store, and whether a caller
// or a host waits for it.
func (c *Core) Pending() (pending, urgent bool) {
	if c.pendingBatch != nil {
		return false, false
	}
	if _, changed := c.hostsToStore(); changed {
		return true, true
	}
	for j := range c.dirty {
		pending = true
		if j.phase().Final() {
			return true, true
		}
	}
	for _, h := range c.hosts {
		if h.endsApplied > h.endsAcknowledged {
			return true, false
		}
	}
	return pending || len(c.removals) > 0, false
}

// NextBatch returns what should be stored next. One batch is under way at a
// time; end it with Committed or Failed.
func (c *Core) NextBatch() *Batch {
	b := &Batch{ends: map[workload.HostName]appliedEnds{}}
	jobs := make([]*job, 0, len(c.dirty))
	for j := range c.dirty {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].spec.ID < jobs[k].spec.ID })
	allWritten := len(jobs) <= maxBatchRows
	for _, j := range jobs[:min(len(jobs), maxBatchRows)] {
		b.Writes = append(b.Writes, Write{Job: j.spec.ID, Progress: j.progress()})
		delete(c.dirty, j)
	}
	freeRows := (maxBatchRows - len(b.Writes)) / rowsPerJob
	n := min(len(c.removals), freeRows)
	b.Removed = c.removals[:n]
	c.removals = c.removals[n:]
	for name, h := range c.hosts {
		if allWritten && h.endsApplied > h.endsAcknowledged {
			b.ends[name] = appliedEnds{h.info.Instance, h.info.StartedAtMS, h.endsApplied}
		}
	}
	if hosts, changed := c.hostsToStore(); changed {
		b.Hosts = append([]workload.HostName{}, hosts...)
	}
	b.Interference = c.interferenceToStore()
	c.pendingBatch = b
	return b
}

// rowsPerJob is how many rows a job has: itself, its cancellation, its progress.
const rowsPerJob = 3

// BatchCommitted says that the batch under way is stored.
func (c *Core) BatchCommitted() {
	b := c.pendingBatch
	c.pendingBatch = nil
	for _, w := range b.Writes {
		j, ok := c.jobs[w.Job]
		if !ok {
			continue
		}
		if before := j.visiblePhase(); j.storedPhase != w.Progress.Phase {
			j.storedPhase = w.Progress.Phase
			if after := j.visiblePhase(); after != before {
				c.phases = append(c.phases, after)
			}
		}
	}
	if b.Hosts != nil {
		c.hostList.setStored(b.Hosts)
		c.planNeeded = true
	}
	for name, e := range b.ends {
		h := c.hosts[name]
		if h == nil || h.info.Instance != e.instance || h.info.StartedAtMS != e.startedAtMS {
			continue
		}
		h.endsAcknowledged = e.lastNumber
		c.send(h, &msg.EndsAcknowledged{Epoch: c.epoch, Instance: e.instance, StartedAtMS: e.startedAtMS, LastNumber: e.lastNumber})
	}
}

// BatchFailed says that the batch under way was not stored.
func (c *Core) BatchFailed() {
	b := c.pendingBatch
	c.pendingBatch = nil
	for _, w := range b.Writes {
		if j, ok := c.jobs[w.Job]; ok {
			c.dirty[j] = struct{}{}
		}
	}
	c.removals = append(c.removals, b.Removed...)
}

func (c *Core) remove(j *job) {
	delete(c.jobs, j.spec.ID)
	delete(c.dirty, j)
	c.removals = append(c.removals, j.spec.ID)
}

// progress returns the row of the job.
func (j *job) progress() workload.Progress {
	p := workload.Progress{Phase: j.phase(), EndedAtMS: j.endedAtMS}
	if j.phase().Final() {
		return p
	}
	n := 0
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if n%8 == 0 {
				p.Done = append(p.Done, 0)
			}
			if t.done {
				p.Done[n/8] |= 1 << (n % 8)
			}
			n++
			if t.failedRuns > 0 || t.checkpoint != "" && !t.done {
				p.Attempts = append(p.Attempts, workload.TaskAttempts{
					Step: s.number, Index: t.index, Failed: t.failedRuns, LastFailed: t.lastFailedRun, Checkpoint: t.checkpoint,
				})
			}
		}
	}
	return p
}

// restore sets the job to a stored row.
func (j *job) restore(p *workload.Progress) {
	j.storedPhase = p.Phase
	j.endedAtMS = p.EndedAtMS
	if p.Phase.Final() {
		j.removeAt = j.core.now + endedJobRetention
		j.state = chart.State(p.Phase)
		return
	}
	if p.Phase == workload.Running {
		j.step(evBegin)
	}
	n := 0
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if n/8 < len(p.Done) && p.Done[n/8]&(1<<(n%8)) != 0 {
				t.done = true
				s.unfinished--
			}
			n++
		}
	}
	for _, a := range p.Attempts {
		if t := j.task(workload.TaskID{Step: a.Step, Index: a.Index}); t != nil {
			t.failedRuns, t.lastFailedRun, t.checkpoint = a.Failed, a.LastFailed, a.Checkpoint
		}
	}
}
