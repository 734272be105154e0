package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Options limits the work of a planner's rounds. Fields that are 0 take their
// defaults.
type Options struct {
	MaxStarts          int // maximum number of assignments in a round; default 1024
	Candidates         int // maximum number of workers scored for a job, those with the least free processors first; default 64
	ReserveAfter       int // rounds without a placement after which a worker is reserved for a job; default 100
	MaxReservedWorkers int // maximum number of workers reserved at once; default 1 for each 32 workers, at least 1
}

const (
	defaultMaxStarts      = 1024
	defaultCandidates     = 64
	defaultReserveAfter   = 100
	workersPerReservation = 32
	// reservedTimeShare is the share of the rounds in which workers may be
	// reserved. One of 11 workers reserved all the time cost 3% of the
	// throughput.
	reservedTimeShare = 0.1
)

// Planner plans the rounds of one cell. It caches what it derives from the
// workers and counts the rounds that each job has waited, so it is not safe
// for concurrent use. A new planner makes the same plans, except that it
// counts the waits and reserves workers from the beginning.
type Planner struct {
	opts              Options
	round             uint64
	rules             *Rules
	views             map[model.WorkerID]*view
	byFree            []*view // ascending by available processors, then by ID
	domains           *domains
	waits             map[model.JobID]*waitRecord
	scratch           profile // of the job that is being placed
	needsSort         bool    // byFree is out of order or incomplete
	cellCapacity      model.Resources
	reservationCredit float64 // remaining rounds in which a worker may be reserved
}

// New returns a planner with an empty cache.
func New(opts Options) *Planner {
	opts.MaxStarts = cmp.Or(opts.MaxStarts, defaultMaxStarts)
	opts.Candidates = cmp.Or(opts.Candidates, defaultCandidates)
	opts.ReserveAfter = cmp.Or(opts.ReserveAfter, defaultReserveAfter)
	return &Planner{opts: opts, views: map[model.WorkerID]*view{}, domains: newDomains(),
		waits: map[model.JobID]*waitRecord{}, reservationCredit: float64(opts.ReserveAfter)}
}

// Plan places the jobs of one round. Jobs with a claim or a reserved worker
// are tried first, then urgent jobs, then the others. A job that cannot be
// placed does not delay the jobs after it.
func (p *Planner) Plan(s Snapshot) Plan {
	p.update(&s)
	r := &round{planner: p, snapshot: &s, unplaced: map[jobKey]Verdict{}, claims: map[model.JobID]Claim{}, triedFirst: map[model.JobID]bool{}}
	teams := budgets(&s)
	for _, c := range s.Claims {
		r.claims[c.Job] = c
	}
	p.reserveWorkers(&s)
	forEachJob(&s, p.cellCapacity, teams, func(j *Job) bool { return r.hasReservation(j.Spec.ID) }, r.tryReserved)
	rest := func(urgent bool) func(*Job) bool {
		return func(j *Job) bool { return j.Spec.Urgent == urgent && !r.triedFirst[j.Spec.ID] }
	}
	forEachJob(&s, p.cellCapacity, teams, rest(true), r.try)
	forEachJob(&s, p.cellCapacity, teams, rest(false), r.try)
	p.recordWaits(r.plan.Unplaced)
	r.plan.Findings = p.rules.findings
	return r.plan
}

// update brings the views up to date with the snapshot.
func (p *Planner) update(s *Snapshot) {
	p.round++
	if !p.rules.compiledFrom(s.Selectors) {
		p.rules, _ = CompileRules(s.Selectors)
		p.scratch = p.rules.newProfile(nil)
		p.views, p.domains, p.needsSort = map[model.WorkerID]*view{}, newDomains(), true
	}
	p.cellCapacity = model.Resources{}
	for i := range s.Workers {
		p.updateWorker(&s.Workers[i])
		p.cellCapacity = p.cellCapacity.Add(s.Workers[i].Capacity)
	}
	for id, v := range p.views {
		if v.lastRound != p.round {
			p.removeCounts(v)
			delete(p.views, id)
		}
	}
	p.updateClaims(s.Claims)
	p.sort()
}

// updateWorker replaces the view of a worker unless its revision is the same.
func (p *Planner) updateWorker(w *Worker) {
	v := p.views[w.ID]
	if v != nil && v.revision == w.Revision && w.Revision != 0 {
		v.lastRound = p.round
		return
	}
	if v != nil {
		p.removeCounts(v)
	}
	v = newView(w, p.rules)
	v.lastRound = p.round
	v.rack = p.domains.domain("rack", string(w.DataCentre)+"/"+string(w.Rack))
	v.dataCentre = p.domains.domain("data centre", string(w.DataCentre))
	for i := range w.Tasks {
		p.addClass(v, p.domains.class(w.Tasks[i].Team, w.Tasks[i].Class))
	}
	p.views[w.ID] = v
	p.needsSort = true
}

// addClass counts a task of a class in the domains of a view.
func (p *Planner) addClass(v *view, class int) {
	v.classes = append(v.classes, class)
	p.domains.add(v, class, 1)
}

// removeCounts subtracts the tasks of a view from the domains.
func (p *Planner) removeCounts(v *view) {
	for _, c := range v.classes {
		p.domains.add(v, c, -1)
	}
	p.needsSort = true
}

// updateClaims sets the claimed resources of the views and clears their
// reservations.
func (p *Planner) updateClaims(claims []Claim) {
	for _, v := range p.views {
		if v.claimed != (model.Resources{}) {
			v.claimed, p.needsSort = model.Resources{}, true
		}
		v.reserved = false
	}
	for _, c := range claims {
		if v := p.views[c.Worker]; v != nil {
			v.claimed, p.needsSort = v.claimed.Add(c.Size), true
		}
	}
}

// byAvailable compares views by available processors, then by ID.
func byAvailable(a, b *view) int {
	if c := cmp.Compare(a.available().CPU, b.available().CPU); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

func (p *Planner) sort() {
	if !p.needsSort {
		return
	}
	p.byFree = p.byFree[:0]
	for _, v := range p.views {
		p.byFree = append(p.byFree, v)
	}
	slices.SortFunc(p.byFree, byAvailable)
	p.needsSort = false
}

// charge charges a placed job, whose profile is in scratch, to the view and
// moves the view to its new position in byFree. It clears the revision,
// because the caller may not apply the assignment.
func (p *Planner) charge(v *view, class int, size model.Resources) {
	old, _ := slices.BinarySearchFunc(p.byFree, v, byAvailable)
	v.free = v.free.Sub(size)
	v.tasks++
	v.unproven++
	v.revision = 0
	v.work.add(p.scratch)
	p.addClass(v, class)
	at, _ := slices.BinarySearchFunc(p.byFree[:old], v, byAvailable)
	copy(p.byFree[at+1:old+1], p.byFree[at:old])
	p.byFree[at] = v
}
