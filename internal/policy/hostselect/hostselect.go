// Package hostselect chooses hosts for the tasks of jobs: it filters out the hosts
// that cannot run a task, and scores the others. It does no input or output.
package hostselect

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Reason says why a task cannot run on a host. Operators read the texts of the
// reasons in the detail of event 913 (task-waits), so the texts are stable.
type Reason uint8

// Reasons against a host. Fits means that the task can run there.
const (
	Fits        Reason = iota
	Unreachable        // its agent is not linked, or its backend server is gone
	NoInventory        // its agent has not said what runs there
	EndsMissing        // its agent has not listed all ends
	Unlisted           // it is not in the stored list of hosts
	Paused             // its agent refused starts shortly before
	Reserved           // for an isolated task, or one runs there
	KeptFree           // for a long-running task that is overdue
	Draining
	OtherService
	NoLabel
	TooManyOfStep // the host has MaxPerHost tasks of the step
	NoCapacity
	Failing  // several jobs failed there in succession
	Avoided  // the task failed there
	LowSpeed // a best-effort task would run below minSpeed there
)

func (r Reason) String() string {
	return [...]string{
		"fits", "unreachable", "no-inventory", "ends-missing", "not-listed", "paused", "reserved", "kept-free", "draining", "other-service", "no-label", "too-many-of-step", "no-room", "failing", "failed-there", "crowded",
	}[r]
}

// Host describes a host to Choose, as seen by one task.
type Host struct {
	Info          *workload.Host
	Blocked       Reason             // Fits, or why it takes no such task, from Unreachable to KeptFree
	Free          workload.Resources // capacity less the charges of the runs
	BestEffortCPU int64              // thousandths of a core that best-effort runs declare
	Serving       int                // number of serving runs
	SameStep      int                // number of runs of the task's step
	SameImage     bool               // a serving run has the task's image
	// BestEffortHeadroom is how many best-effort tasks like this one can be added
	// while the serving runs keep their targets. It is set if Serving > 0.
	BestEffortHeadroom float64
	Suspect            bool // a run failed since the last completed one, or one may crash the host's backend server
	Failing            bool // several jobs failed there in succession
	Avoided            bool // the task failed there
}

// Task describes a task to Choose.
type Task struct {
	Step     *workload.Step
	Service  workload.Service
	Priority int
	MayWait  bool // do not place a best-effort task where it would run below minSpeed
}

// MaxWait is how long a best-effort task waits for a host on which it would run
// at minSpeed or faster. A speed of 1 is that of a task which is not throttled.
const (
	MaxWait  = 1500 * time.Millisecond
	minSpeed = 0.4
)

// Speed estimates the speed of a best-effort task on h, as a fraction of its speed
// on an idle host.
func Speed(t Task, h Host) float64 {
	speed := min(1, 1/max(demand(t, h), 0.01))
	if h.Serving > 0 {
		speed *= min(1, h.BestEffortHeadroom)
	}
	return speed
}

// otherUsedShare is the fraction of their declared processors that tasks use which
// are not best-effort.
const otherUsedShare = 0.6

// demand estimates the fraction of h's processors that its tasks would use
// together with the best-effort task t.
func demand(t Task, h Host) float64 {
	capacity := float64(max(1, h.Info.Capacity.MilliCPU))
	others := capacity - float64(h.Free.MilliCPU)
	bestEffort := float64(h.BestEffortCPU + t.Step.Need.MilliCPU)
	return (otherUsedShare*others + contention.UsedShare*bestEffort) / capacity
}

// reservedShare is the fraction of a host's processors that is reserved for tasks
// of the first priority, so that short tasks start at once beside large ones.
// Best-effort tasks are not charged with processor time, so the reservation does
// not apply to them.
const reservedShare = 0.06

// roomFor returns what of h a task may use. Nothing is reserved from a task that would
// not fit on h without any other task: the reservation prefers some tasks, and must not
// keep others from starting at all.
func roomFor(t Task, h Host) workload.Resources {
	if t.Priority == 0 || t.Step.BestEffort {
		return h.Free
	}
	reserved := workload.Resources{MilliCPU: int64(reservedShare * float64(h.Info.Capacity.MilliCPU))}
	if !t.Step.Charge().Fits(h.Info.Capacity.Sub(reserved)) {
		return h.Free
	}
	return h.Free.Sub(reserved)
}

// Check returns why t cannot run on h, or Fits.
func Check(t Task, h Host) Reason {
	switch {
	case h.Blocked != Fits:
		return h.Blocked
	case h.Info.State == workload.HostUnavailable:
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
	if !t.Step.Charge().Fits(roomFor(t, h)) {
		return NoCapacity
	}
	if t.Step.BestEffort && t.MayWait && Speed(t, h) < minSpeed {
		return LowSpeed
	}
	return Fits
}

// Weights of the terms of a score. The score of an empty host for a task that is
// not best-effort is 1.
const (
	suspectWeight   = 4.0
	otherRackWeight = 0.6
	speedWeight     = 4.0
	demandWeight    = 0.5
	// pressureWeight applies to the fraction of the headroom that the task takes.
	pressureWeight = 1.0
	// Best-effort tasks slow down serving tasks, so the two are kept apart.
	servingBesideBestEffort = 2.0
	// Serving tasks share hosts, which leaves the other hosts to best-effort
	// tasks. A best-effort task slows down some images and hardly affects
	// others, so a host with one serving image has best-effort tasks that suit
	// it.
	servingTogether   = 1.5
	sameImageTogether = 2.0
	// The load of the tasks of one job peaks at the same time, so their host
	// has capacity for best-effort tasks in between.
	sameJobTogether = 1.0
)

// Score returns the score of a host that can run t. A higher score is better.
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

// unusedShare returns the fraction of the processors that no task declares.
func unusedShare(h Host) float64 {
	return float64(h.Free.MilliCPU-h.BestEffortCPU) / float64(max(1, h.Info.Capacity.MilliCPU))
}

// bestEffortScore returns the part of the score that is specific to best-effort
// tasks.
func bestEffortScore(t Task, h Host) float64 {
	score := speedWeight*Speed(t, h) - demandWeight*demand(t, h)
	if h.Serving > 0 {
		score -= pressureWeight / max(1, h.BestEffortHeadroom)
	}
	return score
}

// Choose returns the index of the host with the highest score, or -1 if no host
// can run t, and the number of hosts that each reason excluded.
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
