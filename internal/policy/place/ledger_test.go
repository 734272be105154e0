package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/model"
)

// ledgerModel is the reference model of the property test: it applies random
// operations to a ledger and records the expected charges.
type ledgerModel struct {
	ledger         *Ledger
	planner        *Planner
	rules          *Rules
	quotas         map[model.Team]model.Resources
	withinDeclared bool // tasks never use more than they declared
	workerOf       map[model.AttemptID]model.WorkerID
	sizeOf         map[model.AttemptID]model.Resources
	teamOf         map[model.AttemptID]model.Team
	planned        []Assignment // of this and older snapshots
	pending        []Job
	lastJob        int
}

var modelTeams = []model.Team{"wick", "braid"}

func newLedgerModel(t *rapid.T) *ledgerModel {
	m := &ledgerModel{ledger: NewLedger(), planner: New(Options{ReserveAfter: 3}), withinDeclared: rapid.Bool().Draw(t, "honest"),
		quotas:   map[model.Team]model.Resources{"wick": resources(24, 90)},
		workerOf: map[model.AttemptID]model.WorkerID{}, sizeOf: map[model.AttemptID]model.Resources{}, teamOf: map[model.AttemptID]model.Team{}}
	m.rules, _ = CompileRules(nil)
	for i := range 3 {
		m.ledger.SetWorker(newWorker(fmt.Sprint(i), resources(16, 60)).Worker, resources(2, 8), nil)
	}
	return m
}

// drawSize draws a size that may exceed the capacity of a worker.
func (m *ledgerModel) drawSize(t *rapid.T) model.Resources {
	return resources(rapid.Int64Range(0, 18).Draw(t, "cores"), rapid.Int64Range(0, 64).Draw(t, "gibibytes"))
}

func (m *ledgerModel) submit(t *rapid.T) {
	m.lastJob++
	j := newJob(fmt.Sprint(m.lastJob), m.drawSize(t), nil)
	j.Spec.Team, j.Spec.Urgent, j.SubmitOrder = rapid.SampledFrom(modelTeams).Draw(t, "team"), rapid.Bool().Draw(t, "urgent"), uint64(m.lastJob)
	m.pending = append(m.pending, j)
}

func (m *ledgerModel) planRound(*rapid.T) {
	plan := m.planner.Plan(Snapshot{Workers: m.ledger.Workers(), Jobs: m.pending, Quotas: m.quotas, TeamUse: m.ledger.TeamUse()})
	m.planned = append(m.planned, plan.Assignments...)
	m.planned = m.planned[max(0, len(m.planned)-16):]
}

// reserve applies assignments that may be older than the latest changes.
func (m *ledgerModel) reserve(t *rapid.T) {
	for _, a := range m.planned {
		id := model.AttemptID{Job: a.Job, Number: 1}
		before, charged := m.workerOf[id]
		reason := m.ledger.Reserve(a, Task{Attempt: id, Team: a.Team, Size: a.Size}, Policy{Rules: m.rules, Quotas: m.quotas})
		if reason != ReasonNone || charged {
			require.Equal(t, before, m.workerOf[id])
			continue
		}
		m.workerOf[id], m.sizeOf[id], m.teamOf[id] = a.Worker, a.Size, a.Team
		w, _ := m.ledger.Worker(a.Worker)
		require.True(t, w.Charged.Fits(w.Capacity), "worker %s: %v of %v", w.ID, w.Charged, w.Capacity)
		if quota, ok := m.quotas[a.Team]; ok {
			require.True(t, m.ledger.TeamUse()[a.Team].Fits(quota))
		}
		for i := range m.pending {
			if m.pending[i].Spec.ID == a.Job {
				m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
				break
			}
		}
	}
}

// drawAttempt draws the ID of any attempt, including one that never ran or has
// ended.
func (m *ledgerModel) drawAttempt(t *rapid.T) model.AttemptID {
	return model.AttemptID{Job: model.JobID(fmt.Sprint(rapid.IntRange(1, m.lastJob+1).Draw(t, "job"))), Number: 1}
}

func (m *ledgerModel) report(t *rapid.T) {
	id, use := m.drawAttempt(t), m.drawSize(t)
	if m.withinDeclared && !use.Fits(m.sizeOf[id]) {
		use = m.sizeOf[id]
	}
	m.ledger.RecordUsage(id, model.Usage{Resources: use})
	if _, ok := m.workerOf[id]; ok {
		m.sizeOf[id] = m.sizeOf[id].Max(use)
	}
}

func (m *ledgerModel) stop(t *rapid.T) { m.ledger.MarkStopping(m.drawAttempt(t)) }

func (m *ledgerModel) release(t *rapid.T) {
	id := m.drawAttempt(t)
	size, ok := m.ledger.Release(id)
	_, want := m.workerOf[id]
	require.Equal(t, want, ok)
	require.Equal(t, m.sizeOf[id], size)
	delete(m.workerOf, id)
	delete(m.sizeOf, id)
}

func (m *ledgerModel) setState(t *rapid.T) {
	w := model.WorkerID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "worker")))
	m.ledger.SetState(w, WorkerState(rapid.IntRange(0, 5).Draw(t, "state")))
}

func (m *ledgerModel) addOrRemoveWorker(t *rapid.T) {
	w := model.WorkerID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "worker")))
	if rapid.Bool().Draw(t, "gone") {
		m.ledger.RemoveWorker(w)
		return
	}
	m.ledger.SetWorker(newWorker(string(w), resources(16, 60)).Worker, resources(2, 8), nil)
}

// check compares the ledger with the model's own record.
func (m *ledgerModel) check(t *rapid.T) {
	teams := map[model.Team]model.Resources{}
	for id := range m.workerOf {
		teams[m.teamOf[id]] = teams[m.teamOf[id]].Add(m.sizeOf[id])
	}
	for team, use := range m.ledger.TeamUse() {
		require.Equal(t, teams[team], use)
	}
	for _, w := range m.ledger.Workers() {
		want := w.Reserved
		for id, at := range m.workerOf {
			if at == w.ID {
				want = want.Add(m.sizeOf[id])
			}
		}
		require.Equal(t, want, w.Charged)
		require.True(t, w.Reserved.Fits(w.Charged), "below zero")
		if m.withinDeclared {
			require.True(t, w.Charged.Fits(w.Capacity))
		}
	}
}

// Guards against an order of plans, late reservations, reports, stops, unknown
// outcomes and repeated messages that charges a worker with more than its
// capacity (G1), frees the resources of a task that may still run, or loses a
// charge.
func TestLedgerNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit another": m.submit, "plan": m.planRound, "reserve": m.reserve, "report": m.report,
			"stop": m.stop, "release": m.release, "state": m.setState, "come and go": m.addOrRemoveWorker, "": m.check,
		})
	})
}

// Guards against workers that are not reported although their tasks use more
// than they declared and exceed the capacity.
func TestOverloads(t *testing.T) {
	l := NewLedger()
	for _, id := range []string{"a", "b"} {
		l.SetWorker(newWorker(id, resources(16, 60)).Worker, model.Resources{}, nil)
		task := Task{Attempt: model.AttemptID{Job: model.JobID(id), Number: 1}, Size: resources(8, 8)}
		require.Equal(t, ReasonNone, l.Reserve(Assignment{Worker: model.WorkerID(id), Job: task.Attempt.Job}, task, Policy{Rules: &Rules{}}))
	}
	require.Empty(t, l.Overloads())
	l.RecordUsage(model.AttemptID{Job: "a", Number: 1}, model.Usage{Resources: resources(17, 1)})
	l.RecordUsage(model.AttemptID{Job: "b", Number: 1}, model.Usage{Resources: resources(20, 1)})
	require.Equal(t, []Overload{{"b", resources(4, 0)}, {"a", resources(1, 0)}}, l.Overloads())
	require.True(t, l.Adopt("a", Task{Attempt: model.AttemptID{Job: "found", Number: 2}, Size: resources(1, 1)}))
	require.False(t, l.Adopt("unknown", Task{}))
	w, _ := l.Worker("a")
	require.Equal(t, resources(18, 9), w.Charged)
}
