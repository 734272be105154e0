package jobs

import (
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

// placement places the ready tasks of a step during one pass.
type placement struct {
	step       *step
	group      *group
	begun      [searchKinds]bool
	slowBegun  bool // begin examined the hosts that were too slow
	candidates [searchKinds][]candidate
	limit      int // views of the pass at which the placement ends
	// overdueOnly leaves the tasks that are not overdue to the order of urgency.
	overdueOnly bool
}

// candidate is a host that can run the tasks of a step.
type candidate struct {
	host  *host
	score float64
}

// run starts the tasks of the step on the best hosts, and reports whether it
// examined all tasks. Once no host is left for one task, none is left for the
// others with the same kind of search; they are visited only to log why they
// wait.
func (p *placement) run() bool {
	s, c := p.step, p.step.job.core
	p.limit = c.viewLimit
	for i := 0; i < len(s.ready); {
		t := s.ready[i]
		if p.overdueOnly && !t.overdue() {
			i++
			continue
		}
		k := t.searchKind()
		if !p.begun[k] {
			if c.pass.Views >= c.viewLimit {
				return false
			}
			before := c.pass.Views
			p.begin(k)
			p.limit += c.pass.Views - before // otherwise a search of so many hosts would start nothing
		}
		if len(p.candidates[k]) == 0 {
			if s.unlogged == 0 && p.exhausted() {
				return true
			}
			t.logUnplaced()
			i++
			continue
		}
		if c.pass.Views >= p.limit || !c.orders.admits() {
			return false
		}
		h := p.choose(k, t)
		h.start(t)
		for k := range searchKinds {
			p.update(k, h)
		}
	}
	return true
}

// exhausted reports whether no host is left for any ready task of the step.
func (p *placement) exhausted() bool {
	for k := range searchKinds {
		if p.begun[k] && len(p.candidates[k]) > 0 {
			return false
		}
		if !p.begun[k] && (k == anySpeed || p.step.mayWait()) {
			return false
		}
	}
	return true
}

// noneLeft reports whether a search of the kind has found that no host is left.
func (p *placement) noneLeft(k searchKind) bool { return p.begun[k] && len(p.candidates[k]) == 0 }

// mayWait reports whether a ready task of the step may still wait for a host of
// good speed.
func (s *step) mayWait() bool {
	return s.spec.BestEffort && s.job.core.now-s.lastReady < hostselect.MaxWait
}

// speedInterval is the minimum time between two examinations of hosts that were
// too slow.
const speedInterval = 100 * time.Millisecond

// begin examines the hosts that improved since the last pass. Whether a host has
// a good speed also depends on the load of its serving tasks, so those that were
// too slow are examined again after speedInterval.
func (p *placement) begin(k searchKind) {
	c := p.step.job.core
	p.begun[k] = true
	s := &p.group.searches[k]
	if n := len(c.hostsByName) - len(s.reasons); n > 0 {
		s.reasons = append(s.reasons, make([]hostselect.Reason, n)...)
		s.described = false
	}
	for e := c.improved.Front(); e != nil; e = e.Next() {
		h := e.Value.(*host)
		if h.improvement <= s.examined {
			break
		}
		p.examine(k, h)
	}
	if k == goodSpeed && c.now-s.slowExaminedAt >= speedInterval {
		p.slowBegun = true
		for _, h := range c.hostsByName {
			// One that fits was too slow until another step of the group examined it.
			if r := s.reasons[h.index]; h.improvement <= s.examined && (r == hostselect.LowSpeed || r == hostselect.Fits) {
				p.examine(k, h)
			}
		}
	}
	p.recordExhausted(k)
}

// examine adds a host to the candidates if it can run the tasks.
func (p *placement) examine(k searchKind, h *host) {
	task := p.step.selectionTask()
	task.MayWait = k == goodSpeed
	view := h.view(p.step)
	reason := hostselect.Check(task, view)
	s := &p.group.searches[k]
	s.reasons[h.index], s.described = reason, false
	if reason == hostselect.Fits {
		p.candidates[k] = append(p.candidates[k], candidate{h, hostselect.Score(task, view)})
	}
}

// update examines a candidate again after a task was started on it.
func (p *placement) update(k searchKind, h *host) {
	i := slices.IndexFunc(p.candidates[k], func(c candidate) bool { return c.host == h })
	if i < 0 || len(p.step.ready) == 0 {
		return
	}
	p.candidates[k] = slices.Delete(p.candidates[k], i, i+1)
	p.examine(k, h)
	p.recordExhausted(k)
}

// recordExhausted records that no host can run the tasks, if that is so. Only
// improvements can change it.
func (p *placement) recordExhausted(k searchKind) {
	if len(p.candidates[k]) > 0 {
		return
	}
	c, s := p.step.job.core, &p.group.searches[k]
	s.examined = c.improvements
	if k == goodSpeed && p.slowBegun {
		s.slowExaminedAt = c.now
	}
}

// choose returns the best candidate for a task. Hosts on which the task failed
// are considered only if no other host can run it.
func (p *placement) choose(k searchKind, t *task) *host {
	var best *candidate
	for i := range p.candidates[k] {
		o := &p.candidates[k][i]
		if best == nil || t.prefers(o, best) {
			best = o
		}
	}
	return best.host
}

// prefers reports whether candidate a is better for the task than b.
func (t *task) prefers(a, b *candidate) bool {
	failedA, failedB := t.failedHosts[a.host.info.Name], t.failedHosts[b.host.info.Name]
	switch {
	case failedA != failedB:
		return failedB
	case a.score != b.score:
		return a.score > b.score
	}
	return a.host.info.Name < b.host.info.Name
}
