package explore

import (
	"fmt"
	"math/rand/v2"
)

// Sample runs a number of schedules with random faults. It allows more faults
// at once than Run can explore in full. Equal seeds give equal results.
func Sample(m Model, seed uint64, schedules int) Result {
	x := &explorer{model: &m, faults: faultsOf(m.Kinds), visited: map[uint64]struct{}{}}
	for n := range schedules {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		x.runRandomSchedule(newWorld(&m), r)
		if x.result.Violation != "" {
			x.result.Violation = fmt.Sprintf("seed %d, schedule %d: %s", seed, n, x.result.Violation)
			break
		}
	}
	x.result.States = len(x.visited)
	return x.result
}

// runRandomSchedule runs one schedule to its end. Until the window ends, a
// fault begins in one of roundsPerFault rounds on average.
func (x *explorer) runRandomSchedule(w *world, r *rand.Rand) {
	const roundsPerFault = 8
	for {
		w.round()
		switch {
		case w.failure != "":
			x.recordViolation(w, w.failure)
			return
		case w.finished() && w.now > x.model.Window:
			x.result.Schedules++
			return
		case w.now > x.model.Window+w.lastFaultEnd()+x.model.MaxWait:
			x.recordViolation(w, "stuck: a job has not ended within MaxWait although no fault is active")
			return
		}
		x.visited[x.fingerprint(w)] = struct{}{}
		if w.now >= x.model.Window || w.faultsBegun >= x.model.Faults || r.IntN(roundsPerFault) != 0 {
			continue
		}
		if f := x.faults[r.IntN(len(x.faults))]; !w.conflicts(f) {
			w.beginFault(f, x.model.Durations[r.IntN(len(x.model.Durations))])
		}
	}
}
