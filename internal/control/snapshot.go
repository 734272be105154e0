package control

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Clone returns a copy of the core, with which an exploration can try
// alternative events. The copies share the planner and the health tracker, which
// therefore must have no state.
func (c *Core) Clone() *Core {
	clone := *c
	clone.effects = nil
	clone.cell.core = nil
	clone.finishedCounts = maps.Clone(c.finishedCounts)
	clone.capacityClaims = maps.Clone(c.capacityClaims)
	clone.batch.queue, clone.batch.inFlight = slices.Clone(c.batch.queue), slices.Clone(c.batch.inFlight)
	clone.peers = make(map[model.WorkerID]*peer, len(c.peers))
	clone.jobs, clone.pending = make(map[model.JobID]*job, len(c.jobs)), make(map[model.JobID]*job, len(c.pending))
	clone.ledger = place.NewLedger()
	for id, p := range c.peers {
		peerCopy := *p
		peerCopy.core, peerCopy.abandoned = nil, maps.Clone(p.abandoned)
		clone.peers[id] = &peerCopy
		clone.ledger.SetWorker(peerCopy.worker, c.config.Reserved[peerCopy.service], c.serviceLabels(&peerCopy))
		if w, ok := c.ledger.Worker(id); ok {
			clone.ledger.SetState(id, w.State)
		}
	}
	for id, j := range c.jobs {
		jobCopy := *j
		jobCopy.core, jobCopy.hooks = nil, slices.Clone(j.hooks)
		clone.jobs[id] = &jobCopy
		clone.updatePending(&jobCopy)
		if jobCopy.attempt.live {
			clone.ledger.Adopt(jobCopy.attempt.worker, clone.ledgerTask(&jobCopy, jobCopy.attempt.number))
		}
	}
	return &clone
}

// Normalizer makes the encodings of equivalent states equal: of revisions only
// the order matters, and of lease sequence numbers only the differences.
type Normalizer struct {
	RevisionRank   func(storage.Revision) int
	SequenceOffset func(w model.WorkerID, seq uint64) int64
}

// EachRevision calls f with each revision in the state.
func (c *Core) EachRevision(f func(storage.Revision)) {
	f(c.cell.epochVersion)
	f(c.cell.heartbeatVersion)
	f(c.scannedThrough)
	for _, j := range c.jobs {
		f(j.version)
	}
}

// Sequence returns the newest lease sequence number granted to a worker.
func (c *Core) Sequence(w model.WorkerID) uint64 {
	if p := c.peers[w]; p != nil {
		return p.grants.Sequence()
	}
	return 0
}

// AppendState appends an encoding of the state to b. States that behave equally
// from now on have equal encodings. Times are relative to the last step.
func (c *Core) AppendState(b []byte, norm Normalizer) []byte {
	e := encoder{b, c.now, norm}
	cell := &c.cell
	e.ints(int64(cell.state), int64(cell.owner.Epoch), int64(min(cell.unchangedObservations, minUnchangedObservations)))
	e.text(string(cell.owner.Owner))
	e.flags(cell.observing, cell.writingHeartbeat, c.loaded, c.scanning, c.planNeeded, c.batch.busy)
	e.revisions(cell.epochVersion, cell.heartbeatVersion, c.scannedThrough)
	e.times(cell.deadline, cell.observeAt, cell.heartbeatAt, cell.lastHeartbeatAt, c.scanAt, c.sweepAt, c.renewAt, c.planAt)
	for _, p := range c.sortedPeers() {
		e.peer(p)
	}
	for _, j := range selectJobs(c.jobs, func(*job) bool { return true }) {
		e.job(j)
	}
	for _, id := range slices.Concat(c.batch.queue, []model.JobID{""}, c.batch.inFlight) {
		e.text(string(id))
	}
	return e.b
}

// encoder appends values to the encoding of a state.
type encoder struct {
	b    []byte
	now  time.Duration
	norm Normalizer
}

func (e *encoder) ints(values ...int64) {
	for _, v := range values {
		e.b = binary.AppendVarint(e.b, v)
	}
}

func (e *encoder) text(s string) {
	e.ints(int64(len(s)))
	e.b = append(e.b, s...)
}

func (e *encoder) flags(values ...bool) {
	for _, v := range values {
		if v {
			e.ints(1)
		} else {
			e.ints(0)
		}
	}
}

func (e *encoder) revisions(values ...storage.Revision) {
	for _, v := range values {
		e.ints(int64(e.norm.RevisionRank(v)))
	}
}

// times encodes times relative to now, in milliseconds. All times more than an
// hour ago are encoded alike.
func (e *encoder) times(values ...time.Duration) {
	for _, v := range values {
		if v != 0 {
			v = max(v-e.now, -time.Hour)
		}
		e.ints(int64(v / time.Millisecond))
	}
}

func (e *encoder) peer(p *peer) {
	e.text(string(p.worker.ID))
	e.ints(int64(p.state), int64(p.boot), int64(p.claimedBoot), int64(min(p.ackedRenewals, minAckedRenewals)))
	e.flags(p.epochConfirmed, p.grants.Acked())
	e.ints(e.norm.SequenceOffset(p.worker.ID, p.grants.Sequence()))
	e.times(p.deadline, p.grants.Until(false), p.grants.Until(true))
	for _, id := range sortedAttempts(p.abandoned) {
		e.text(id.String())
	}
}

func (e *encoder) job(j *job) {
	e.text(string(j.id))
	e.text(j.row.Checkpoint)
	e.text(string(j.row.Worker))
	e.ints(int64(j.phase), int64(j.row.Attempt), int64(j.row.Failures), int64(j.generation-j.committed))
	e.flags(j.row.CancelRequested, j.queued, j.inFlight > 0, j.attempt.live)
	e.revisions(j.version)
	if j.inFlight > 0 {
		e.ints(int64(j.generation - j.inFlight))
	}
	a := &j.attempt
	e.ints(int64(a.state), int64(a.number))
	e.times(a.deadline)
	e.text(string(a.worker))
	e.text(string(a.report.State))
	for _, h := range j.hooks {
		e.ints(int64(h.kind), int64(j.generation-h.generation), int64(h.attempt))
	}
}
