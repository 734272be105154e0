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
	c      *Controller
	state  *hostState
	host   *Host
	loads  []float64 // by service
	limits []int     // percent by task
	target []int     // chosen limits
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
func (d *decision) worst(sign float64) float64 {
	e := d.exposure()
	worst := -1e9
	for i, s := range d.host.Services {
		p := d.c.learner.Predict(s.Service, d.loads[i], e)
		p.Mean += d.state.offsets[s.Service]
		worst = max(worst, p.Mean+sign*d.c.bound(s.Service)*p.Deviation)
	}
	return worst
}

func (d *decision) upper() float64 {
	return d.worst(1)
}

// choose sets target to the highest limits that keep the bound: tasks that
// yield first, and among them the most harmful, give way first. It reports
// whether the lowest limits suffice for the mean prediction.
func (d *decision) choose() (enough bool) {
	present := slices.Clone(d.limits)
	for i := range d.limits {
		d.limits[i] = 100
	}
	over := d.upper() > 0
	for _, i := range d.order() {
		if !over {
			break
		}
		d.limits[i] = leastPercent
		if over = d.upper() > 0; over {
			continue
		}
		for d.limits[i]+percentStep <= 100 {
			d.limits[i] += percentStep
			if d.upper() > 0 {
				d.limits[i] -= percentStep
				break
			}
		}
	}
	d.target = slices.Clone(d.limits)
	enough = !over || d.worst(-1) <= 0
	copy(d.limits, present)
	return enough
}

// order lists the tasks that harm a service, by who gives way first.
func (d *decision) order() []int {
	harm := map[model.Class]float64{}
	for _, t := range d.host.Tasks {
		if _, ok := harm[t.Class]; !ok {
			harm[t.Class] = d.c.MaxCoefficient(d.host.Services, t.Class)
		}
	}
	order := make([]int, 0, len(d.host.Tasks))
	for i, t := range d.host.Tasks {
		if harm[t.Class] > leastHarm {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := d.host.Tasks[a], d.host.Tasks[b]
		return cmp.Or(compareBool(x.Protected, y.Protected), cmp.Compare(x.YieldRank, y.YieldRank),
			cmp.Compare(harm[y.Class], harm[x.Class]), cmp.Compare(x.LostWork, y.LostWork))
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
func (d *decision) throttle(now time.Duration) []Action {
	var actions []Action
	raise := false
	for i, t := range d.host.Tasks {
		switch {
		case d.target[i] < d.limits[i]:
			actions = append(actions, d.action(i, "the predicted p99 of a service on the host exceeds its target"))
			d.limits[i] = d.target[i]
		case d.target[i] > d.limits[i] && !t.Stopping:
			raise = true
		}
	}
	if len(actions) > 0 || !raise {
		d.state.calm = 0
		return actions
	}
	if d.state.calm == 0 {
		d.state.calm = now
	}
	if now-d.state.calm < d.c.opts.RelaxAfter {
		return nil
	}
	return d.raise()
}

// raise moves limits up to their target while the bound keeps a margin.
func (d *decision) raise() []Action {
	var actions []Action
	for i, t := range d.host.Tasks {
		if d.target[i] <= d.limits[i] || t.Stopping {
			continue
		}
		before := d.limits[i]
		d.limits[i] = d.target[i]
		if d.upper() > -relaxMargin && len(d.host.Services) > 0 {
			d.limits[i] = before
			continue
		}
		actions = append(actions, d.action(i, "the services have room again"))
	}
	return actions
}

func (d *decision) action(i int, reason string) Action {
	return Action{Attempt: d.host.Tasks[i].Attempt, Step: StepThrottle, CPULimitPercent: d.target[i], Reason: reason}
}

// stop chooses one victim when the lowest limits have not been enough for a
// time; after it, the time starts again.
func (d *decision) stop(now time.Duration, enough bool) []Action {
	for _, t := range d.host.Tasks {
		if t.Stopping {
			enough = true // wait for its effect
		}
	}
	if enough {
		d.state.pressure = 0
		return nil
	}
	if d.state.pressure == 0 {
		d.state.pressure = now
	}
	if now-d.state.pressure < d.c.opts.StopAfter {
		return nil
	}
	victim := -1
	for _, i := range d.order() {
		if !d.host.Tasks[i].Protected && (victim < 0 || yieldsBefore(d.host.Tasks[i], d.host.Tasks[victim])) {
			victim = i
		}
	}
	if victim < 0 {
		return nil
	}
	d.state.pressure = 0
	return []Action{{Attempt: d.host.Tasks[victim].Attempt, Step: StepCheckpointStop,
		Reason: fmt.Sprintf("a service on the host misses its target although harmful tasks are limited to %d%%", leastPercent)}}
}

// yieldsBefore orders victims: yields-first, then the least lost work.
func yieldsBefore(a, b Task) bool {
	return cmp.Or(cmp.Compare(a.YieldRank, b.YieldRank), cmp.Compare(a.LostWork, b.LostWork)) < 0
}
