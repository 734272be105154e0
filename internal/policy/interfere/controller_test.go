package interfere

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
)

var shortRequests = ServiceClass{"wick-orders", "short"}

// trainedController returns a controller with samples of two batch classes:
// noisy has the coefficient 3, quiet the coefficient 0. base is
// ln(p99/target) without load.
func trainedController(base float64) *Controller {
	c := New(Options{})
	for i := range 600 {
		load := 0.3 + 0.7*float64(i%7)/6
		e := Exposure{"noisy": float64(i%5) / 5, "quiet": float64(i%3) / 3}
		logRatio := base + 0.2*load + load*3*e["noisy"]
		c.learner.Observe(Sample{Service: shortRequests, Load: load, Exposure: e, Target: time.Second, P99: time.Duration(math.Exp(logRatio) * float64(time.Second))})
	}
	return c
}

func newTask(job string, class model.Class, cores int64) Task {
	return Task{Attempt: model.AttemptID{Job: model.JobID(job), Number: 1}, Class: class, CPU: model.MilliCPU(cores * 1000), CPULimitPercent: 100}
}

// hostAtLoad returns a host with 16 cores whose service has the given load.
func hostAtLoad(load float64, tasks ...Task) Host {
	return Host{Worker: "w", CPU: 16000, Tasks: tasks, Services: []ServiceLoad{{Service: shortRequests, Arrivals: load * 100, ServiceTime: 80 * time.Millisecond, Slots: 8}}}
}

// Guards against throttling harmless tasks, and against throttling tasks of a
// higher yield rank first.
func TestThrottlesHarmfulTasksInYieldOrder(t *testing.T) {
	c := trainedController(-1)
	first, second := newTask("first", "noisy", 4), newTask("second", "noisy", 4)
	second.YieldRank = 1
	require.Empty(t, c.Decide(0, hostAtLoad(0.2, first, second, newTask("quiet", "quiet", 8))))
	actions := c.Decide(10*time.Second, hostAtLoad(1, first, second, newTask("quiet", "quiet", 8)))
	require.NotEmpty(t, actions)
	percent := map[model.JobID]int{"first": 100, "second": 100, "quiet": 100}
	for _, a := range actions {
		require.Equal(t, StepThrottle, a.Step)
		percent[a.Attempt.Job] = a.CPULimitPercent
	}
	require.Equal(t, 100, percent["quiet"])
	require.Less(t, percent["first"], percent["second"])
	require.Less(t, c.Admit(hostAtLoad(1, first), newTask("new", "noisy", 8)), 50)
	require.Equal(t, 100, c.Admit(hostAtLoad(1, first), newTask("new", "quiet", 8)))
}

// Guards against limits that oscillate because they are raised at once, and
// against limits that stay after the load has fallen.
func TestLimitsRiseAfterRelaxTime(t *testing.T) {
	c := trainedController(-1)
	limited := newTask("a", "noisy", 8)
	limited.CPULimitPercent = 20
	require.Empty(t, c.Decide(0, hostAtLoad(0.1, limited)))
	require.Empty(t, c.Decide(time.Second, hostAtLoad(0.1, limited)))
	actions := c.Decide(4*time.Second, hostAtLoad(0.1, limited))
	require.Len(t, actions, 1)
	require.Equal(t, 100, actions[0].CPULimitPercent)
}

// Guards against a limit that stays at the lowest value because the highest
// one that suffices leaves hardly any margin.
func TestLimitsRiseToTheHighestThatSuffices(t *testing.T) {
	for percent := 40; percent <= 100; percent++ {
		c := trainedController(-1)
		load, limited := float64(percent)/100, newTask("a", "noisy", 8)
		want := c.Admit(hostAtLoad(load), limited)
		limited.CPULimitPercent = minLimitPercent
		for now := range 4 * time.Second / defaultRelaxAfter {
			for _, a := range c.Decide(now*defaultRelaxAfter, hostAtLoad(load, limited)) {
				limited.CPULimitPercent = a.CPULimitPercent
			}
		}
		require.Equal(t, want, limited.CPULimitPercent, "load %.2f", load)
	}
}

// Guards against evictions before limits were tried for StopAfter, more than
// one eviction at a time, evictions of urgent tasks, and the wrong victim.
func TestStopsOnlyAfterLimitsFailed(t *testing.T) {
	c := trainedController(0.2) // the service misses its target even without batch tasks
	dear, cheap, urgent := newTask("dear", "noisy", 4), newTask("cheap", "noisy", 4), newTask("urgent", "noisy", 4)
	dear.LostWork, cheap.LostWork, urgent.Protected = time.Hour, time.Minute, true
	tasks := []Task{dear, cheap, urgent}
	stops := []model.JobID{}
	for now := time.Second; now <= 45*time.Second; now += time.Second {
		for _, a := range c.Decide(now, hostAtLoad(1, tasks...)) {
			if a.Step == StepCheckpointStop {
				require.GreaterOrEqual(t, now, defaultStopAfter)
				stops = append(stops, a.Attempt.Job)
				tasks[1].Stopping = true
				continue
			}
			for i := range tasks {
				if tasks[i].Attempt == a.Attempt {
					tasks[i].CPULimitPercent = a.CPULimitPercent
				}
			}
		}
	}
	require.Equal(t, []model.JobID{"cheap"}, stops)
	require.Equal(t, minLimitPercent, tasks[2].CPULimitPercent)
}

// Guards against a surge that is detected only by the lagging report of a
// missed target, although arrivals and queues at the entries show it earlier.
func TestForecastUsesQueueAndArrivals(t *testing.T) {
	s := ServiceLoad{Busy: 0.2, Slots: 8, ServiceTime: 80 * time.Millisecond, Arrivals: 90}
	require.InDelta(t, 0.9, s.Forecast(), 1e-9)
	s.Arrivals, s.Queued = 20, 160
	require.InDelta(t, 1, s.Forecast(), 1e-9)
	require.InDelta(t, 0.2, ServiceLoad{Busy: 0.2, Slots: 8}.Forecast(), 1e-9)
	tracker := loadTracker{}
	for cycle := range 3 {
		for s := range 60 {
			load := 0.3
			if s >= 50 {
				load = min(0.8, 0.3+0.1*float64(s-50))
			}
			got := tracker.update(time.Duration(cycle*60+s)*time.Second, load)
			if cycle == 2 && s == 51 {
				require.Greater(t, got, 0.55, "the third rise is expected to go as far as the earlier ones")
			}
		}
	}
}

// Guards against a late report that is compared with the tasks at its arrival
// instead of those in its window, which gives wrong coefficients.
func TestReportsAreComparedWithTheirWindow(t *testing.T) {
	c := New(Options{})
	noisy := newTask("a", "noisy", 16)
	for cycle := range 200 {
		start := time.Duration(cycle) * 40 * time.Second
		runs := cycle%2 == 0
		for second := range 40 {
			host := hostAtLoad(0.8)
			if runs && second < 10 || !runs && second >= 10 {
				host.Tasks = []Task{noisy}
			}
			c.Decide(start+time.Duration(second)*time.Second, host)
		}
		logRatio := -1.0
		if runs {
			logRatio += 0.8 * 2
		}
		c.Observe(Report{Worker: "w", Service: shortRequests, From: start, To: start + 10*time.Second, Target: time.Second, P99: time.Duration(math.Exp(logRatio) * float64(time.Second))})
	}
	require.InDelta(t, 2, c.learner.Coefficient(shortRequests, "noisy").Mean, 0.5)
}

// Guards against a new service class whose coefficients do not start at the
// means of the batch classes over the other services.
func TestNewPairStartsAtClassMean(t *testing.T) {
	c := trainedController(-1)
	other := ServiceClass{"permit-desk", "new"}
	require.Greater(t, c.learner.Coefficient(other, "noisy").Mean, 1.0)
	require.Less(t, c.learner.Coefficient(other, "quiet").Mean, 0.4)
}

// Guards against a service that misses a target in more windows than it may,
// because its classes miss in different windows and each class alone misses
// seldom enough, and against a window that counts once for each class.
func TestConfidenceFollowsMissedWindows(t *testing.T) {
	const windows = 4000
	tests := map[string]struct {
		missed func(window, class int) bool
		check  func(t *testing.T, confidence float64)
	}{
		"classes miss 0.5% each in different windows": {
			func(window, class int) bool { return window%200 == 60*class },
			func(t *testing.T, confidence float64) { require.Greater(t, confidence, defaultConfidence+0.5) },
		},
		"classes miss 0.6% in the same windows": {
			func(window, _ int) bool { return window%167 == 0 },
			func(t *testing.T, confidence float64) {
				require.InDelta(t, defaultConfidence, confidence, 0.5)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Options{})
			for window := range windows {
				from := time.Duration(window*reportWindow) * time.Second
				c.Decide(from, hostAtLoad(0.5))
				for i, class := range simClasses {
					p99 := 900 * time.Millisecond
					if test.missed(window, i) {
						p99 = 1100 * time.Millisecond
					}
					c.Observe(Report{Worker: "w", Service: ServiceClass{shortRequests.Service, class}, From: from,
						To: from + reportWindow*time.Second, P99: p99, Target: time.Second})
				}
			}
			test.check(t, c.confidence(shortRequests))
		})
	}
}
