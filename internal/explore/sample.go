package explore

import (
	"fmt"
	"math/rand/v2"
)

// Sample runs schedules with faults drawn at random, more of them at once than
// Run can cover. The result is the same for the same seed.
func Sample(m Model, seed uint64, schedules int) Result {
	x := &explorer{model: &m, faults: places(m.Kinds), seen: map[uint64]struct{}{}}
	for n := range schedules {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		x.walk(newWorld(&m), r)
		if x.result.Violation != "" {
			x.result.Violation = fmt.Sprintf("seed %d, schedule %d: %s", seed, n, x.result.Violation)
			break
		}
	}
	x.result.States = len(x.seen)
	return x.result
}

// walk follows one schedule. Faults begin in about one round of eight until
// the window ends.
func (x *explorer) walk(w *world, r *rand.Rand) {
	const roundsForEach = 8
	for {
		w.round()
		switch {
		case w.failure != "":
			x.violate(w, w.failure)
			return
		case w.over() && w.now > x.model.Window:
			x.result.Schedules++
			return
		case w.now > x.model.Window+w.lastEnd()+x.model.Patience:
			x.violate(w, "stuck: a job is not over although every fault has ended long ago")
			return
		}
		x.seen[x.sum(w)] = struct{}{}
		if w.now >= x.model.Window || w.spent >= x.model.Faults || r.IntN(roundsForEach) != 0 {
			continue
		}
		if f := x.faults[r.IntN(len(x.faults))]; !w.has(f) {
			w.begin(f, x.model.Durations[r.IntN(len(x.model.Durations))])
		}
	}
}
