package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
)

const (
	// heldPace is the share at which a filler counts as held back.
	heldPace = 25 // percent
	// moveAfter is how long a filler is held back before it is moved, so that
	// a short crest of its neighbours moves nothing.
	moveAfter = 700 * time.Millisecond
	// moveSpacing is the least time between two moves to one host: the first
	// has to show in its figures.
	moveSpacing = 150 * time.Millisecond
)

// noteHeld records since when a filler is held back.
func (r *run) noteHeld(s msg.RunStatus) {
	switch {
	case s.CPULimitPercent > heldPace:
		r.heldSince = 0
	case r.heldSince == 0:
		r.heldSince = r.core().now
	}
}

// movable reports whether the run loses little by a move: it is held back, and
// goes on from a checkpoint elsewhere.
func (r *run) movable() bool {
	spec := r.task.step.spec
	return spec.BestEffort && spec.Checkpointing && r.state == runRunning && r.heldSince != 0 && r.core().now-r.heldSince >= moveAfter
}

// moveHeld stops fillers that are held back where another host would let them
// work. Their tasks start again when the ends are reported.
func (c *Core) moveHeld(hosts []*host) {
	for _, h := range hosts {
		for _, r := range h.sortedRuns() {
			if !r.movable() {
				continue
			}
			if to := c.elsewhere(r, hosts); to != nil {
				to.movedTo = c.now
				r.stop("moves-to-" + string(to.info.Name))
			}
		}
	}
}

// elsewhere returns the host to which a run should move, or nil.
func (c *Core) elsewhere(r *run, hosts []*host) *host {
	var others []*host
	for _, h := range hosts {
		if h != r.host && (h.movedTo == 0 || c.now-h.movedTo >= moveSpacing) {
			others = append(others, h)
		}
	}
	views := make([]hostselect.Host, len(others))
	for i, h := range others {
		views[i] = h.view(r.task)
	}
	want := r.task.wanted()
	want.Patient = true
	if i, _ := hostselect.Choose(want, views); i >= 0 {
		return others[i]
	}
	return nil
}
