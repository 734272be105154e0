// Package spread chooses hosts for the tasks of jobs: it filters the hosts on
// which a task may run and scores the rest. It is free of input and output.
package spread

import "github.com/bambooscale/bambooscale/internal/workload"

// Reason says why a task may not run on a host.
type Reason uint8

// Reasons against a host. Fits is none.
const (
	Fits Reason = iota
	Unreachable
	Draining
	OtherService
	NoLabel
	TooMany // of the step's tasks are on the host
	NoRoom
	Failing
	Avoided // the task failed there
)

func (r Reason) String() string {
	return [...]string{
		"fits", "unreachable", "draining", "other-service", "no-label", "too-many-of-step", "no-room", "failing", "failed-there",
	}[r]
}

// Host is what a choice knows of a host.
type Host struct {
	Info      *workload.Host
	Reachable bool
	Free      workload.Resources // declared sizes of live runs taken off
	FillerCPU int64              // demand of fillers in thousandths of a core
	Serving   int                // live runs that serve
	SameStep  int                // live runs of the step
	Strain    float64            // worst latency of a serving run over its target
	Harm      float64            // of the task, a filler, to serving runs
	Suspect   bool               // the last run there failed, or progress is slow
	Failing   bool
	Avoided   bool
}

// Task is what a choice knows of a task.
type Task struct {
	Step     *workload.Step
	Service  workload.Service
	Priority int
}

// reservedShare of a host's processors is kept for tasks of the first
// priority, so that short tasks start at once beside large ones.
const reservedShare = 0.06

// Check returns why t may not run on h, or Fits.
func Check(t Task, h Host) Reason {
	switch {
	case !h.Reachable || h.Info.State == workload.HostAway:
		return Unreachable
	case h.Info.State != workload.HostReady:
		return Draining
	case h.Info.Service != t.Service:
		return OtherService
	case t.Step.Label != "" && !h.Info.HasLabel(t.Step.Label):
		return NoLabel
	case t.Step.MaxPerHost > 0 && h.SameStep >= t.Step.MaxPerHost:
		return TooMany
	case h.Failing:
		return Failing
	case h.Avoided:
		return Avoided
	}
	room := h.Free
	if t.Priority > 0 && !t.Step.Filler {
		room.MilliCPU -= int64(reservedShare * float64(h.Info.Capacity.MilliCPU))
	}
	if !t.Step.Charge().Fits(room) {
		return NoRoom
	}
	return Fits
}

// Weights of the parts of a score. A score of 1 is an empty host.
const (
	suspectWeight   = 4.0
	otherRackWeight = 0.6
	// Fillers disturb serving tasks, so the two are kept apart.
	fillerBesideServing = 4.0
	leastHarm           = 0.1
	strainWeight        = 0.3
	servingBesideFiller = 2.0
	// Serving tasks share hosts, which leaves the others to fillers.
	servingTogether = 1.5
)

// Score rates a host on which t may run; the highest is best.
func Score(t Task, h Host) float64 {
	capacity := float64(max(1, h.Info.Capacity.MilliCPU))
	unused := float64(h.Free.MilliCPU-h.FillerCPU) / capacity
	score := unused
	if h.Suspect {
		score -= suspectWeight
	}
	if t.Step.DataRack != "" && !h.Info.HasLabel(t.Step.DataRack) {
		score -= otherRackWeight
	}
	switch {
	case t.Step.Filler:
		if h.Serving > 0 {
			score -= fillerBesideServing*max(leastHarm, h.Harm) + strainWeight*h.Strain
		}
	case t.Step.Serves():
		score -= servingBesideFiller * float64(h.FillerCPU) / capacity
		score += servingTogether * min(1, float64(h.Serving))
	}
	return score
}

// Choose returns the index of the best host, or -1, and how many hosts each
// reason excluded.
func Choose(t Task, hosts []Host) (int, map[Reason]int) {
	best, bestScore := -1, 0.0
	against := map[Reason]int{}
	for i := range hosts {
		if r := Check(t, hosts[i]); r != Fits {
			against[r]++
			continue
		}
		if s := Score(t, hosts[i]); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best, against
}
