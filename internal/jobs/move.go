package jobs

import (
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
	// that the host's figures show the first before the second is decided.
	minMoveInterval = 150 * time.Millisecond
)

// updateThrottledSince records since when the run is throttled, from its CPU
// limit in the reported status.
func (r *run) updateThrottledSince(s msg.RunStatus) {
	switch {
	case s.CPULimitPercent > throttledPercent:
		r.throttledSince = 0
	case r.throttledSince == 0:
		r.throttledSince = r.core().now
	}
}

// movable reports whether the run loses little by a move: it has been throttled
// for moveDelay, and can resume from a checkpoint on another host.
func (r *run) movable() bool {
	spec := r.task.step.spec
	return spec.BestEffort && spec.Checkpointing && r.state == runRunning && r.throttledSince != 0 && r.core().now-r.throttledSince >= moveDelay
}

// moveThrottled stops throttled best-effort runs that would run faster on
// another host. Their tasks become ready again when the ends are reported.
func (c *Core) moveThrottled(hosts []*host) {
	for _, h := range hosts {
		for _, r := range h.sortedRuns() {
			if !r.movable() {
				continue
			}
			if target := c.moveTarget(r, hosts); target != nil {
				target.lastMoveAt = c.now
				r.stop("moves-to-" + string(target.info.Name))
			}
		}
	}
}

// moveTarget returns the host to which a run should move, or nil.
func (c *Core) moveTarget(r *run, hosts []*host) *host {
	var others []*host
	for _, h := range hosts {
		if h != r.host && (h.lastMoveAt == 0 || c.now-h.lastMoveAt >= minMoveInterval) {
			others = append(others, h)
		}
	}
	views := make([]hostselect.Host, len(others))
	for i, h := range others {
		views[i] = h.view(r.task)
	}
	selection := r.task.selectionTask()
	selection.MayWait = true // excludes hosts on which it would be throttled as much
	if i, _ := hostselect.Choose(selection, views); i >= 0 {
		return others[i]
	}
	return nil
}
