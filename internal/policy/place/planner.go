package place

import (
	"cmp"
	"slices"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Options bound a planner's rounds. Zero values take the defaults.
type Options struct {
	MaxStarts          int // assignments of one round; default 1024
	Candidates         int // workers scored for one job, the tightest first; default 64
	ReserveAfter       int // rounds without a place after which a worker is kept for a job; default 100
	MaxReservedWorkers int // workers kept at once; default 1 for each 32 workers, at least 1
}

const (
	defaultMaxStarts    = 1024
	defaultCandidates   = 64
	defaultReserveAfter = 100
	workersForEachKept  = 32
	// keptShare is the part of the time for which workers are kept. Kept all
	// the time, one of 11 workers cost 3% of the throughput.
	keptShare = 0.1
)

// Planner plans the rounds of one cell. It remembers what it derived from the
// workers and for how long jobs have waited, so it has one owner. A new
// planner gives the same plans, but the waits start again.
type Planner struct {
	opts    Options
	round   uint64
	rules   *Rules
	views   map[model.WorkerID]*view
	byFree  []*view // ascending by free processors, then by id
	domains *domains
	waits   map[model.JobID]*wait
	scratch profile
	changed bool // byFree has to be sorted again
	whole   model.Resources
	credit  float64 // rounds for which workers may still be kept
}

// New returns a planner that has seen no round.
func New(opts Options) *Planner {
	opts.MaxStarts = cmp.Or(opts.MaxStarts, defaultMaxStarts)
	opts.Candidates = cmp.Or(opts.Candidates, defaultCandidates)
	opts.ReserveAfter = cmp.Or(opts.ReserveAfter, defaultReserveAfter)
	return &Planner{opts: opts, views: map[model.WorkerID]*view{}, domains: newDomains(),
		waits: map[model.JobID]*wait{}, credit: float64(opts.ReserveAfter)}
}

// Plan places the jobs of one round. Jobs with a claim or a kept worker are
// tried first, then urgent jobs, then the others; a job that finds no place
// does not hold up those behind it.
func (p *Planner) Plan(s Snapshot) Plan {
	p.load(&s)
	r := &round{p: p, s: &s, failed: map[failKey]Verdict{}, claims: map[model.JobID]Claim{}, done: map[model.JobID]bool{}}
	teams := budgets(&s)
	for _, c := range s.Claims {
		r.claims[c.Job] = c
	}
	p.keep(&s)
	offer(&s, p.whole, teams, func(j *Job) bool { return r.first(j.Spec.ID) }, r.tryKept)
	rest := func(urgent bool) func(*Job) bool {
		return func(j *Job) bool { return j.Spec.Urgent == urgent && !r.done[j.Spec.ID] }
	}
	offer(&s, p.whole, teams, rest(true), r.try)
	offer(&s, p.whole, teams, rest(false), r.try)
	p.count(r.plan.Unplaced)
	r.plan.Findings = p.rules.found
	return r.plan
}

// load brings the views up to date with the snapshot.
func (p *Planner) load(s *Snapshot) {
	p.round++
	if !p.rules.same(s.Selectors) {
		p.rules, _ = CompileRules(s.Selectors)
		p.scratch = p.rules.profile(nil)
		p.views, p.domains, p.changed = map[model.WorkerID]*view{}, newDomains(), true
	}
	p.whole = model.Resources{}
	for i := range s.Workers {
		p.loadWorker(&s.Workers[i])
		p.whole = p.whole.Add(s.Workers[i].Capacity)
	}
	for id, v := range p.views {
		if v.seen != p.round {
			p.drop(v)
			delete(p.views, id)
		}
	}
	p.loadClaims(s.Claims)
	p.sort()
}

func (p *Planner) loadWorker(w *Worker) {
	v := p.views[w.ID]
	if v != nil && v.revision == w.Revision && w.Revision != 0 {
		v.seen = p.round
		return
	}
	if v != nil {
		p.drop(v)
	}
	v = newView(w, p.rules)
	v.seen = p.round
	v.rack = p.domains.domain("rack", string(w.DataCentre)+"/"+string(w.Rack))
	v.dc = p.domains.domain("data centre", string(w.DataCentre))
	for i := range w.Tasks {
		p.addClass(v, p.domains.class(w.Tasks[i].Team, w.Tasks[i].Class))
	}
	p.views[w.ID] = v
	p.changed = true
}

func (p *Planner) addClass(v *view, class int) {
	v.classes = append(v.classes, class)
	p.domains.add(v, class, 1)
}

func (p *Planner) drop(v *view) {
	for _, c := range v.classes {
		p.domains.add(v, c, -1)
	}
	p.changed = true
}

func (p *Planner) loadClaims(claims []Claim) {
	for _, v := range p.views {
		if v.claimed != (model.Resources{}) {
			v.claimed, p.changed = model.Resources{}, true
		}
		v.kept = false
	}
	for _, c := range claims {
		if v := p.views[c.Worker]; v != nil {
			v.claimed, p.changed = v.claimed.Add(c.Size), true
		}
	}
}

func byAvailable(a, b *view) int {
	if c := cmp.Compare(a.available().CPU, b.available().CPU); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

func (p *Planner) sort() {
	if !p.changed {
		return
	}
	p.byFree = p.byFree[:0]
	for _, v := range p.views {
		p.byFree = append(p.byFree, v)
	}
	slices.SortFunc(p.byFree, byAvailable)
	p.changed = false
}

// take charges a placed job to the view. The view's revision is forgotten,
// because the caller may not apply the assignment.
func (p *Planner) take(v *view, class int, size model.Resources) {
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
