package interfere

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// decision is the state of one Decide or Admit call.
type decision struct {
	controller *Controller
	state      *hostState
	host       *Host
	loads      []float64 // by index of the service
	limits     []int     // present limits in percent, by index of the task
	targets    []int     // chosen limits in percent, by index of the task
}

// exposure returns the exposure of the services under the limits.
func (d *decision) exposure() Exposure {
	e := Exposure{}
	for i, t := range d.host.Tasks {
		e[t.Class] += float64(t.CPU) / float64(d.host.CPU) * float64(d.limits[i]) / 100
	}
	return e
}

// maxPrediction returns the largest prediction of ln(p99/target) of the
// services: the mean plus sign times the confidence in standard deviations.
func (d *decision) maxPrediction(sign float64) float64 {
	e := d.exposure()
	highest := -1e9
	for i, s := range d.host.Services {
		p := d.controller.learner.Predict(s.Service, d.loads[i], e)
		p.Mean += d.state.offsets[s.Service]
		highest = max(highest, p.Mean+sign*d.controller.confidence(s.Service)*p.Deviation)
	}
	return highest
}

// upperBound returns the largest upper bound of the services' predictions.
func (d *decision) upperBound() float64 {
	return d.maxPrediction(1)
}

// chooseTargets sets targets to the highest limits for which no upper bound
// exceeds a target. It limits the tasks in throttleOrder. It returns false if
// even the lower bounds of the predictions exceed a target at these limits.
func (d *decision) chooseTargets() (sufficient bool) {
	present := slices.Clone(d.limits)
	for i := range d.limits {
		d.limits[i] = 100
	}
	exceeded := d.upperBound() > 0
	for _, i := range d.throttleOrder() {
		if !exceeded {
			break
		}
		d.limits[i] = minLimitPercent
		if exceeded = d.upperBound() > 0; exceeded {
			continue
		}
		for d.limits[i]+limitStepPercent <= 100 {
			d.limits[i] += limitStepPercent
			if d.upperBound() > 0 {
				d.limits[i] -= limitStepPercent
				break
			}
		}
	}
	d.targets = slices.Clone(d.limits)
	sufficient = !exceeded || d.maxPrediction(-1) <= 0
	copy(d.limits, present)
	return sufficient
}

// throttleOrder returns the indexes of the harmful tasks in the order in which
// they are throttled: urgent tasks last, then by yield rank, then the largest
// coefficient first, then the least lost work first.
func (d *decision) throttleOrder() []int {
	coefficients := map[model.Class]float64{}
	for _, t := range d.host.Tasks {
		if _, ok := coefficients[t.Class]; !ok {
			coefficients[t.Class] = d.controller.MaxCoefficient(d.host.Services, t.Class)
		}
	}
	order := make([]int, 0, len(d.host.Tasks))
	for i, t := range d.host.Tasks {
		if coefficients[t.Class] > maxHarmlessCoefficient {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := d.host.Tasks[a], d.host.Tasks[b]
		return cmp.Or(compareBool(x.Protected, y.Protected), cmp.Compare(x.YieldRank, y.YieldRank),
			cmp.Compare(coefficients[y.Class], coefficients[x.Class]), cmp.Compare(x.LostWork, y.LostWork))
	})
	return order
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// applyTargets lowers limits at once. It raises them after they were raisable
// for Options.RelaxAfter.
func (d *decision) applyTargets(now time.Duration) []Action {
	var actions []Action
	raisable := false
	for i, t := range d.host.Tasks {
		switch {
		case d.targets[i] < d.limits[i]:
			actions = append(actions, d.throttleAction(i, "the predicted p99 of a service on the host exceeds its target"))
			d.limits[i] = d.targets[i]
		case d.targets[i] > d.limits[i] && !t.Stopping:
			raisable = true
		}
	}
	if len(actions) > 0 || !raisable {
		d.state.raisableSince = 0
		return actions
	}
	if d.state.raisableSince == 0 {
		d.state.raisableSince = now
	}
	if now-d.state.raisableSince < d.controller.opts.RelaxAfter {
		return nil
	}
	return d.raiseLimits()
}

// raiseLimits raises the limits to their targets, for which chooseTargets found
// the upper bound low enough.
func (d *decision) raiseLimits() []Action {
	var actions []Action
	for i, t := range d.host.Tasks {
		if d.targets[i] <= d.limits[i] || t.Stopping {
			continue
		}
		d.limits[i] = d.targets[i]
		actions = append(actions, d.throttleAction(i, "the services on the host meet their targets without the lower limit"))
	}
	return actions
}

// throttleAction returns the action that sets a task's limit to its target.
func (d *decision) throttleAction(i int, reason string) Action {
	return Action{Attempt: d.host.Tasks[i].Attempt, Step: StepThrottle, CPULimitPercent: d.targets[i], Reason: reason}
}

// stopVictim stops one task when the lowest limits were insufficient for
// Options.StopAfter. The time starts again after each stop, and while a task
// is stopping.
func (d *decision) stopVictim(now time.Duration, sufficient bool) []Action {
	for _, t := range d.host.Tasks {
		if t.Stopping {
			sufficient = true // wait until its end takes effect
		}
	}
	if sufficient {
		d.state.insufficientSince = 0
		return nil
	}
	if d.state.insufficientSince == 0 {
		d.state.insufficientSince = now
	}
	if now-d.state.insufficientSince < d.controller.opts.StopAfter {
		return nil
	}
	victim := -1
	for _, i := range d.throttleOrder() {
		if !d.host.Tasks[i].Protected && (victim < 0 || yieldsBefore(d.host.Tasks[i], d.host.Tasks[victim])) {
			victim = i
		}
	}
	if victim < 0 {
		return nil
	}
	d.state.insufficientSince = 0
	return []Action{{Attempt: d.host.Tasks[victim].Attempt, Step: StepCheckpointStop,
		Reason: fmt.Sprintf("a service on the host misses its target although harmful tasks are limited to %d%%", minLimitPercent)}}
}

// yieldsBefore reports whether a is stopped before b: by yield rank, then by
// the least lost work.
func yieldsBefore(a, b Task) bool {
	return cmp.Or(cmp.Compare(a.YieldRank, b.YieldRank), cmp.Compare(a.LostWork, b.LostWork)) < 0
}
