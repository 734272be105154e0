package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

const (
	// heldPace is the share at which a filler counts as held back.
	throttledPercent = 25 // percent
	// moveAfter is how long a filler is held back before it is moved, so that
	// a short crest of its neighbours moves nothing.
	moveDelay = 700 * time.Millisecond
	// moveSpacing is the least time between two moves to one host: the first
	// has to show in its figures.
	minMoveInterval = 150 * time.Millisecond
)

// noteHeld records since when a filler is held back.
func (r *run) updateThrottledSince(s msg.RunStatus) {
	switch {
	case s.CPULimitPercent > throttledPercent:
		r.throttledSince = 0
	case r.throttledSince == 0:
		r.throttledSince = r.core().now
	}
}

// movable reports whether the run loses little by a move: it is held back, and
// goes on from a checkpoint elsewhere.
func (r *run) movable() bool {
	spec := r.task.step.spec
	return spec.BestEffort && spec.Checkpointing && r.state == runRunning && r.throttledSince != 0 && r.core().now-r.throttledSince >= moveDelay
}

// moveHeld stops fillers that are held back where another host would let them
// work. Their tasks start again when the ends are reported.
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

// elsewhere returns the host to which a run should move, or nil.
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
	selection.MayWait = true
	if i, _ := hostselect.Choose(selection, views); i >= 0 {
		return others[i]
	}
	return nil
}
