package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

const (
	// throttledPercent is the CPU limit up to which a best-effort run counts as
	// throttled.
	throttledPercent = 25
	// moveDelay is how long a run is throttled before it is moved, so that a
	// short load peak of the serving tasks beside it causes no move.
	moveDelay = 700 * time.Millisecond
	// minMoveInterval is the minimum time between two moves to one host, so
	// that the host's figures show the first before the second is decided. Moves
	// are looked for at this interval.
	minMoveInterval = 150 * time.Millisecond
)

// updateThrottledSince records since when the run is throttled, from its CPU
// limit in the reported status.
func (r *run) updateThrottledSince(s *msg.RunStatus) {
	if s.CPULimitPercent > throttledPercent {
		r.throttledSince = 0
		delete(r.core().throttled, r)
		return
	}
	if r.throttledSince == 0 {
		r.throttledSince = r.core().now
	}
	if spec := r.task.step.spec; spec.BestEffort && spec.Checkpointing {
		r.core().throttled[r] = struct{}{}
	}
}

// movable reports whether a throttled run that can resume from a checkpoint
// loses little by a move: it has been throttled for moveDelay.
func (r *run) movable() bool {
	return r.state == runRunning && r.core().now-r.throttledSince >= moveDelay
}

// movableRuns returns the movable runs, ordered by host and identifier.
func (c *Core) movableRuns() []*run {
	var runs []*run
	for r := range c.throttled {
		if r.movable() {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.host != b.host {
			return cmp.Compare(a.host.info.Name, b.host.info.Name)
		}
		if runIDLess(a.id, b.id) {
			return -1
		}
		return 1
	})
	return runs
}

// moveThrottled stops throttled best-effort runs that would run faster on
// another host. Their tasks become ready again when the ends are reported. It
// leaves runs to a later pass when it reaches maxPassViews.
func (c *Core) moveThrottled() {
	searches := map[*step]*moveSearch{}
	for _, r := range c.movableRuns() {
		if c.pass.Views >= maxPassViews {
			return
		}
		s := searches[r.task.step]
		if s == nil {
			s = &moveSearch{}
			searches[r.task.step] = s
		}
		if target := s.target(r); target != nil {
			target.lastMoveAt = c.now
			r.stop("moves-to-" + string(target.info.Name))
		}
	}
}

// moveSearch is the search for hosts to which the runs of a step can move, during
// one pass. A host that cannot take one of them cannot take the others.
type moveSearch struct {
	searched bool
	left     []*host // hosts that are not known to be unsuitable, if searched
}

// target returns the host to which a run should move, or nil.
func (s *moveSearch) target(r *run) *host {
	c := r.core()
	if !s.searched {
		s.searched, s.left = true, slices.Clone(c.hostsByName)
	}
	task := r.task.step.selectionTask()
	task.MayWait = true // excludes hosts on which it would be throttled as much
	var best *host
	bestScore := 0.0
	s.left = slices.DeleteFunc(s.left, func(h *host) bool {
		switch {
		case h.lastMoveAt != 0 && c.now-h.lastMoveAt < minMoveInterval:
			return true
		case h == r.host || r.task.failedHosts[h.info.Name]:
			return false
		}
		view := h.view(r.task.step)
		if hostselect.Check(task, view) != hostselect.Fits {
			return true
		}
		if score := hostselect.Score(task, view); best == nil || score > bestScore {
			best, bestScore = h, score
		}
		return false
	})
	return best
}
