package jobs

import (
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// maxBatchRows is the maximum number of job rows in a batch. The store accepts
// 100 entries in a transaction; the others are for the remaining rows.
const maxBatchRows = 80

// Write is the progress row of a job and those of its rows of attempts that have
// changed.
type Write struct {
	Job      workload.JobID
	Progress workload.Progress
	Parts    []AttemptsPart
}

func (w *Write) size() int {
	n := progressSize(&w.Progress)
	for i := range w.Parts {
		n += w.Parts[i].size()
	}
	return n
}

// PartRow identifies a row of attempts.
type PartRow struct {
	Job  workload.JobID
	Part int
}

// Batch is the content of one transaction. After its commit the ends that it
// covers are acknowledged and its final phases become visible.
type Batch struct {
	Writes       []Write
	Removed      []workload.JobID    // jobs whose progress rows are deleted
	RemovedParts []PartRow           // rows of attempts that are deleted
	Hosts        []workload.HostName // the list of hosts; nil: unchanged
	Interference []msg.Interference  // coefficients; nil: unchanged
	EndingLeases string              // for the owner's row
	ends         map[workload.HostName]appliedEnds
	crashes      []*task // whose counts of crashes Writes contains
	contents     contents
}

// hostBytes returns the bytes of the list of hosts.
func (b *Batch) hostBytes() int {
	n := 0
	for _, name := range b.Hosts {
		n += len(name) + 1
	}
	return n
}

// appliedEnds is the number of the last applied end of an incarnation.
type appliedEnds struct {
	instance    workload.Instance
	startedAtMS int64
	lastNumber  uint64
}

// Pending reports whether a batch should be written, and whether it is urgent
// because a caller or the start of tasks on a host depends on it. It returns
// false while a batch is being written.
func (c *Core) Pending() (pending, urgent bool) {
	if c.pendingBatch != nil {
		return false, false
	}
	if _, changed := c.hostsToStore(); changed && !c.refusal.held(hostContent) || c.ending.urgent {
		return true, true
	}
	pending = c.ending.due && !c.refusal.held(endingLeaseContent)
	for j := range c.dirty {
		c.visits++
		pending = true
		if j.phase().Final() || len(j.unstoredCrashes) > 0 {
			return true, true
		}
	}
	return pending || len(c.unstoredEnds) > 0 || c.removalsWait() && !c.refusal.held(removalContent), false
}

func (c *Core) removalsWait() bool { return len(c.removals) > 0 || len(c.partRemovals) > 0 }

// NextBatch returns the next batch to write. The caller ends it with
// BatchCommitted, BatchFailed or BatchRefused before it calls NextBatch again.
func (c *Core) NextBatch() *Batch {
	b := &Batch{ends: map[workload.HostName]appliedEnds{}}
	hosts, hostsChanged := c.hostsToStore()
	ending := c.endingLeasesRow()
	chosen := c.refusal.choose(contents{
		jobContent: len(c.dirty) > 0 || len(c.unstoredEnds) > 0, removalContent: c.removalsWait(), hostContent: hostsChanged,
		endingLeaseContent: ending != "", interferenceContent: c.interferenceDue(),
	})
	if chosen[hostContent] {
		b.Hosts = append([]workload.HostName{}, hosts...)
	}
	if chosen[jobContent] {
		c.addJobs(b)
	}
	if chosen[removalContent] {
		c.addRemovals(b)
	}
	if chosen[interferenceContent] {
		b.Interference = c.interferenceToStore()
	}
	if chosen[endingLeaseContent] {
		b.EndingLeases = ending
	}
	c.endingLeasesSent(b.EndingLeases)
	c.ending.due = b.EndingLeases != ending
	b.contents = contents{
		jobContent: len(b.Writes) > 0, removalContent: len(b.Removed)+len(b.RemovedParts) > 0, hostContent: b.Hosts != nil,
		endingLeaseContent: b.EndingLeases != "", interferenceContent: b.Interference != nil,
	}
	c.pendingBatch = b
	return b
}

// addJobs adds rows of changed jobs. If the batch completes the round it covers the ends
// of the round.
func (c *Core) addJobs(b *Batch) {
	c.beginRound()
	c.addWrites(b, c.jobsToStore())
	if len(c.round.jobs) == 0 {
		b.ends = c.round.ends
	}
}

// addWrites adds the rows of changed jobs to the batch as far as there is room.
func (c *Core) addWrites(b *Batch, jobs []*job) {
	rows, bytes := maxBatchRows, maxBatchBytes-b.hostBytes()
	if bytes <= 0 {
		return
	}
	for i, j := range jobs {
		w := Write{Job: j.spec.ID, Progress: j.progress()}
		if size := w.size(); i == c.batchJobs || rows == 0 || i > 0 && size > bytes {
			return
		}
		if !j.phase().Final() {
			w.Parts = j.nextParts(rows-1, bytes-w.size())
		}
		rows, bytes = rows-1-len(w.Parts), bytes-w.size()
		b.Writes = append(b.Writes, w)
		j.written(b)
	}
}

// BatchCommitted records that the pending batch was stored.
func (c *Core) BatchCommitted() {
	b := c.pendingBatch
	c.pendingBatch = nil
	if len(b.Writes) > 0 {
		c.batchJobs = min(maxBatchRows, 2*c.batchJobs)
	}
	for _, w := range b.Writes {
		j, ok := c.jobs[w.Job]
		if !ok {
			continue
		}
		if before := j.visiblePhase(); j.storedPhase != w.Progress.Phase {
			j.storedPhase = w.Progress.Phase
			if j.visiblePhase() != before {
				j.publish()
			}
		}
	}
	for _, t := range b.crashes {
		t.crashesStored()
	}
	if b.Hosts != nil {
		c.hostsStored(b.Hosts)
	}
	c.endingLeasesStored(b.EndingLeases)
	for name, e := range b.ends {
		h := c.hosts[name]
		if h == nil || h.info.Instance != e.instance || h.info.StartedAtMS != e.startedAtMS {
			continue
		}
		h.endsAcknowledged = e.lastNumber
		h.checkUnstoredEnds()
		h.acknowledgeEnds()
	}
}

// acknowledgeEnds tells the agent which ends of the present incarnation are stored.
func (h *host) acknowledgeEnds() {
	h.core.send(h, &msg.EndsAcknowledged{Epoch: h.core.epoch, Instance: h.info.Instance, StartedAtMS: h.info.StartedAtMS, LastNumber: h.endsAcknowledged})
}

// checkUnstoredEnds records whether the next batch may acknowledge ends of the host.
func (h *host) checkUnstoredEnds() {
	if h.lastStorableEnd() > h.endsAcknowledged {
		h.core.unstoredEnds[h] = struct{}{}
	} else {
		delete(h.core.unstoredEnds, h)
	}
}

// BatchFailed records that the pending batch was not stored. The next batches
// repeat its job rows, its removals and the lists of hosts. The coefficients are
// stored again after interferenceInterval.
func (c *Core) BatchFailed() {
	b := c.pendingBatch
	c.pendingBatch = nil
	c.endingLeasesFailed(b.EndingLeases)
	for _, w := range b.Writes {
		if j, ok := c.jobs[w.Job]; ok {
			j.rewrite(w.Parts)
		}
	}
	for _, t := range b.crashes {
		t.step.job.unstoredCrashes = append(t.step.job.unstoredCrashes, t)
	}
	c.removals = append(c.removals, b.Removed...)
	c.partRemovals = append(c.partRemovals, b.RemovedParts...)
}

// BatchRefused records that the store refuses the pending batch as invalid, which a
// repetition would not change. The next batches have less content, until what is refused is
// alone: a job then fails, and other content is tried again after refusedRetry.
// BatchRefused reports whether the next batch is another one: it is not if this one had no
// content beside the owner's row.
func (c *Core) BatchRefused() bool {
	b := c.pendingBatch
	c.BatchFailed()
	if b.contents.count() == 0 {
		return false
	}
	c.refusal.refused(b)
	return true
}

// failUnstorable fails a job whose progress the store refuses. If it refuses the row of
// the ended job too, the job is not stored any more.
func (j *job) failUnstorable() {
	j.core.addDecision(Decision{Kind: JobUnstorable, Job: j.spec.ID, Detail: j.phase().String()})
	if j.phase().Final() {
		delete(j.core.dirty, j)
		delete(j.core.round.jobs, j)
		return
	}
	j.failure = "the table service refuses the progress of the job"
	j.unstoredCrashes = nil
	j.step(evFail)
}
