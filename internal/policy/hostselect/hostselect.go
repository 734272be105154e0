// Package hostselect chooses hosts for the tasks of jobs: it filters the hosts on
// which a task may run and scores the rest. It is free of input and output.
package hostselect

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Reason says why a task may not run on a host.
type Reason uint8

// Reasons against a host. Fits is none.
const (
	Fits Reason = iota
	Unreachable
	Draining
	OtherService
	NoLabel
	TooManyOfStep // of the step's tasks are on the host
	NoCapacity
	Failing
	Avoided  // the task failed there
	LowSpeed // a filler would hardly work there
)

func (r Reason) String() string {
	return [...]string{
		"fits", "unreachable", "draining", "other-service", "no-label", "too-many-of-step", "no-room", "failing", "failed-there", "crowded",
	}[r]
}

// Host is what a choice knows of a host.
type Host struct {
	Info               *workload.Host
	Reachable          bool
	Free               workload.Resources // declared sizes of live runs taken off
	BestEffortCPU      int64              // demand of fillers in thousandths of a core
	Serving            int                // live runs that serve
	SameStep           int                // live runs of the step
	SameImage          bool               // a live run serves with the task's image
	BestEffortHeadroom float64            // how many fillers like the task the serving runs still bear
	Suspect            bool               // the last run there failed, or progress is slow
	Failing            bool
	Avoided            bool
}

// Task is what a choice knows of a task.
type Task struct {
	Step     *workload.Step
	Service  workload.Service
	Priority int
	MayWait  bool // a filler that may still wait for a better host
}

// Patience is how long a filler waits for a host on which it would work at
// leastSpeed at least.
const (
	MaxWait  = 1500 * time.Millisecond
	minSpeed = 0.4
)

// Speed estimates the share of its speed at which a filler would work on h.
func Speed(t Task, h Host) float64 {
	speed := min(1, 1/max(demand(t, h), 0.01))
	if h.Serving > 0 {
		speed *= min(1, h.BestEffortHeadroom)
	}
	return speed
}

// servingUse is the part of their declared processors that other tasks use.
const otherUsedShare = 0.6

// demand is what the tasks on h would use of its processors with a filler t.
func demand(t Task, h Host) float64 {
	capacity := float64(max(1, h.Info.Capacity.MilliCPU))
	others := capacity - float64(h.Free.MilliCPU)
	bestEffort := float64(h.BestEffortCPU + t.Step.Need.MilliCPU)
	return (otherUsedShare*others + contention.UsedShare*bestEffort) / capacity
}

// reservedShare of a host's processors is kept for tasks of the first
// priority, so that short tasks start at once beside large ones.
const reservedShare = 0.06

// Check returns why t may not run on h, or Fits.
func Check(t Task, h Host) Reason {
	switch {
	case !h.Reachable || h.Info.State == workload.HostUnavailable:
		return Unreachable
	case h.Info.State != workload.HostReady:
		return Draining
	case h.Info.Service != t.Service:
		return OtherService
	case t.Step.Label != "" && !h.Info.HasLabel(t.Step.Label):
		return NoLabel
	case t.Step.MaxPerHost > 0 && h.SameStep >= t.Step.MaxPerHost:
		return TooManyOfStep
	case h.Failing:
		return Failing
	case h.Avoided:
		return Avoided
	}
	free := h.Free
	if t.Priority > 0 && !t.Step.BestEffort {
		free.MilliCPU -= int64(reservedShare * float64(h.Info.Capacity.MilliCPU))
	}
	if !t.Step.Charge().Fits(free) {
		return NoCapacity
	}
	if t.Step.BestEffort && t.MayWait && Speed(t, h) < minSpeed {
		return LowSpeed
	}
	return Fits
}

// Weights of the parts of a score. A score of 1 is an empty host.
const (
	suspectWeight   = 4.0
	otherRackWeight = 0.6
	speedWeight     = 4.0
	demandWeight    = 0.5
	// pressureWeight is for the part of what serving tasks still bear.
	pressureWeight = 1.0
	// Fillers disturb serving tasks, so the two are kept apart.
	servingBesideBestEffort = 2.0
	// Serving tasks share hosts, which leaves the others to fillers. A filler
	// disturbs some images of serving tasks and others hardly, so hosts with
	// one image find fillers that suit them.
	servingTogether   = 1.5
	sameImageTogether = 2.0
	// Tasks of one job have their crests at the same time, so their host has
	// room for fillers in between.
	sameJobTogether = 1.0
)

// Score rates a host on which t may run; the highest is best.
func Score(t Task, h Host) float64 {
	score := 0.0
	if h.Suspect {
		score -= suspectWeight
	}
	if t.Step.DataRack != "" && !h.Info.HasLabel(t.Step.DataRack) {
		score -= otherRackWeight
	}
	switch {
	case t.Step.BestEffort:
		return score + bestEffortScore(t, h)
	case t.Step.Serves():
		score -= servingBesideBestEffort * float64(h.BestEffortCPU) / float64(max(1, h.Info.Capacity.MilliCPU))
		score += sameJobTogether * min(1, float64(h.SameStep))
		switch {
		case h.SameImage:
			score += sameImageTogether
		case h.Serving > 0:
			score += servingTogether
		}
	}
	return score + unusedShare(h)
}

// unused is the part of the processors that no task takes.
func unusedShare(h Host) float64 {
	return float64(h.Free.MilliCPU-h.BestEffortCPU) / float64(max(1, h.Info.Capacity.MilliCPU))
}

func bestEffortScore(t Task, h Host) float64 {
	score := speedWeight*Speed(t, h) - demandWeight*demand(t, h)
	if h.Serving > 0 {
		score -= pressureWeight / max(1, h.BestEffortHeadroom)
	}
	return score
}

// Choose returns the index of the best host, or -1, and how many hosts each
// reason excluded.
func Choose(t Task, hosts []Host) (int, map[Reason]int) {
	best, bestScore := -1, 0.0
	excluded := map[Reason]int{}
	for i := range hosts {
		if r := Check(t, hosts[i]); r != Fits {
			excluded[r]++
			continue
		}
		if s := Score(t, hosts[i]); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best, excluded
}
