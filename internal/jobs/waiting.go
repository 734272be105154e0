package jobs

import (
	"slices"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// waiting holds the ready tasks by requirement and step.
type waiting struct {
	groups map[requirement]*group
	order  []*group // ordered by their most urgent step
	tasks  int
	// lastingTasks is the number of those that are long-running.
	lastingTasks int

	bestEffortReadyAt time.Duration // when a best-effort task became ready last
	speedMatters      bool          // a task may wait for a host of good speed, or did at the last tick
}

// requirement is what hostselect.Check and mayHaveStarted depend on. If no host is
// left for a task, none is left for the other tasks with its requirement.
type requirement struct {
	service    workload.Service
	label      string
	need       workload.Resources
	urgent     bool   // of the first priority
	lasting    bool   // long-running: may start on a host that is reserved for long
	bestEffort bool   // accepts a low speed, or waits for a good one
	image      string // of a best-effort task
	step       *step  // of a task whose number on a host is limited
	recovered  bool   // its job was stored before the owner began
	ownEpoch   bool   // its job has the owner's epoch
}

// requirement returns the requirement of the tasks of the step.
func (s *step) requirement() requirement {
	j := &s.job.spec
	r := requirement{service: j.Service, label: s.spec.Label, need: s.spec.Need, urgent: j.Priority <= 0, lasting: s.spec.LongRunning, bestEffort: s.spec.BestEffort, recovered: s.job.recovered, ownEpoch: j.Epoch >= s.job.core.epoch}
	if s.spec.BestEffort {
		r.image = s.spec.Image
	}
	if s.spec.MaxPerHost > 0 {
		r.step = s
	}
	return r
}

// group is the steps with ready tasks that have the same requirement.
type group struct {
	steps    stepList
	unlogged stepList // steps with ready tasks whose TaskUnplaced was not logged
	searches [searchKinds]search
}

// mayHaveStarted reports whether the former owner may have started tasks of the
// group.
func (g *group) mayHaveStarted() bool { return g.steps[0].mayHaveStarted() }

// search is what earlier passes found out about the hosts for the tasks of a
// group. A host that could not run them is examined again only after it improved.
type search struct {
	examined uint64              // number of the last improvement that was examined
	reasons  []hostselect.Reason // by index of the host, when it was examined
	// description has the number of hosts for each reason, if described is true.
	description string
	described   bool
	// slowExaminedAt is when the hosts that were too slow were examined last with
	// the result that no host is left.
	slowExaminedAt time.Duration
}

// searchKind distinguishes the tasks of a group that may run on different hosts.
type searchKind uint8

const (
	anySpeed searchKind = iota
	// goodSpeed applies to best-effort tasks until hostselect.MaxWait. Hosts of
	// good speed are among those of any speed.
	goodSpeed
	searchKinds
)

// searchKind returns the kind of the search that applies to the task.
func (t *task) searchKind() searchKind {
	if t.step.spec.BestEffort && t.step.job.core.now-t.readySince < hostselect.MaxWait {
		return goodSpeed
	}
	return anySpeed
}

// moreUrgent reports whether the tasks of a are placed before those of b: by
// priority, then by the job's deadline.
func moreUrgent(a, b *step) bool {
	ja, jb := a.job, b.job
	switch {
	case ja.spec.Priority != jb.spec.Priority:
		return ja.spec.Priority < jb.spec.Priority
	case ja.deadline != jb.deadline:
		return ja.deadline < jb.deadline
	case ja != jb:
		return ja.spec.ID < jb.spec.ID
	}
	return a.number < b.number
}

// stepList is a list of steps, the most urgent first.
type stepList []*step

// find returns the position of a step, or where it belongs, and whether the list
// contains it.
func (l stepList) find(s *step) (int, bool) {
	i := sort.Search(len(l), func(i int) bool { return !moreUrgent(l[i], s) })
	return i, i < len(l) && l[i] == s
}

// add adds a step unless the list contains it.
func (l *stepList) add(s *step) {
	if i, ok := l.find(s); !ok {
		*l = slices.Insert(*l, i, s)
	}
}

// remove removes a step if the list contains it.
func (l *stepList) remove(s *step) {
	if i, ok := l.find(s); ok {
		*l = slices.Delete(*l, i, i+1)
	}
}

// add makes a task ready.
func (w *waiting) add(t *task) {
	s := t.step
	if len(s.ready) == 0 {
		s.waitsSince = t.readySince
		w.addStep(s)
	}
	i := sort.Search(len(s.ready), func(i int) bool { return s.ready[i].index >= t.index })
	s.ready = slices.Insert(s.ready, i, t)
	if s.unlogged++; s.unlogged == 1 {
		s.group.unlogged.add(s)
	}
	s.lastReady = t.readySince
	t.ready = true
	if s.spec.BestEffort {
		w.bestEffortReadyAt, w.speedMatters = t.readySince, true
	}
	w.tasks++
	if s.spec.LongRunning {
		w.lastingTasks++
	}
}

// addStep adds a step to its group.
func (w *waiting) addStep(s *step) {
	r := s.requirement()
	g := w.groups[r]
	if g == nil {
		g = &group{}
		w.groups[r] = g
	}
	s.group = g
	w.detach(g)
	g.steps.add(s)
	w.attach(g)
}

// remove makes a task no longer ready. It has no effect on a task that is not.
func (w *waiting) remove(t *task) {
	if !t.ready {
		return
	}
	s := t.step
	t.ready = false
	w.tasks--
	if s.spec.LongRunning {
		w.lastingTasks--
	}
	if !t.unplacedLogged {
		s.countLogged()
	}
	i := sort.Search(len(s.ready), func(i int) bool { return s.ready[i].index >= t.index })
	if i == 0 {
		s.ready = s.ready[1:]
	} else {
		s.ready = slices.Delete(s.ready, i, i+1)
	}
	if len(s.ready) == 0 {
		w.removeStep(s)
	}
}

// removeStep removes a step without ready tasks.
func (w *waiting) removeStep(s *step) {
	g := s.group
	s.ready, s.group = nil, nil
	w.detach(g)
	g.steps.remove(s)
	w.attach(g)
	if len(g.steps) == 0 {
		delete(w.groups, s.requirement())
	}
}

// detach removes a group from the order of the groups while its steps change.
func (w *waiting) detach(g *group) {
	if len(g.steps) > 0 {
		i := w.position(g)
		w.order = slices.Delete(w.order, i, i+1)
	}
}

// attach adds a group with steps to the order of the groups.
func (w *waiting) attach(g *group) {
	if len(g.steps) > 0 {
		w.order = slices.Insert(w.order, w.position(g), g)
	}
}

// position returns where a group with steps belongs in the order of the groups.
func (w *waiting) position(g *group) int {
	return sort.Search(len(w.order), func(i int) bool { return !moreUrgent(w.order[i].steps[0], g.steps[0]) })
}

// countLogged records that one ready task less waits for its log line.
func (s *step) countLogged() {
	if s.unlogged--; s.unlogged == 0 {
		s.group.unlogged.remove(s)
	}
}
