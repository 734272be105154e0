package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// Explanation describes the state of a job and the reason for it.
type Explanation struct {
	Job     model.JobID         `json:"job"`
	Known   bool                `json:"known"` // false: ended, or not of this cell, or this entry is not the owner
	Phase   model.Phase         `json:"phase,omitempty"`
	Attempt string              `json:"attempt,omitempty"` // state name of charts/attempt.scxml
	Worker  model.WorkerID      `json:"worker,omitempty"`
	Reason  string              `json:"reason,omitempty"`
	Verdict *place.Verdict      `json:"verdict,omitempty"` // of the last plan that did not place the job
	Workers []place.Explanation `json:"workers,omitempty"` // why each worker is rejected; only for a waiting job
}

// Status returns the status of the cell. Phases, workers and evictions are set
// only if this entry is the owner.
func (c *Core) Status() model.CellStatus {
	s := model.CellStatus{
		Cell: c.opts.Cell, State: cellChart.StateName(c.cell.state), Epoch: c.cell.owner.Epoch, Owner: c.cell.owner.Owner,
	}
	if !c.isOwner() {
		return s
	}
	s.Phases = maps.Clone(c.finishedCounts)
	for _, j := range c.jobs {
		s.Phases[model.Phase(jobChart.StateName(j.phase))]++
	}
	for _, w := range c.ledger.Workers() {
		s.Workers = append(s.Workers, model.WorkerStatus{
			Worker: w.ID, State: w.State.String(), Reason: c.peers[w.ID].healthReason,
			Capacity: w.Capacity, Charged: w.Charged, Tasks: len(w.Tasks),
		})
	}
	s.Evictions = c.evictionStatus()
	return s
}

type evictionKey struct {
	team  model.Team
	class model.Class
}

func (c *Core) evictionStatus() []model.EvictionStatus {
	list := make([]model.EvictionStatus, 0, len(c.evictions))
	for k, n := range c.evictions {
		list = append(list, model.EvictionStatus{Team: k.team, Class: k.class, Count: n})
	}
	slices.SortFunc(list, func(a, b model.EvictionStatus) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return list
}

// Explain returns the state of a job and the reason for it.
func (c *Core) Explain(id model.JobID) Explanation {
	e := Explanation{Job: id}
	j := c.jobs[id]
	if j == nil {
		return e
	}
	e.Known, e.Phase, e.Reason = true, model.Phase(jobChart.StateName(j.phase)), j.row.Reason
	if j.attempt.live {
		e.Attempt, e.Worker = attemptChart.StateName(j.attempt.state), j.attempt.worker
	}
	if j.phase == stPending {
		if j.lastVerdict.Reason != place.ReasonNone {
			e.Verdict = &j.lastVerdict
		}
		e.Workers = c.opts.Planner.Explain(c.snapshot(), id)
	}
	return e
}

// Final reports whether p is a final phase of a job.
func Final(p model.Phase) bool {
	i := slices.Index(JobBinding().States, string(p))
	return i >= 0 && jobChart.Final(chart.State(i))
}
