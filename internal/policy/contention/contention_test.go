package contention

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const target = 100 * time.Millisecond

// fleet plays hosts on which serving tasks of two images run beside fillers of
// three. The loads swing as on a day with crests; harms differ by pair.
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

func (f *simulation) load(group int, now time.Duration) float64 {
	const period = 15
	return 0.45 * (1 + 0.5*math.Sin(2*math.Pi*now.Seconds()/period+float64(group)))
}

// sample plays one serving task of a group for half a second.
func (f *simulation) sample(group int, now time.Duration) Sample {
	image := []Image{"desk", "watch"}[group%2]
	shares := map[Image]float64{[]Image{"a", "b", "c"}[f.rng.Intn(3)]: 0.2 * f.rng.Float64(), "c": 0.1 * f.rng.Float64()}
	utilisation := f.load(group, now)
	for i, share := range shares {
		utilisation += f.coefficients[Pair{image, i}] * share
	}
	latency := idleLatencyShare * float64(target) / max(0.02, 1-utilisation) * (1 + 0.1*f.rng.NormFloat64())
	return Sample{Image: image, Group: groups[group], Latency: time.Duration(latency), Target: target, Shares: shares}
}

var groups = []Group{"job-0", "job-1", "job-2", "job-3"}

func (f *simulation) run(m *Model, d time.Duration) time.Duration {
	for now := time.Duration(0); ; now += 500 * time.Millisecond {
		for g := range groups {
			for range 4 { // hosts with tasks of the group
				m.Observe(now, f.sample(g, now))
			}
		}
		if now >= d {
			return now
		}
	}
}

// Guards against fillers that are kept from all serving tasks, or beside all,
// because their harm to one image is taken for that to every image.
func TestModelEstimatesEachPairSeparately(t *testing.T) {
	for seed := range int64(5) {
		f, m := newSimulation(seed), NewModel()
		f.run(m, 30*time.Second)
		for p, coefficient := range f.coefficients {
			require.InDelta(t, coefficient, m.Coefficient(p), 0.35, "seed %d, pair %v", seed, p)
		}
	}
}

// Guards against a crest that fillers meet unprepared: the load in a second is
// known to within a tenth.
func TestModelPredictsTheLoad(t *testing.T) {
	for seed := range int64(5) {
		f, m := newSimulation(seed), NewModel()
		now := f.run(m, 20*time.Second)
		for g := range groups {
			const ahead = 500 * time.Millisecond
			require.InDelta(t, f.load(g, now+ahead), m.Load(groups[g], now+ahead), 0.1, "seed %d, group %d", seed, g)
		}
	}
}

// Guards against an agent that takes its serving tasks' own crest for harm: it
// sees one host only.
func TestLoadModelKeepsItsCoefficients(t *testing.T) {
	f, m := newSimulation(1), NewLoadModel()
	m.SetCoefficient(Pair{"desk", "a"}, 0.1)
	f.run(m, 10*time.Second)
	require.Equal(t, 0.1, m.Coefficient(Pair{"desk", "a"}))
	require.Equal(t, DefaultCoefficient, m.Coefficient(Pair{"desk", "new"}))
}

// Guards against division by nothing: tasks without a figure, without a target
// or far over it.
func TestUtilisationIsBounded(t *testing.T) {
	for _, latency := range []time.Duration{-1, 0, 1, target, time.Hour} {
		for _, goal := range []time.Duration{0, target} {
			utilisation := Utilisation(latency, goal)
			require.True(t, utilisation >= minUtilisation && utilisation <= maxUtilisation, "%v %v: %v", latency, goal, utilisation)
		}
	}
	require.Zero(t, PressureBudget(1))
}

// Guards against groups of jobs that ended long ago filling the memory.
func TestModelDropsIdleGroups(t *testing.T) {
	f, m := newSimulation(1), NewModel()
	now := f.run(m, time.Second)
	m.DropIdleGroups(now + groupRetention + time.Second)
	require.Empty(t, m.groups)
	require.NotEmpty(t, m.pairs)
}

// Guards against a restored harm that samples can no longer correct.
func TestRestoredCoefficientsAreCorrected(t *testing.T) {
	f, m := newSimulation(1), NewModel()
	m.RestoreCoefficient(Pair{"desk", "a"}, 2)
	f.run(m, 60*time.Second)
	require.InDelta(t, 0.1, m.Coefficient(Pair{"desk", "a"}), 0.4)
}
