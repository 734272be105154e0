package jobs

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/contention"
)

// observeInterference updates the interference model with the runs of an agent's
// report. All figures of a report are of one moment, so its latencies can be
// attributed to the best-effort runs in it.
func (h *host) observeInterference(reported []reportedRun) {
	if h.servingRuns == 0 {
		return
	}
	shares := map[contention.Image]float64{}
	for _, r := range reported {
		if spec := r.run.task.step.spec; spec.BestEffort {
			shares[contention.Image(spec.Image)] += h.cpuShare(float64(r.status.Usage))
		}
	}
	for _, r := range reported {
		spec := r.run.task.step.spec
		if !spec.Serves() || r.status.Usage <= 0 {
			continue
		}
		h.core.contention.Observe(h.core.now, contention.Sample{
			Image: contention.Image(spec.Image), Group: loadGroup(r.run.task.step.job),
			Latency: time.Duration(r.status.Usage) * time.Millisecond, Target: spec.TargetLatency, Shares: shares,
		})
	}
}

// cpuShare returns thousandths of a core as a share of the host's processors.
func (h *host) cpuShare(milliCPU float64) float64 {
	return milliCPU / float64(max(1, h.info.Capacity.MilliCPU))
}

// loadGroup returns the group of the serving tasks of a job, which share its
// load.
func loadGroup(j *job) contention.Group { return contention.Group(j.spec.ID) }

// loadLookahead is how far ahead the load of serving tasks is predicted for a
// best-effort run that starts now.
const loadLookahead = time.Second

// servingJob stands for the serving tasks of one job on a host, which share the
// host with its best-effort runs.
type servingJob struct {
	image  contention.Image
	budget float64 // pressure up to which they keep their targets
}

// servingJobs returns the jobs that have serving tasks on the host.
func (h *host) servingJobs() []servingJob {
	list := make([]servingJob, 0, len(h.servingByGroup))
	for g := range h.servingByGroup {
		load := h.core.contention.Load(loadGroup(g.job), h.core.now+loadLookahead)
		list = append(list, servingJob{contention.Image(g.image), contention.PressureBudget(load)})
	}
	return list
}

// bestEffortHeadroom returns how many best-effort tasks like those of s the host
// can take while its serving tasks keep their targets. Runs there with a higher
// coefficient do not count, because the agent throttles them first.
func (h *host) bestEffortHeadroom(s *step) float64 {
	headroom := math.Inf(1)
	share := h.bestEffortShare(s.spec.Need.MilliCPU)
	for _, serving := range h.servingJobs() {
		coefficient := h.core.contention.Coefficient(contention.Pair{Serving: serving.image, BestEffort: contention.Image(s.spec.Image)})
		headroom = min(headroom, max(0, serving.budget-h.pressureUpTo(serving, coefficient))/max(minPressure, share*coefficient))
	}
	return headroom
}

// pressureUpTo returns the pressure that the best-effort runs whose coefficient
// is at most limit put on a serving job when they are not throttled.
func (h *host) pressureUpTo(serving servingJob, limit float64) float64 {
	sum := 0.0
	for _, use := range h.bestEffortByImage {
		coefficient := h.core.contention.Coefficient(contention.Pair{Serving: serving.image, BestEffort: contention.Image(use.image)})
		if coefficient <= limit {
			sum += coefficient * h.bestEffortShare(use.milliCPU)
		}
	}
	return sum
}

// bestEffortShare returns the share of the host's processors that best-effort
// tasks use which declare milliCPU and are not throttled.
func (h *host) bestEffortShare(milliCPU int64) float64 {
	return h.cpuShare(contention.UsedShare * float64(milliCPU))
}

// minPressure keeps the headroom finite for best-effort tasks that declare no
// processors.
const minPressure = 0.001

// coefficients returns the measured coefficients of the images that serve on the
// host, ordered by images, or nil if it has no serving or no best-effort runs.
func (h *host) coefficients() []msg.Interference {
	if h.servingRuns == 0 || h.bestEffortCPU == 0 {
		return nil
	}
	var list []msg.Interference
	for _, image := range slices.Sorted(maps.Keys(h.servingByImage)) {
		h.core.contention.CoefficientsOf(contention.Image(image), h.core.appendCoefficient(&list))
	}
	return list
}

// appendCoefficient returns a function that appends the coefficient of a pair.
func (c *Core) appendCoefficient(list *[]msg.Interference) func(contention.Pair, float64) {
	return func(p contention.Pair, value float64) {
		c.pairVisits++
		*list = append(*list, msg.Interference{ServingImage: string(p.Serving), BestEffortImage: string(p.BestEffort), Coefficient: value})
	}
}

// interferenceInterval is the minimum time between two batches that store the
// coefficients.
const interferenceInterval = 3 * time.Second

// interferenceDue reports whether the next batch may have the coefficients, if there are
// any.
func (c *Core) interferenceDue() bool { return c.now-c.interferenceStoredAt >= interferenceInterval }

// interferenceToStore returns the coefficients for the next batch, or nil if there are
// none. Those of the images that disturb most come first, since the row may not have room
// for all.
func (c *Core) interferenceToStore() []msg.Interference {
	c.interferenceStoredAt = c.now
	var list []msg.Interference
	c.contention.Coefficients(c.appendCoefficient(&list))
	slices.SortFunc(list, func(a, b msg.Interference) int {
		return cmp.Or(cmp.Compare(b.Coefficient, a.Coefficient), cmp.Compare(a.ServingImage, b.ServingImage), cmp.Compare(a.BestEffortImage, b.BestEffortImage))
	})
	return list
}

// RestoreInterference restores the coefficients that an earlier owner stored.
func (c *Core) RestoreInterference(list []msg.Interference) {
	for _, known := range list {
		c.contention.RestoreCoefficient(contention.Pair{Serving: contention.Image(known.ServingImage), BestEffort: contention.Image(known.BestEffortImage)}, known.Coefficient)
	}
}
