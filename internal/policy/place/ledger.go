package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Ledger charges attempts to the workers of a cell. An attempt is charged
// with the larger of its declared size and its measured peak, from its
// reservation until its end is confirmed, which includes the time in which it
// stops or its outcome is unknown. A ledger is not safe for concurrent use;
// the controller owns it.
type Ledger struct {
	accounts map[model.WorkerID]*account
	charges  map[model.AttemptID]*account   // account that each attempt is charged to
	teams    map[model.Team]model.Resources // charges by team
	ids      []model.WorkerID               // of accounts, ascending
	workers  []Worker                       // scratch, result of Workers
}

// account is one worker with its charged attempts.
type account struct {
	Worker
	removed bool // the worker was removed, but attempts may still run on it
}

// NewLedger returns a ledger without workers.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[model.WorkerID]*account{}, charges: map[model.AttemptID]*account{}, teams: map[model.Team]model.Resources{}}
}

// SetWorker adds a worker or replaces its description. reserved is set aside
// for its backend server. services holds the labels of each service that has
// a backend server on the worker.
func (l *Ledger) SetWorker(w model.Worker, reserved model.Resources, services []model.Labels) {
	a := l.accounts[w.ID]
	if a == nil {
		a = &account{}
		l.accounts[w.ID] = a
		at, _ := slices.BinarySearch(l.ids, w.ID)
		l.ids = slices.Insert(l.ids, at, w.ID)
	}
	a.removed = false
	a.Worker.Worker, a.Services = w, services
	a.Charged = a.Charged.Sub(a.Reserved).Add(reserved)
	a.Reserved = reserved
	a.Revision++
}

// SetState records the state of a worker. It ignores unknown workers.
func (l *Ledger) SetState(id model.WorkerID, s WorkerState) {
	if a := l.accounts[id]; a != nil && a.State != s {
		a.State = s
		a.Revision++
	}
}

// SetUnproven records how many unproven attempts a worker has and how many it
// may have; a limit of 0 is no limit. It ignores unknown workers.
func (l *Ledger) SetUnproven(id model.WorkerID, unproven, limit int) {
	if a := l.accounts[id]; a != nil && (a.Unproven != unproven || a.MaxUnproven != limit) {
		a.Unproven, a.MaxUnproven = unproven, limit
		a.Revision++
	}
}

// RemoveWorker removes a worker. Its attempts stay charged to their teams
// until they are released.
func (l *Ledger) RemoveWorker(id model.WorkerID) {
	if account := l.accounts[id]; account != nil {
		account.removed = true
		l.deleteIfUnused(account)
	}
}

// deleteIfUnused deletes the account of a removed worker without attempts.
func (l *Ledger) deleteIfUnused(a *account) {
	if !a.removed || len(a.Tasks) > 0 {
		return
	}
	delete(l.accounts, a.ID)
	if at, ok := slices.BinarySearch(l.ids, a.ID); ok {
		l.ids = slices.Delete(l.ids, at, at+1)
	}
}

// Policy holds the configuration and the claims that Reserve checks.
type Policy struct {
	Rules  *Rules
	Quotas map[model.Team]model.Resources
	Claims []Claim
}

// Reserve verifies an assignment against the present state and charges the
// task when the result is ReasonNone. Attempts that already run are charged
// by Adopt; no other method charges an attempt.
func (l *Ledger) Reserve(a Assignment, t Task, p Policy) Reason {
	account := l.accounts[a.Worker]
	if account == nil || account.removed {
		return ReasonUnknownWorker
	}
	if l.charges[t.Attempt] != nil {
		return ReasonNone // the attempt is charged already; Reserve is idempotent
	}
	var claimed model.Resources
	for _, c := range p.Claims {
		if c.Worker == a.Worker && c.Job != a.Job {
			claimed = claimed.Add(c.Size)
		}
	}
	quota, hasQuota := p.Quotas[t.Team]
	a.Size, a.Labels = t.Size, t.Labels
	if reason := Verify(account.Worker, a, p.Rules, TeamBudget{l.teams[t.Team], quota, hasQuota}, claimed); reason != ReasonNone {
		return reason
	}
	l.charge(account, t)
	return ReasonNone
}

// Adopt charges an attempt that already runs on a worker, whether it fits or
// not. It returns false when the worker is unknown.
func (l *Ledger) Adopt(worker model.WorkerID, t Task) bool {
	a := l.accounts[worker]
	if a != nil && l.charges[t.Attempt] == nil {
		l.charge(a, t)
	}
	return a != nil
}

// charge adds a task to an account.
func (l *Ledger) charge(a *account, t Task) {
	t.Size = t.Size.Max(model.Resources{})
	a.Tasks = append(a.Tasks, t)
	l.charges[t.Attempt] = a
	l.addCharge(a, t.Team, t.Size)
}

// addCharge changes the charges of an account and a team by size, which may
// be negative.
func (l *Ledger) addCharge(a *account, team model.Team, size model.Resources) {
	a.Charged = a.Charged.Add(size)
	l.teams[team] = l.teams[team].Add(size)
	a.Revision++
}

// RecordUsage raises the charge of an attempt if its measured usage is a new
// peak. It never lowers a charge: measurements lag, and the usage may rise
// again before the next one.
func (l *Ledger) RecordUsage(id model.AttemptID, u model.Usage) {
	a, t := l.find(id)
	if t == nil {
		return
	}
	if peak := t.Size.Max(u.Resources); peak != t.Size {
		l.addCharge(a, t.Team, peak.Sub(t.Size))
		t.Size = peak
	}
}

// SetLostWork records the work that evicting the attempt now would lose.
func (l *Ledger) SetLostWork(id model.AttemptID, lost time.Duration) {
	if _, t := l.find(id); t != nil {
		t.LostWork = lost
	}
}

// MarkStopping records that a stop was requested for an attempt or that its
// outcome is unknown. The attempt stays charged.
func (l *Ledger) MarkStopping(id model.AttemptID) {
	if a, t := l.find(id); t != nil && !t.Stopping {
		t.Stopping = true
		a.Revision++
	}
}

// Release ends the charge of an attempt whose end is confirmed, and returns
// the charge: the size with which to plan the job's next attempt. ok is false
// when the attempt is not charged.
func (l *Ledger) Release(id model.AttemptID) (size model.Resources, ok bool) {
	account, t := l.find(id)
	if t == nil {
		return model.Resources{}, false
	}
	team, size := t.Team, t.Size
	account.Tasks = slices.DeleteFunc(account.Tasks, func(t Task) bool { return t.Attempt == id })
	delete(l.charges, id)
	l.addCharge(account, team, model.Resources{}.Sub(size))
	if l.teams[team] == (model.Resources{}) {
		delete(l.teams, team)
	}
	l.deleteIfUnused(account)
	return size, true
}

// find returns the account and the task of an attempt, or nil, nil when the
// attempt is not charged.
func (l *Ledger) find(id model.AttemptID) (*account, *Task) {
	a := l.charges[id]
	if a == nil {
		return nil, nil
	}
	for i := range a.Tasks {
		if a.Tasks[i].Attempt == id {
			return a, &a.Tasks[i]
		}
	}
	return nil, nil
}

// Workers returns the workers for a snapshot in ascending order of their IDs.
// The caller must not modify the result, which is valid until the next change
// of the ledger.
func (l *Ledger) Workers() []Worker {
	l.workers = l.workers[:0]
	for _, id := range l.ids {
		if a := l.accounts[id]; !a.removed {
			l.workers = append(l.workers, a.Worker)
		}
	}
	return l.workers
}

// Worker returns one worker, subject to the same conditions as Workers. The
// second result is false when the worker is unknown or was removed.
func (l *Ledger) Worker(id model.WorkerID) (Worker, bool) {
	a := l.accounts[id]
	if a == nil || a.removed {
		return Worker{}, false
	}
	return a.Worker, true
}

// TeamUse returns the charges by team. The caller must not modify the map.
func (l *Ledger) TeamUse() map[model.Team]model.Resources { return l.teams }

// Overload is a worker whose charges exceed its capacity because tasks use
// more than they declared.
type Overload struct {
	Worker model.WorkerID
	Excess model.Resources // charges above the capacity, 0 where they do not exceed it
}

// Overloads lists the overloaded workers in descending order of their excess
// relative to their capacity.
func (l *Ledger) Overloads() []Overload {
	var overloads []Overload
	for _, id := range l.ids {
		a := l.accounts[id]
		if !a.Charged.Fits(a.Capacity) {
			overloads = append(overloads, Overload{id, a.Charged.Sub(a.Capacity).Max(model.Resources{})})
		}
	}
	slices.SortStableFunc(overloads, func(x, y Overload) int {
		return cmp.Compare(dominantShare(y.Excess, l.accounts[y.Worker].Capacity), dominantShare(x.Excess, l.accounts[x.Worker].Capacity))
	})
	return overloads
}
