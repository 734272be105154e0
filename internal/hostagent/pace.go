package hostagent

import (
	"fmt"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	fullPace = 100 // percent
	// unknownPace is that of a run that a former agent started, or whose last
	// call may have failed.
	unknownPace = -1
	// paceStep is the granularity of a pace, and paceDeadband the change that
	// is worth a call.
	paceStep     = 5  // percent
	paceDeadband = 15 // percent
	// overLimit is how long a serving task may miss its target before all
	// fillers beside it are held, whatever the model says of them.
	overLimit = 1500 * time.Millisecond
	// calmShare of the target ends the time that counts as missed. The figures
	// are rough, so one just below the target does not show that it is kept.
	calmShare = 0.85
	// paceAhead is when a pace that is set now shows in the serving tasks.
	paceAhead = 600 * time.Millisecond
)

// pacer holds back fillers so that the serving tasks beside them keep their
// targets, the most harmful ones first.
type pacer struct {
	arrivals uint64
	model    *contention.Model
	over     time.Duration // since when serving tasks miss their targets; 0: none does
}

func newPacer() pacer { return pacer{model: contention.NewLoadModel()} }

// learned takes what the owner knows of pairs of images.
func (p *pacer) learned(harms []msg.Interference) {
	for _, h := range harms {
		p.model.SetCoefficient(contention.Pair{Serving: contention.Image(h.ServingImage), BestEffort: contention.Image(h.BestEffortImage)}, h.Coefficient)
	}
}

// missing reports whether a serving task has missed its target for so long
// that fillers are held. worst is the highest latency over its target.
func (p *pacer) missing(worst float64, now time.Duration) bool {
	switch {
	case worst < calmShare:
		p.over = 0
	case worst > 1 && p.over == 0:
		p.over = now
	}
	return p.over != 0 && now-p.over >= overLimit
}

// neighbour is the serving tasks of one job on the host.
type neighbour struct {
	image contention.Image
	room  float64 // pressure of fillers that they still bear
}

// pressing is a filler and its pressure at full pace on each neighbour.
type pressing struct {
	run      *held
	pressure []float64
}

// pace sets the shares at which the fillers may work, from the newest figures
// of the serving tasks beside them.
func (c *Core) pace() {
	neighbours, worst := c.neighbours()
	if c.pacer.missing(worst, c.now) {
		for i := range neighbours {
			neighbours[i].room = 0
		}
	}
	for _, p := range c.pressings(neighbours) {
		want := p.within(neighbours)
		if now := p.run.pace; now > 0 && want > 0 && want < fullPace && max(want-now, now-want) < paceDeadband {
			want = now
		}
		for i := range neighbours {
			neighbours[i].room = max(0, neighbours[i].room-p.pressure[i]*float64(want)/fullPace)
		}
		c.setPace(p.run, want, worst)
	}
}

// within returns the highest pace that every neighbour bears.
func (p *pressing) within(neighbours []neighbour) int {
	fits := 1.0
	for i, n := range neighbours {
		if p.pressure[i] > 0 {
			fits = min(fits, n.room/p.pressure[i])
		}
	}
	return int(fits*fullPace) / paceStep * paceStep
}

func (c *Core) setPace(r *held, want int, worst float64) {
	if r.state != heldRunning || r.pace == want {
		return
	}
	r.pace = want
	c.note(Decision{Kind: RunPaced, Run: r.id, Detail: fmt.Sprintf("pace=%d worst=%.2f image=%s", want, worst, r.size.Image)})
	c.call(Call{Pace: &PaceCall{Run: r.id, Percent: want}})
}

// pressings lists the fillers, those of the least pressure and then the oldest
// first.
func (c *Core) pressings(neighbours []neighbour) []*pressing {
	var list []*pressing
	most := map[*pressing]float64{}
	for _, r := range c.sorted() {
		if !r.size.BestEffort {
			continue
		}
		p := &pressing{run: r, pressure: make([]float64, len(neighbours))}
		share := c.share(contention.UsedShare * float64(r.size.MilliCPU))
		for i, n := range neighbours {
			p.pressure[i] = share * c.pacer.model.Coefficient(contention.Pair{Serving: n.image, BestEffort: contention.Image(r.size.Image)})
			most[p] = max(most[p], p.pressure[i]/max(n.room, leastRoom))
		}
		list = append(list, p)
	}
	slices.SortStableFunc(list, func(a, b *pressing) int {
		switch {
		case most[a] < most[b]:
			return -1
		case most[a] > most[b]:
			return 1
		}
		return 0
	})
	return list
}

// leastRoom keeps a neighbour without room from deciding the order alone.
const leastRoom = 0.02

// neighbours lists the serving tasks by job, and returns the highest latency
// of one over its target.
func (c *Core) neighbours() ([]neighbour, float64) {
	var list []neighbour
	seen := map[workload.JobID]bool{}
	shares := c.fillerShares()
	worst := 0.0
	for _, r := range c.sorted() {
		if r.size.TargetLatency == 0 || r.latest.Usage <= 0 {
			continue
		}
		worst = max(worst, c.observe(r, shares))
		seen[r.id.Task.Job] = true
	}
	for _, r := range c.sorted() {
		if job := r.id.Task.Job; seen[job] {
			delete(seen, job)
			load := c.pacer.model.Load(contention.Group(job), c.now+paceAhead)
			list = append(list, neighbour{contention.Image(r.size.Image), contention.PressureBudget(load)})
		}
	}
	c.pacer.model.DropIdleGroups(c.now)
	return list, worst
}

// observe learns from the figure of a serving task, once, and returns its
// latency over its target.
func (c *Core) observe(r *held, shares map[contention.Image]float64) float64 {
	latency := time.Duration(r.latest.Usage) * time.Millisecond
	if r.latest.Usage != r.observed {
		r.observed = r.latest.Usage
		c.pacer.model.Observe(c.now, contention.Sample{
			Image: contention.Image(r.size.Image), Group: contention.Group(r.id.Task.Job),
			Latency: latency, Target: r.size.TargetLatency, Shares: shares,
		})
	}
	return float64(latency) / float64(r.size.TargetLatency)
}

// fillerShares returns the parts of the processors that fillers use.
func (c *Core) fillerShares() map[contention.Image]float64 {
	shares := map[contention.Image]float64{}
	for _, r := range c.runs {
		if r.size.BestEffort {
			shares[contention.Image(r.size.Image)] += c.share(float64(r.latest.Usage))
		}
	}
	return shares
}

// share is the part of the host's processors that milliCPU are.
func (c *Core) share(milliCPU float64) float64 {
	return milliCPU / float64(max(1, c.host.Capacity.MilliCPU))
}

// paceAnswered lets a pace whose call failed be set again.
func (c *Core) paceAnswered(a Answer) {
	if r, ok := c.runs[a.Call.Pace.Run]; ok && a.Err != nil && r.pace == a.Call.Pace.Percent {
		r.pace = unknownPace
	}
}
