package interfere

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// decision is the work of one Decide call.
type decision struct {
	controller *Controller
	state      *hostState
	host       *Host
	loads      []float64 // by service
	limits     []int     // percent by task
	targets    []int     // chosen limits
}

// exposure is what the limits let each class use.
func (d *decision) exposure() Exposure {
	e := Exposure{}
	for i, t := range d.host.Tasks {
		e[t.Class] += float64(t.CPU) / float64(d.host.CPU) * float64(d.limits[i]) / 100
	}
	return e
}

// worst returns the largest of the services' predictions with sign standard
// deviations of their confidence.
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

func (d *decision) upperBound() float64 {
	return d.maxPrediction(1)
}

// choose sets target to the highest limits that keep the bound: tasks that
// yield first, and among them the most harmful, give way first. It reports
// whether the lowest limits suffice for the mean prediction.
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

// order lists the tasks that harm a service, by who gives way first.
func (d *decision) throttleOrder() []int {
	coefficients := map[model.Class]float64{}
	for _, t := range d.host.Tasks {
		if _, ok := coefficients[t.Class]; !ok {
			coefficients[t.Class] = d.controller.MaxCoefficient(d.host.Services, t.Class)
		}
	}
	order := make([]int, 0, len(d.host.Tasks))
	for i, t := range d.host.Tasks {
		if coefficients[t.Class] > maxHarmless {
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

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// throttle lowers limits at once and raises them after a calm time.
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

// raise moves limits up to their target while the bound keeps a margin.
func (d *decision) raiseLimits() []Action {
	var actions []Action
	for i, t := range d.host.Tasks {
		if d.targets[i] <= d.limits[i] || t.Stopping {
			continue
		}
		present := d.limits[i]
		d.limits[i] = d.targets[i]
		if d.upperBound() > -raiseMargin && len(d.host.Services) > 0 {
			d.limits[i] = present
			continue
		}
		actions = append(actions, d.throttleAction(i, "the services have room again"))
	}
	return actions
}

func (d *decision) throttleAction(i int, reason string) Action {
	return Action{Attempt: d.host.Tasks[i].Attempt, Step: StepThrottle, CPULimitPercent: d.targets[i], Reason: reason}
}

// stop chooses one victim when the lowest limits have not been enough for a
// time; after it, the time starts again.
func (d *decision) stopVictim(now time.Duration, sufficient bool) []Action {
	for _, t := range d.host.Tasks {
		if t.Stopping {
			sufficient = true // wait for its effect
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

// yieldsBefore orders victims: yields-first, then the least lost work.
func yieldsBefore(a, b Task) bool {
	return cmp.Or(cmp.Compare(a.YieldRank, b.YieldRank), cmp.Compare(a.LostWork, b.LostWork)) < 0
}
