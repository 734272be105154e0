package interfere

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bambooscale/bambooscale/internal/measure"
	"github.com/bambooscale/bambooscale/internal/model"
)

// The simulation: the hosts of a deployment, each with an instance of its
// service and batch tasks from an endless backlog. Its latency model differs
// from the learner's in the power of the load, saturation and host offsets.

const (
	reportWindow   = 10   // seconds
	reportLag      = 10   // seconds after the window's end
	fillShare      = 0.75 // of the processors, up to which batch tasks are started
	maxLostSeconds = 20   // seconds of work that an eviction loses at most
)

var simClasses = []model.Class{"short", "post", "list"}

// groundTruth is the true latency model, which the policies under test do not
// see.
type groundTruth struct {
	coefficients map[model.Class]map[model.Class]float64 // service class, batch class
	base, rise   map[model.Class]float64                 // ln(p99/target) without load, and its rise up to full load
	offsets      []map[model.Class]float64               // by host
}

func newGroundTruth(rng *rand.Rand, hosts int, base, rise float64) *groundTruth {
	truth := &groundTruth{coefficients: map[model.Class]map[model.Class]float64{}, base: map[model.Class]float64{}, rise: map[model.Class]float64{}}
	means := []float64{5, 2.4, 1.2, 0.4, 0.1, 3.6} // of measure.Classes
	sensitivity := []float64{1, 0.7, 0.4}
	for i, s := range simClasses {
		truth.coefficients[s] = map[model.Class]float64{}
		truth.base[s], truth.rise[s] = base, rise
		for j, c := range measure.Classes {
			truth.coefficients[s][c] = means[j] * sensitivity[i] * math.Exp(0.3*rng.NormFloat64())
		}
	}
	for range hosts {
		offset := map[model.Class]float64{}
		for _, s := range simClasses {
			offset[s] = 0.05 * rng.NormFloat64()
		}
		truth.offsets = append(truth.offsets, offset)
	}
	return truth
}

// logRatio returns ln(p99/target) without noise.
func (tr *groundTruth) logRatio(host int, s model.Class, load float64, e Exposure) float64 {
	sum := 0.0
	for _, c := range measure.Classes { // in order: map order changes the last bits
		sum += tr.coefficients[s][c] * e[c]
	}
	return tr.base[s] + tr.offsets[host][s] + tr.rise[s]*load*load*load + math.Pow(load, 1.3)*sum/(1+0.2*sum)
}

// simTask is a task with its remaining work.
type simTask struct {
	Task
	remaining float64 // core-seconds
}

type simHost struct {
	Host
	tasks     []*simTask
	windowMax map[model.Class]float64 // largest ln(p99/target) in the present window
}

// simPolicy is called for each host once a second.
type simPolicy interface {
	report(now int, r Report, host int)
	step(now int, host int, h Host, next float64) []Action // next is the load of the next second
	admit(host int, h Host, t Task) int                    // returns the limit in percent at the start
}

type sim struct {
	deployment measure.Deployment
	truth      *groundTruth
	load       func(host, second int) float64
	rng        *rand.Rand
	noise      *rand.Rand
	mix        *measure.Mix
	hosts      []*simHost
	backlog    []*simTask
	policy     simPolicy
	scheduled  map[int][]func() // reports to deliver, by second

	// Results of the measured time. A window is inside if every class met its
	// target.
	windows, windowsInside int
	work                   float64 // core-seconds
	stops, throttles       int

	measureFrom, lastJob int // first measured second; number of jobs drawn
	maxMissed            int // ends the run after so many missed windows; 0: never
}

func newSim(deployment measure.Deployment, seed uint64, base, rise float64, load func(int, int) float64) *sim {
	s := &sim{deployment: deployment, load: load, rng: rand.New(rand.NewPCG(seed, 2)), noise: rand.New(rand.NewPCG(seed, 3)),
		mix: measure.NewMix(seed, deployment.Workers[0].Capacity), scheduled: map[int][]func(){}}
	s.truth = newGroundTruth(rand.New(rand.NewPCG(seed, 1)), len(deployment.Workers), base, rise)
	for _, w := range deployment.Workers {
		s.hosts = append(s.hosts, &simHost{Host: Host{Worker: w.ID, CPU: w.Capacity.CPU}, windowMax: map[model.Class]float64{}})
	}
	return s
}

// startTasks starts up to four tasks from the backlog while they fit.
func (s *sim) startTasks(now, i int, h *simHost) {
	used := model.MilliCPU(0)
	for _, t := range h.tasks {
		used += t.CPU
	}
	for range 4 {
		if len(s.backlog) == 0 {
			job := s.mix.Job()
			s.lastJob++
			s.backlog = append(s.backlog, &simTask{Task: Task{Attempt: model.AttemptID{Job: job.Spec.ID, Number: 1}, Class: job.Spec.Class, CPU: job.Spec.Resources.CPU},
				remaining: job.Runtime.Seconds() * 3 * float64(job.Spec.Resources.CPU) / 1000})
		}
		t := s.backlog[0]
		if float64(used+t.CPU) > fillShare*float64(h.CPU) {
			return
		}
		s.backlog = s.backlog[1:]
		t.CPULimitPercent, t.LostWork = 100, 0
		t.CPULimitPercent = s.policy.admit(i, s.hostView(i, h, s.load(i, max(0, now-1))), t.Task)
		used += t.CPU
		h.tasks = append(h.tasks, t)
	}
}

func (h *simHost) exposure() Exposure {
	e := Exposure{}
	for _, t := range h.tasks {
		e[t.Class] += float64(t.CPU) / float64(h.CPU) * float64(t.CPULimitPercent) / 100
	}
	return e
}

// run simulates the learning time, then the measured time, both in seconds.
func (s *sim) run(learnSeconds, measuredSeconds int) {
	s.measureFrom = learnSeconds
	for now := range learnSeconds + measuredSeconds {
		if s.maxMissed > 0 && s.windows-s.windowsInside > s.maxMissed {
			return
		}
		for _, f := range s.scheduled[now] {
			f()
		}
		delete(s.scheduled, now)
		for i, h := range s.hosts {
			s.startTasks(now, i, h)
			s.runSecond(now, i, h)
		}
	}
}

// runSecond simulates one second of a host.
func (s *sim) runSecond(now, i int, h *simHost) {
	load, exposure := s.load(i, now), h.exposure()
	for _, c := range simClasses {
		logRatio := s.truth.logRatio(i, c, load, exposure)
		if highest, ok := h.windowMax[c]; !ok || logRatio > highest {
			h.windowMax[c] = logRatio
		}
	}
	var remaining []*simTask
	for _, t := range h.tasks {
		done := float64(t.CPU) / 1000 * float64(t.CPULimitPercent) / 100
		t.remaining -= done
		t.LostWork = min(maxLostSeconds, t.LostWork/time.Second+1) * time.Second
		if now >= s.measureFrom {
			s.work += done
		}
		if t.remaining > 0 {
			remaining = append(remaining, t)
		}
	}
	h.tasks = remaining
	if (now+1)%reportWindow == 0 {
		s.endWindow(now, i, h)
	}
	s.runPolicy(now, i, h)
}

// endWindow ends a measured window and schedules its lagging report.
func (s *sim) endWindow(now, i int, h *simHost) {
	from, to := time.Duration(now+1-reportWindow)*time.Second, time.Duration(now+1)*time.Second
	inside := true
	for _, c := range simClasses {
		logRatio := h.windowMax[c] + 0.05*s.noise.NormFloat64()
		inside = inside && logRatio <= 0
		report := Report{Worker: h.Worker, Service: ServiceClass{s.deployment.Service, c}, From: from, To: to,
			Target: 100 * time.Millisecond, P99: time.Duration(math.Exp(logRatio) * 100 * float64(time.Millisecond))}
		s.scheduled[now+reportLag] = append(s.scheduled[now+reportLag], func() { s.policy.report(now+reportLag, report, i) })
	}
	if now >= s.measureFrom {
		s.windows++
		if inside {
			s.windowsInside++
		}
	}
	h.windowMax = map[model.Class]float64{}
}

// runPolicy calls the policy with the load of the second that ended, as the
// entries report it. The actions take effect in the next second.
func (s *sim) runPolicy(now, i int, h *simHost) {
	for _, a := range s.policy.step(now, i, s.hostView(i, h, s.load(i, now)), s.load(i, now+1)) {
		s.apply(now, h, a)
	}
}

// hostView returns what a policy sees of a host.
func (s *sim) hostView(i int, h *simHost, load float64) Host {
	view := h.Host
	for _, c := range simClasses {
		view.Services = append(view.Services, ServiceLoad{Service: ServiceClass{s.deployment.Service, c}, Arrivals: load * 8 / 0.02,
			ServiceTime: 20 * time.Millisecond, Slots: 8, Busy: load})
	}
	for _, t := range h.tasks {
		view.Tasks = append(view.Tasks, t.Task)
	}
	return view
}

// apply applies an action to a host.
func (s *sim) apply(now int, h *simHost, a Action) {
	for k, t := range h.tasks {
		if t.Attempt != a.Attempt {
			continue
		}
		if a.Step == StepThrottle {
			t.CPULimitPercent = a.CPULimitPercent
			if now >= s.measureFrom {
				s.throttles++
			}
			return
		}
		lost := float64(t.LostWork/time.Second) * float64(t.CPU) / 1000
		t.remaining += lost
		s.backlog = append(s.backlog, t)
		h.tasks = append(h.tasks[:k:k], h.tasks[k+1:]...)
		if now >= s.measureFrom {
			s.work -= lost
			s.stops++
		}
		return
	}
}

func (s *sim) insideShare() float64 { return float64(s.windowsInside) / float64(s.windows) }

func (s *sim) String() string {
	return fmt.Sprintf("inside %.4f of %d windows, work %.0f core-seconds, %d stops, %d throttle steps", s.insideShare(), s.windows, s.work, s.stops, s.throttles)
}

// surgingLoad is Nilegate's load: low, with surges that rise within 5 s.
func surgingLoad(seed uint64, seconds int) func(int, int) float64 {
	rng := rand.New(rand.NewPCG(seed, 4))
	level := make([]float64, seconds+2)
	for t := 0; t < len(level); {
		quiet, surge := 900+rng.IntN(1200), 180+rng.IntN(180)
		peak := 0.8 + 0.15*rng.Float64()
		for k := 0; k < quiet+surge && t < len(level); k, t = k+1, t+1 {
			up := min(1, max(0, float64(k-quiet)/5))
			down := min(1, float64(quiet+surge-k)/60)
			level[t] = 0.35 + (peak-0.35)*min(up, down)
		}
	}
	return withJitter(seed, level, 0.02)
}

// steadyLoad is Wick's load: slow changes, with short bursts on single hosts.
func steadyLoad(seed uint64, seconds int) func(int, int) float64 {
	level := make([]float64, seconds+2)
	for t := range level {
		level[t] = 0.5 + 0.1*math.Sin(float64(t)/900)
	}
	base := withJitter(seed, level, 0.02)
	return func(host, t int) float64 {
		since := (t + host*13) % (150 + 7*host) // a burst rises within 5 s and lasts 15 s
		if since < 15 {
			return min(1, base(host, t)+0.2*min(1, float64(since)/5))
		}
		return base(host, t)
	}
}

// withJitter varies a level by host and second, with a standard deviation of
// amplitude.
func withJitter(seed uint64, level []float64, amplitude float64) func(int, int) float64 {
	return func(host, t int) float64 {
		hash := (seed*1000+uint64(host))*1_000_003 + uint64(t)
		hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9 // splitmix64
		hash = (hash ^ hash>>27) * 0x94d049bb133111eb
		uniform := float64((hash^hash>>31)>>11) / (1 << 53)
		return max(0, min(1, level[min(t, len(level)-1)]+amplitude*3.46*(uniform-0.5)))
	}
}
