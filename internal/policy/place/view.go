package place

import (
	"github.com/bambooscale/bambooscale/internal/model"
)

// view holds what the planner derives from one worker.
type view struct {
	id               model.WorkerID
	revision         uint64
	lastRound        uint64 // last round in which the snapshot contained the worker
	capacity         model.Resources
	emptyCapacity    model.Resources // capacity without the backend server's reservation
	free             model.Resources
	claimed          model.Resources // part of free that claims set aside
	state            WorkerState
	tasks            int // number of charged tasks
	unproven         int
	maxUnproven      int       // limit of unproven, 0 for none
	services         occupancy // of the services only, which do not end as tasks do
	work             occupancy // of the services and tasks
	rack, dataCentre int       // indexes of the domains in planner.domains
	classes          []int     // class index of each task that is counted in planner.domains
	reserved         bool      // the worker is reserved for a job that has waited long
}

// available returns the resources that a job without a claim may use.
func (v *view) available() model.Resources { return v.free.Sub(v.claimed) }

// accepts reports whether the state of the worker allows one more task.
func (v *view) accepts() bool {
	return v.state == WorkerReady || v.state == WorkerProbation && v.tasks == 0
}

// newView returns the view of a worker without its domains and classes.
func newView(w *Worker, r *Rules) *view {
	v := &view{
		id: w.ID, revision: w.Revision, capacity: w.Capacity, emptyCapacity: w.Capacity.Sub(w.Reserved),
		free: w.Capacity.Sub(w.Charged), state: w.State, tasks: len(w.Tasks),
		unproven: w.Unproven, maxUnproven: w.MaxUnproven,
		services: r.newOccupancy(r.hostRules(w.Labels)),
	}
	p := r.newProfile(nil)
	for i := range w.Services {
		r.fillProfile(&p, w.Services[i])
		v.services.add(p)
	}
	v.work = v.services.clone()
	for i := range w.Tasks {
		r.fillProfile(&p, w.Tasks[i].Labels)
		v.work.add(p)
	}
	return v
}

// check is the filter that Plan, Verify and Explain share. available is the
// amount of resources that the job may use. The second result is the index of
// the rule that rejects the job, or -1.
func (v *view) check(r *Rules, p *profile, size, available model.Resources) (Reason, int) {
	if !v.accepts() {
		return ReasonWorkerState, -1
	}
	if !size.Fits(available) {
		return ReasonResources, -1
	}
	if v.maxUnproven > 0 && v.unproven >= v.maxUnproven {
		return ReasonUnproven, -1
	}
	return r.conflict(&v.work, p)
}

// domains assigns indexes to racks and data centres and counts the tasks of
// each class in them, so that cost can spread a class over the domains.
type domains struct {
	index   map[string]int
	classes map[classKey]int
	counts  [][]int32 // by class, then by domain
	totals  []int32   // by class
}

type classKey struct {
	team  model.Team
	class model.Class
}

func newDomains() *domains {
	return &domains{index: map[string]int{}, classes: map[classKey]int{}}
}

// domain returns the index of a rack or data centre and adds a new one.
func (d *domains) domain(kind, name string) int {
	key := kind + "/" + name
	i, ok := d.index[key]
	if !ok {
		i = len(d.index)
		d.index[key] = i
	}
	return i
}

// class returns the index of a class and adds a new one.
func (d *domains) class(team model.Team, class model.Class) int {
	key := classKey{team, class}
	i, ok := d.classes[key]
	if !ok {
		i = len(d.classes)
		d.classes[key] = i
		d.counts = append(d.counts, nil)
		d.totals = append(d.totals, 0)
	}
	return i
}

// add changes the count of a class in the domains of a worker by n.
func (d *domains) add(v *view, class int, n int32) {
	row := d.counts[class]
	for len(row) < len(d.index) {
		row = append(row, 0)
	}
	row[v.rack] += n
	row[v.dataCentre] += n
	d.counts[class] = row
	d.totals[class] += n
}

// share returns the share of the tasks of a class that run in a domain,
// between 0 and 1.
func (d *domains) share(class, domain int) float64 {
	row := d.counts[class]
	if domain >= len(row) || d.totals[class] == 0 {
		return 0
	}
	return float64(row[domain]) / float64(d.totals[class])
}
