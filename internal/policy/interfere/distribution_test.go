package interfere

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/bambooscale/bambooscale/internal/measure"
	"github.com/bambooscale/bambooscale/internal/model"
)

// firstSeed is the first seed of the measured distribution. The seeds of the
// tests of single runs are smaller.
const firstSeed = 100

// parallelRuns bounds the simulations that run at the same time.
const parallelRuns = 4

// comparison holds the figures of one seed that have a target.
type comparison struct {
	seed              uint64
	inside, work      float64 // work relative to the oracle's
	stops, fixedStops int
}

// Guards against a policy that meets its targets only at the seeds with which
// it was developed. It runs with BAMBOOSCALE_MEASURE_SEEDS, the number of seeds
// for each deployment, and logs the distributions. docs/measurements.md names
// the seeds that fail.
func TestInterferenceDistribution(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("BAMBOOSCALE_MEASURE_SEEDS"))
	if err != nil || count <= 0 {
		t.Skip("BAMBOOSCALE_MEASURE_SEEDS is not set")
	}
	for _, sc := range scenarios() {
		list := sc.comparisons(count)
		var inside, work []float64
		stops, below := 0, 0
		for _, c := range list {
			inside, work, stops = append(inside, c.inside), append(work, c.work), stops+c.stops
			if c.work < 0.9 {
				below++
			}
			t.Logf("%s seed %d: inside %.4f, work %.3f, %d stops, fixed thresholds %d", sc.name, c.seed, c.inside, c.work, c.stops, c.fixedStops)
			assert.GreaterOrEqual(t, c.inside, 0.99, "%s seed %d", sc.name, c.seed)
			assert.LessOrEqual(t, 2*c.stops, c.fixedStops, "%s seed %d", sc.name, c.seed)
			assert.GreaterOrEqual(t, c.work, 0.9, "%s seed %d", sc.name, c.seed)
		}
		t.Logf("%s, %d seeds\n  inside %s\n  work   %s\n  stops  %d\n  seeds with work below 0.9: %d", sc.name, count, quantiles(inside), quantiles(work), stops, below)
	}
}

// comparisons compares the learned policy with the fixed thresholds and the
// oracle for consecutive seeds.
func (sc scenario) comparisons(count int) []comparison {
	list := make([]comparison, count)
	var wait sync.WaitGroup
	slots := make(chan struct{}, parallelRuns)
	for i := range list {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			seed := uint64(firstSeed + i)
			learned := sc.run(seed, func(*sim) simPolicy { return learnedPolicy{New(Options{})} })
			fixed := sc.run(seed, func(*sim) simPolicy { return &thresholdPolicy{map[int]map[ServiceClass]float64{}, map[int]int{}} })
			list[i] = comparison{seed, learned.insideShare(), learned.work / sc.runOracle(seed).work, learned.stops, fixed.stops}
		})
	}
	wait.Wait()
	return list
}

// quantiles formats the distribution of some values.
func quantiles(values []float64) string {
	sorted := slices.Sorted(slices.Values(values))
	last := len(sorted) - 1
	return fmt.Sprintf("min %.4f p10 %.4f median %.4f p90 %.4f max %.4f", sorted[0], sorted[last/10], sorted[last/2], sorted[last*9/10], sorted[last])
}

// traced records what a policy does with the batch work in the measured time.
type traced struct {
	simPolicy
	sim            *sim
	occupied, work map[model.Class]float64 // core-seconds
	seconds        int                     // of hosts
	limited        int                     // seconds in which a task was limited
	ratioSum       float64                 // sum of the highest ln(p99/target) without noise in the limited seconds
}

func (p *traced) step(now, host int, h Host, next float64) []Action {
	if now >= p.sim.measureFrom {
		p.record(now, host, h)
	}
	return p.simPolicy.step(now, host, h, next)
}

func (p *traced) record(now, host int, h Host) {
	limited := false
	for _, t := range h.Tasks {
		cores := float64(t.CPU) / 1000
		p.occupied[t.Class] += cores
		p.work[t.Class] += cores * float64(t.CPULimitPercent) / 100
		limited = limited || t.CPULimitPercent < 100
	}
	p.seconds++
	if !limited {
		return
	}
	p.limited++
	exposure := p.sim.hosts[host].exposure()
	highest := p.sim.truth.logRatio(host, simClasses[0], p.sim.load(host, now), exposure)
	for _, c := range simClasses[1:] {
		highest = max(highest, p.sim.truth.logRatio(host, c, p.sim.load(host, now), exposure))
	}
	p.ratioSum += highest
}

func (p *traced) String() string {
	text := fmt.Sprintf("%s\n  limited in %.3f of the time, highest ln(p99/target) then %.3f in the mean\n", p.sim, float64(p.limited)/float64(p.seconds), p.ratioSum/float64(p.limited))
	for _, c := range measure.Classes {
		text += fmt.Sprintf("  %-7s coefficient for short %.2f, occupied %6.0f core-seconds, speed %.3f\n", c, p.sim.truth.coefficients["short"][c], p.occupied[c], p.work[c]/p.occupied[c])
	}
	return text
}

// trackedOracle knows the latency model but not the load of the next second,
// for which it takes the controller's estimate.
type trackedOracle struct {
	oraclePolicy
	trackers map[int]*loadTracker // by host
}

func (p trackedOracle) step(now, host int, h Host, _ float64) []Action {
	if p.trackers[host] == nil {
		p.trackers[host] = &loadTracker{}
	}
	load := p.trackers[host].update(time.Duration(now)*time.Second, h.Services[0].Forecast())
	return p.oraclePolicy.step(now, host, h, load)
}

// Guards against a wrong explanation of the batch work that is lost relative to
// the oracle: it logs the work and the speed of each class under the learned
// policy, the oracle, and an oracle that does not know the next second's load.
// It runs with BAMBOOSCALE_MEASURE_TRACE.
func TestInterferenceTrace(t *testing.T) {
	if os.Getenv("BAMBOOSCALE_MEASURE_TRACE") == "" {
		t.Skip("BAMBOOSCALE_MEASURE_TRACE is not set")
	}
	sc, seed := scenarios()[1], uint64(5)
	policies := []struct {
		name   string
		policy func(s *sim, margin float64) simPolicy
		margin float64 // smallest one that is tried
	}{
		{"learned", func(*sim, float64) simPolicy { return learnedPolicy{New(Options{})} }, 0},
		{"oracle", func(s *sim, margin float64) simPolicy { return oraclePolicy{s, margin} }, 0},
		{"oracle without the next load", func(s *sim, margin float64) simPolicy {
			return trackedOracle{oraclePolicy{s, margin}, map[int]*loadTracker{}}
		}, 0.1},
	}
	for _, p := range policies {
		for margin := p.margin; ; margin += 0.02 {
			var trace *traced
			s := sc.run(seed, func(s *sim) simPolicy {
				trace = &traced{simPolicy: p.policy(s, margin), sim: s, occupied: map[model.Class]float64{}, work: map[model.Class]float64{}}
				return trace
			})
			if p.name == "learned" || s.insideShare() >= 0.99 {
				t.Logf("%s, margin %.2f: %s", p.name, margin, trace)
				break
			}
		}
	}
}
