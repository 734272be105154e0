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

// Clone returns an independent copy for an exploration of alternatives. The
// planner and the health tracker are shared, so they must have no state.
func (c *Core) Clone() *Core {
	n := *c
	n.effects = nil
	n.cell.core = nil
	n.finishedCounts = maps.Clone(c.finishedCounts)
	n.capacityClaims = maps.Clone(c.capacityClaims)
	n.batch.queue, n.batch.inFlight = slices.Clone(c.batch.queue), slices.Clone(c.batch.inFlight)
	n.peers = make(map[model.WorkerID]*peer, len(c.peers))
	n.jobs, n.pending = make(map[model.JobID]*job, len(c.jobs)), make(map[model.JobID]*job, len(c.pending))
	n.ledger = place.NewLedger()
	for id, p := range c.peers {
		q := *p
		q.core, q.abandoned = nil, maps.Clone(p.abandoned)
		n.peers[id] = &q
		n.ledger.SetWorker(q.worker, c.config.Reserved[q.service], c.serviceLabels(&q))
		if w, ok := c.ledger.Worker(id); ok {
			n.ledger.SetState(id, w.State)
		}
	}
	for id, j := range c.jobs {
		k := *j
		k.core, k.hooks = nil, slices.Clone(j.hooks)
		n.jobs[id] = &k
		n.updatePending(&k)
		if k.attempt.live {
			n.ledger.Adopt(k.attempt.worker, n.ledgerTask(&k, k.attempt.number))
		}
	}
	return &n
}

// Normalizer makes encodings of equivalent states equal: revisions and lease
// sequence numbers matter only by their order and difference.
type Normalizer struct {
	RevisionRank   func(storage.Revision) int
	SequenceOffset func(w model.WorkerID, seq uint64) int64
}

// EachRevision calls f with the revisions that the state holds.
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

// AppendState appends an encoding of the state that is equal for states with
// the same future. Instants are relative to the last step.
func (c *Core) AppendState(b []byte, s Normalizer) []byte {
	e := encoder{b, c.now, s}
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

// encoder appends values to a state's encoding.
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

// times encodes instants relative to now; what is long past is all the same.
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
