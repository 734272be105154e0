package jobs

import (
	"slices"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

// waiting holds the ready tasks by step.
type waiting struct {
	steps []*step // steps with ready tasks, the most urgent first
	tasks int

	bestEffortReadyAt time.Duration // when a best-effort task became ready last
	speedMatters      bool          // a task may wait for a host of good speed, or did at the last tick
}

// search is what earlier passes found out about the hosts for the tasks of a
// step. A host that could not run them is examined again only after it improved.
type search struct {
	examined uint64              // number of the last improvement that was examined
	reasons  []hostselect.Reason // by index of the host, when it was examined
	// slowExaminedAt is when the hosts that were too slow were examined last.
	slowExaminedAt time.Duration
}

// searchKind distinguishes the tasks of a step that may run on different hosts.
type searchKind uint8

const (
	anySpeed searchKind = iota
	// goodSpeed applies to best-effort tasks until hostselect.MaxWait.
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

// find returns the position of a step, and whether it has ready tasks.
func (w *waiting) find(s *step) (int, bool) {
	i := sort.Search(len(w.steps), func(i int) bool { return !moreUrgent(w.steps[i], s) })
	return i, i < len(w.steps) && w.steps[i] == s
}

// add makes a task ready.
func (w *waiting) add(t *task) {
	s := t.step
	if len(s.ready) == 0 {
		i, _ := w.find(s)
		w.steps = slices.Insert(w.steps, i, s)
	}
	i := sort.Search(len(s.ready), func(i int) bool { return s.ready[i].index >= t.index })
	s.ready = slices.Insert(s.ready, i, t)
	s.unlogged++
	s.lastReady = t.readySince
	t.ready = true
	if s.spec.BestEffort {
		w.bestEffortReadyAt, w.speedMatters = t.readySince, true
	}
	w.tasks++
}

// remove makes a task no longer ready. It has no effect on a task that is not.
func (w *waiting) remove(t *task) {
	if !t.ready {
		return
	}
	s := t.step
	t.ready = false
	w.tasks--
	if !t.unplacedLogged {
		s.unlogged--
	}
	i := sort.Search(len(s.ready), func(i int) bool { return s.ready[i].index >= t.index })
	if i == 0 {
		s.ready = s.ready[1:]
	} else {
		s.ready = slices.Delete(s.ready, i, i+1)
	}
	if len(s.ready) > 0 {
		return
	}
	s.ready, s.searches = nil, [searchKinds]search{}
	if i, ok := w.find(s); ok {
		w.steps = slices.Delete(w.steps, i, i+1)
	}
}
