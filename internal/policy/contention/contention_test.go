package contention

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const target = 100 * time.Millisecond

// simulation generates samples of hosts on which serving tasks of two images run
// beside best-effort tasks of three. The loads are periodic; the coefficients
// differ by pair.
type simulation struct {
	rng          *rand.Rand
	coefficients map[Pair]float64
}

func newSimulation(seed int64) *simulation {
	return &simulation{rand.New(rand.NewSource(seed)), map[Pair]float64{
		{"desk", "a"}: 0.1, {"desk", "b"}: 1.5, {"desk", "c"}: 0.2,
		{"watch", "a"}: 1.4, {"watch", "b"}: 0.1, {"watch", "c"}: 0.3,
	}}
}

// load returns the true load of a group.
func (s *simulation) load(group int, now time.Duration) float64 {
	const period = 15
	return 0.45 * (1 + 0.5*math.Sin(2*math.Pi*now.Seconds()/period+float64(group)))
}

// sample returns a sample of one serving task of a group.
func (s *simulation) sample(group int, now time.Duration) Sample {
	image := []Image{"desk", "watch"}[group%2]
	shares := map[Image]float64{[]Image{"a", "b", "c"}[s.rng.Intn(3)]: 0.2 * s.rng.Float64(), "c": 0.1 * s.rng.Float64()}
	utilisation := s.load(group, now)
	for i, share := range shares {
		utilisation += s.coefficients[Pair{image, i}] * share
	}
	latency := idleLatencyShare * float64(target) / max(0.02, 1-utilisation) * (1 + 0.1*s.rng.NormFloat64())
	return Sample{Image: image, Group: groups[group], Latency: time.Duration(latency), Target: target, Shares: shares}
}

var groups = []Group{"job-0", "job-1", "job-2", "job-3"}

// run feeds a model with samples of a duration, and returns the time of the last.
func (s *simulation) run(m *Model, d time.Duration) time.Duration {
	for now := time.Duration(0); ; now += 500 * time.Millisecond {
		for g := range groups {
			for range 4 { // hosts with tasks of the group
				m.Observe(now, s.sample(g, now))
			}
		}
		if now >= d {
			return now
		}
	}
}

// Guards against best-effort tasks that are kept from all serving tasks, or from
// none, because one pair's samples change the coefficients of the others.
func TestModelEstimatesEachPairSeparately(t *testing.T) {
	for seed := range int64(5) {
		s, m := newSimulation(seed), NewModel()
		s.run(m, 30*time.Second)
		for p, coefficient := range s.coefficients {
			require.InDelta(t, coefficient, m.Coefficient(p), 0.35, "seed %d, pair %v", seed, p)
		}
	}
}

// Guards against best-effort tasks that are throttled only after a load peak has
// begun: the load is predicted 500 ms ahead, with an error of at most 0.1.
func TestModelPredictsTheLoad(t *testing.T) {
	for seed := range int64(5) {
		s, m := newSimulation(seed), NewModel()
		now := s.run(m, 20*time.Second)
		for g := range groups {
			const ahead = 500 * time.Millisecond
			require.InDelta(t, s.load(g, now+ahead), m.Load(groups[g], now+ahead), 0.1, "seed %d, group %d", seed, g)
		}
	}
}

// Guards against an agent that attributes the load peaks of its serving tasks to
// interference: it has the samples of one host only.
func TestLoadModelKeepsItsCoefficients(t *testing.T) {
	s, m := newSimulation(1), NewLoadModel()
	m.SetCoefficient(Pair{"desk", "a"}, 0.1)
	s.run(m, 10*time.Second)
	require.Equal(t, 0.1, m.Coefficient(Pair{"desk", "a"}))
	require.Equal(t, DefaultCoefficient, m.Coefficient(Pair{"desk", "new"}))
}

// Guards against a division by zero and an unbounded utilisation, for tasks that
// have no latency or no target, or miss it by far.
func TestUtilisationIsBounded(t *testing.T) {
	for _, latency := range []time.Duration{-1, 0, 1, target, time.Hour} {
		for _, goal := range []time.Duration{0, target} {
			utilisation := Utilisation(latency, goal)
			require.True(t, utilisation >= minUtilisation && utilisation <= maxUtilisation, "%v %v: %v", latency, goal, utilisation)
		}
	}
	require.Zero(t, PressureBudget(1))
}

// Guards against memory that grows with the number of ended jobs.
func TestModelDropsIdleGroups(t *testing.T) {
	s, m := newSimulation(1), NewModel()
	now := s.run(m, time.Second)
	m.DropIdleGroups(now + groupRetention + time.Second)
	require.Empty(t, m.groups)
	require.NotEmpty(t, m.pairs)
}

// Guards against a restored coefficient that samples do not correct.
func TestRestoredCoefficientsAreCorrected(t *testing.T) {
	s, m := newSimulation(1), NewModel()
	m.RestoreCoefficient(Pair{"desk", "a"}, 2)
	s.run(m, 60*time.Second)
	require.InDelta(t, 0.1, m.Coefficient(Pair{"desk", "a"}), 0.4)
}
