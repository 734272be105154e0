package hostagent

import (
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	unlimitedPercent = 100
	// unknownPercent is the CPU limit of a run that a former process of the
	// agent started, or whose last throttle call failed.
	unknownPercent = -1
	// CPU limits are multiples of percentStep. A limit is not changed by less
	// than percentDeadband, except to or from 0 and to unlimitedPercent.
	percentStep     = 5
	percentDeadband = 15
	// maxMissTime is how long a serving task may miss its latency target
	// before all best-effort runs on its host are paused, whatever the model
	// predicts for them.
	maxMissTime = 1500 * time.Millisecond
	// recoveredRatio is the ratio of latency to target below which the target
	// counts as met again. The reported latencies are noisy, so one just below
	// the target does not show that the target is met.
	recoveredRatio = 0.85
	// predictionHorizon is the delay until a new CPU limit shows in the
	// latencies of the serving tasks.
	predictionHorizon = 600 * time.Millisecond
)

// throttler limits the processor time of best-effort runs so that the serving
// tasks on the host meet their latency targets. Runs with the strongest
// interference are limited first.
type throttler struct {
	arrivals     uint64 // runs added so far
	model        *contention.Model
	missingSince time.Duration // when the first serving task missed its target; 0: all meet theirs
}

func newThrottler() throttler { return throttler{model: contention.NewLoadModel()} }

// setCoefficients sets the interference coefficients that the owner has
// estimated for pairs of images.
func (t *throttler) setCoefficients(interference []msg.Interference) {
	for _, i := range interference {
		t.model.SetCoefficient(contention.Pair{Serving: contention.Image(i.ServingImage), BestEffort: contention.Image(i.BestEffortImage)}, i.Coefficient)
	}
}

// missesTarget reports whether a serving task has missed its target for
// maxMissTime, so that best-effort runs are paused. maxRatio is the highest
// ratio of latency to target among the serving tasks.
func (t *throttler) missesTarget(maxRatio float64, now time.Duration) bool {
	switch {
	case maxRatio < recoveredRatio:
		t.missingSince = 0
	case maxRatio > 1 && t.missingSince == 0:
		t.missingSince = now
	}
	return t.missingSince != 0 && now-t.missingSince >= maxMissTime
}

// servingJob stands for the serving tasks of one job on the host.
type servingJob struct {
	image    contention.Image
	headroom float64 // pressure that best-effort runs may add while the tasks meet their targets
}

// bestEffortRun is a best-effort run and its pressure on each serving job when
// it runs without a CPU limit.
type bestEffortRun struct {
	run      *run
	pressure []float64 // by serving job
}

// throttle sets the CPU limits of the best-effort runs from the newest
// latencies of the serving tasks.
func (c *Core) throttle() {
	serving, maxRatio := c.servingJobs()
	if c.throttler.missesTarget(maxRatio, c.now) {
		for i := range serving {
			serving[i].headroom = 0
		}
	}
	for _, b := range c.bestEffortRuns(serving) {
		percent := b.maxPercent(serving)
		if current := b.run.cpuLimitPercent; current > 0 && percent > 0 && percent < unlimitedPercent && max(percent-current, current-percent) < percentDeadband {
			percent = current
		}
		for i := range serving {
			serving[i].headroom = max(0, serving[i].headroom-b.pressure[i]*float64(percent)/unlimitedPercent)
		}
		c.setCPULimit(b.run, percent, maxRatio)
	}
}

// maxPercent returns the highest CPU limit at which the run's pressure stays
// within the headroom of every serving job.
func (b *bestEffortRun) maxPercent(serving []servingJob) int {
	share := 1.0
	for i, s := range serving {
		if b.pressure[i] > 0 {
			share = min(share, s.headroom/b.pressure[i])
		}
	}
	return int(share*unlimitedPercent) / percentStep * percentStep
}

// setCPULimit sends a changed CPU limit of a running run to the backend server.
func (c *Core) setCPULimit(r *run, percent int, maxRatio float64) {
	if r.state != runRunning || r.cpuLimitPercent == percent {
		return
	}
	r.cpuLimitPercent = percent
	c.addDecision(Decision{Kind: RunThrottled, Run: r.id, Throttle: ThrottleChange{Percent: percent, MaxRatio: maxRatio, Image: r.size.Image}})
	c.addCall(Call{Throttle: &ThrottleCall{Run: r.id, Percent: percent}})
}

// bestEffortRuns returns the best-effort runs by increasing pressure relative to
// the headroom of the serving jobs, and then in order of arrival.
func (c *Core) bestEffortRuns(serving []servingJob) []*bestEffortRun {
	var list []*bestEffortRun
	relativePressure := map[*bestEffortRun]float64{} // maximum over the serving jobs
	for _, r := range c.sorted() {
		if !r.size.BestEffort {
			continue
		}
		b := &bestEffortRun{run: r, pressure: make([]float64, len(serving))}
		share := c.cpuShare(contention.UsedShare * float64(r.size.MilliCPU))
		for i, s := range serving {
			b.pressure[i] = share * c.throttler.model.Coefficient(contention.Pair{Serving: s.image, BestEffort: contention.Image(r.size.Image)})
			relativePressure[b] = max(relativePressure[b], b.pressure[i]/max(s.headroom, minHeadroom))
		}
		list = append(list, b)
	}
	slices.SortStableFunc(list, func(a, b *bestEffortRun) int {
		switch {
		case relativePressure[a] < relativePressure[b]:
			return -1
		case relativePressure[a] > relativePressure[b]:
			return 1
		}
		return 0
	})
	return list
}

// minHeadroom bounds the divisor of the relative pressure in bestEffortRuns, so
// that a serving job without headroom does not determine the order alone.
const minHeadroom = 0.02

// servingJobs returns the jobs with serving tasks that have reported a latency,
// and the highest ratio of latency to target among these tasks.
func (c *Core) servingJobs() ([]servingJob, float64) {
	var list []servingJob
	reporting := map[workload.JobID]bool{}
	shares := c.bestEffortShares()
	maxRatio := 0.0
	for _, r := range c.sorted() {
		if r.size.TargetLatency == 0 || r.latest.Usage <= 0 {
			continue
		}
		maxRatio = max(maxRatio, c.observe(r, shares))
		reporting[r.id.Task.Job] = true
	}
	for _, r := range c.sorted() {
		if job := r.id.Task.Job; reporting[job] {
			delete(reporting, job)
			load := c.throttler.model.Load(contention.Group(job), c.now+predictionHorizon)
			list = append(list, servingJob{contention.Image(r.size.Image), contention.PressureBudget(load)})
		}
	}
	c.throttler.model.DropIdleGroups(c.now)
	return list, maxRatio
}

// observe passes a changed latency of a serving task to the model, and returns
// the ratio of the latency to its target.
func (c *Core) observe(r *run, shares map[contention.Image]float64) float64 {
	latency := time.Duration(r.latest.Usage) * time.Millisecond
	if r.latest.Usage != r.observedLatencyMS {
		r.observedLatencyMS = r.latest.Usage
		c.throttler.model.Observe(c.now, contention.Sample{
			Image: contention.Image(r.size.Image), Group: contention.Group(r.id.Task.Job),
			Latency: latency, Target: r.size.TargetLatency, Shares: shares,
		})
	}
	return float64(latency) / float64(r.size.TargetLatency)
}

// bestEffortShares returns the shares of the host's processors that best-effort
// runs use, by image.
func (c *Core) bestEffortShares() map[contention.Image]float64 {
	shares := map[contention.Image]float64{}
	for _, r := range c.runs {
		if r.size.BestEffort {
			shares[contention.Image(r.size.Image)] += c.cpuShare(float64(r.latest.Usage))
		}
	}
	return shares
}

// cpuShare converts thousandths of a core to a share of the host's
// processors.
func (c *Core) cpuShare(milliCPU float64) float64 {
	return milliCPU / float64(max(1, c.host.Capacity.MilliCPU))
}

// throttleAnswered marks the CPU limit as unknown if the call failed, so that it
// is set again.
func (c *Core) throttleAnswered(a Answer) {
	if r, ok := c.runs[a.Call.Throttle.Run]; ok && a.Err != nil && r.cpuLimitPercent == a.Call.Throttle.Percent {
		r.cpuLimitPercent = unknownPercent
	}
}
