package jobs

import (
	"math"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// learn takes what a report of an agent shows of the interference on its
// host. A report holds figures of one moment, so the latencies are due to the
// fillers that it lists.
func (h *host) observeInterference(m *msg.RunsProgress) {
	shares := map[contention.Image]float64{}
	for _, s := range m.Runs {
		if r, ok := h.runs[s.Run]; ok && r.task.step.spec.BestEffort {
			shares[contention.Image(r.task.step.spec.Image)] += h.cpuShare(float64(s.Usage))
		}
	}
	for _, s := range m.Runs {
		r, ok := h.runs[s.Run]
		if !ok || !r.task.step.spec.Serves() || s.Usage <= 0 {
			continue
		}
		spec := r.task.step.spec
		h.core.contention.Observe(h.core.now, contention.Sample{
			Image: contention.Image(spec.Image), Group: loadGroup(r.task.step.job),
			Latency: time.Duration(s.Usage) * time.Millisecond, Target: spec.TargetLatency, Shares: shares,
		})
	}
}

// share is the part of the host's processors that milliCPU are.
func (h *host) cpuShare(milliCPU float64) float64 {
	return milliCPU / float64(max(1, h.info.Capacity.MilliCPU))
}

// loadGroup names the serving tasks that share their load with the job's.
func loadGroup(j *job) contention.Group { return contention.Group(j.spec.ID) }

// lookAhead is how far ahead the load of serving tasks is predicted for a
// filler that starts now.
const loadLookahead = time.Second

// neighbour is the serving tasks of one job on a host, as fillers see them.
type neighbour struct {
	image  contention.Image
	budget float64 // pressure that they bear
}

// neighbours lists the serving tasks on the host by job.
func (h *host) neighbours() []neighbour {
	seen := map[workload.JobID]bool{}
	var list []neighbour
	for _, r := range h.runs {
		spec, j := r.task.step.spec, r.task.step.job
		if !spec.Serves() || seen[j.spec.ID] {
			continue
		}
		seen[j.spec.ID] = true
		load := h.core.contention.Load(loadGroup(j), h.core.now+loadLookahead)
		list = append(list, neighbour{contention.Image(spec.Image), contention.PressureBudget(load)})
	}
	return list
}

// fillersFit returns how many fillers like t the serving tasks on the host still
// bear beside the fillers there that harm them less. The agent holds the more
// harmful ones first.
func (h *host) bestEffortHeadroom(t *task) float64 {
	headroom := math.Inf(1)
	share := h.bestEffortShare(t)
	for _, n := range h.neighbours() {
		coefficient := h.core.contention.Coefficient(contention.Pair{Serving: n.image, BestEffort: contention.Image(t.step.spec.Image)})
		headroom = min(headroom, max(0, n.budget-h.pressureUpTo(n, coefficient))/max(minPressure, share*coefficient))
	}
	return headroom
}

// pressureUpTo returns the pressure on a neighbour of the fillers at full pace
// whose harm is not above a limit.
func (h *host) pressureUpTo(n neighbour, limit float64) float64 {
	sum := 0.0
	for _, r := range h.runs {
		if !r.task.step.spec.BestEffort {
			continue
		}
		coefficient := h.core.contention.Coefficient(contention.Pair{Serving: n.image, BestEffort: contention.Image(r.task.step.spec.Image)})
		if coefficient <= limit {
			sum += coefficient * h.bestEffortShare(r.task)
		}
	}
	return sum
}

// fillerShare is the part of the host's processors that a filler uses at full
// pace.
func (h *host) bestEffortShare(t *task) float64 {
	return h.cpuShare(contention.UsedShare * float64(t.step.spec.Need.MilliCPU))
}

// leastPressure keeps fillers without declared processors finite.
const minPressure = 0.001

// harms lists what is known of the pairs with images that serve on the host,
// while fillers run beside them.
func (h *host) coefficients() []msg.Interference {
	if h.servingRuns == 0 || h.bestEffortCPU == 0 {
		return nil
	}
	serving := map[contention.Image]bool{}
	for _, r := range h.runs {
		if r.task.step.spec.Serves() {
			serving[contention.Image(r.task.step.spec.Image)] = true
		}
	}
	return h.core.knownCoefficients(func(p contention.Pair) bool { return serving[p.Serving] })
}

// knownHarms lists the pairs that were measured and that want accepts.
func (c *Core) knownCoefficients(want func(contention.Pair) bool) []msg.Interference {
	var list []msg.Interference
	c.contention.Coefficients(func(p contention.Pair, value float64) {
		if want(p) {
			list = append(list, msg.Interference{ServingImage: string(p.Serving), BestEffortImage: string(p.BestEffort), Coefficient: value})
		}
	})
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		return a.ServingImage < b.ServingImage || a.ServingImage == b.ServingImage && a.BestEffortImage < b.BestEffortImage
	})
	return list
}

const (
	// harmsInterval is how old the stored harms may grow while batches are
	// written.
	interferenceInterval = 3 * time.Second
	// maxStoredHarms keeps the row below the 64 KiB that the store takes.
	maxStoredCoefficients = 1000
)

// harmsToStore returns the harms for the next batch, or nil while the stored
// ones are young.
func (c *Core) interferenceToStore() []msg.Interference {
	if c.now-c.interferenceStoredAt < interferenceInterval {
		return nil
	}
	c.interferenceStoredAt = c.now
	list := c.knownCoefficients(func(contention.Pair) bool { return true })
	return list[:min(len(list), maxStoredCoefficients)]
}

// RestoreInterference takes what a former owner had learned.
func (c *Core) RestoreInterference(list []msg.Interference) {
	for _, known := range list {
		c.contention.RestoreCoefficient(contention.Pair{Serving: contention.Image(known.ServingImage), BestEffort: contention.Image(known.BestEffortImage)}, known.Coefficient)
	}
}
