// Package contention models how best-effort tasks slow down the serving tasks on
// their host. A serving task with load ρ under pressure P has the tail latency
// L = L0/(1 − ρ − P): it is modelled as a queue whose server the best-effort
// tasks occupy for the fraction P of the time. The pressure of a best-effort task
// is its share of the host's processors times the interference coefficient of
// the pair of images. The package does no input or output; times are durations on
// the caller's monotonic clock.
package contention

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Image is the name of the program that a task runs. Tasks with the same image
// are assumed to interfere alike.
type Image string

// Pair is the image of a serving task and that of a best-effort task on its host.
type Pair struct{ Serving, BestEffort Image }

// Group identifies serving tasks that share their load: those of one job.
type Group string

// UsedShare is the fraction of its declared processors that a best-effort task
// uses.
const UsedShare = 0.85

// DefaultCoefficient is the coefficient of a pair without samples.
const DefaultCoefficient = 0.3

const (
	// idleLatencyShare is the tail latency without load as a fraction of the
	// target. The model has to be accurate near the target, where this value
	// has little influence.
	idleLatencyShare = 0.2
	// aimLatencyShare is the tail latency, as a fraction of the target, that
	// best-effort tasks may cause.
	aimLatencyShare = 0.75
	// minUtilisation and maxUtilisation bound 1 − L0/L. Beyond them a measured
	// latency does not determine the load.
	minUtilisation = 0.05
	maxUtilisation = 0.97
)

// Utilisation estimates ρ + P of a serving task from its latency.
func Utilisation(latency, target time.Duration) float64 {
	if latency <= 0 || target <= 0 {
		return minUtilisation
	}
	return min(maxUtilisation, max(minUtilisation, 1-idleLatencyShare*float64(target)/float64(latency)))
}

// PressureBudget returns the highest pressure at which a serving task with a load
// stays below aimLatencyShare of its target.
func PressureBudget(load float64) float64 {
	const aimUtilisation = 1 - idleLatencyShare/aimLatencyShare
	return max(0, aimUtilisation-load)
}

// Sample is one measurement of a serving task.
type Sample struct {
	Image   Image
	Group   Group
	Latency time.Duration
	Target  time.Duration
	// Shares of the host's processors that best-effort tasks used meanwhile, by
	// image.
	Shares map[Image]float64
}

// Model estimates the load of each group and the coefficient of each pair from
// samples of many hosts. It is a Kalman filter whose state is the load of each
// group with its slope, and the coefficient of each pair. The errors of groups
// and pairs are treated as independent. A Model is not safe for concurrent use.
type Model struct {
	groups            map[Group]*load
	pairs             map[Pair]*coefficient
	byServing         map[Image][]known // the pairs, by serving image
	fixedCoefficients bool              // samples do not change the coefficients
}

// load is the estimated load of a group, its slope per second, and their
// covariance matrix.
type load struct {
	updatedAt                                time.Duration
	value, slope                             float64
	valueVariance, covariance, slopeVariance float64
}

// coefficient is the estimated interference coefficient of a pair.
type coefficient struct{ value, variance float64 }

// known is the coefficient of a pair whose serving image is given.
type known struct {
	bestEffort  Image
	coefficient *coefficient
}

const (
	initialLoad                = 0.45
	initialLoadVariance        = 0.04
	maxSlope                   = 0.15 // per second
	initialSlopeVariance       = 0.01
	initialCoefficientVariance = 0.5
	restoredVariance           = 0.05
	minCoefficient             = 0.02
	maxCoefficient             = 4.0
	minLoad                    = 0.05
	maxLoad                    = 0.95
	// Growth of the variances. Loads vary within seconds, coefficients more
	// slowly.
	loadNoise        = 0.0003 // per second
	slopeNoise       = 0.003  // per second
	coefficientNoise = 0.0002 // per sample
	// latencyNoise is the relative error of a measured latency, modelNoise the
	// error of the utilisation that the model derives from it.
	latencyNoise = 0.12
	modelNoise   = 0.03
	// maxDeviations limits the residual of a sample, in standard deviations, so
	// that an outlier has a limited effect.
	maxDeviations = 3.0
	// saturation is the utilisation above which neither the prediction nor the
	// latency determines by how much a task is overloaded.
	saturation = 0.95
	// maxExtrapolation limits the time over which a slope is extrapolated.
	maxExtrapolation = 1500 * time.Millisecond
	// groupRetention is how long a group without samples is kept.
	groupRetention = 30 * time.Second
)

// NewModel returns a model without samples.
func NewModel() *Model {
	return &Model{groups: map[Group]*load{}, pairs: map[Pair]*coefficient{}, byServing: map[Image][]known{}}
}

// NewLoadModel returns a model that estimates loads only, from the samples of one
// host. These cannot distinguish interference from load, so the coefficients come
// from SetCoefficient.
func NewLoadModel() *Model {
	m := NewModel()
	m.fixedCoefficients = true
	return m
}

func (m *Model) group(g Group, now time.Duration) *load {
	l, ok := m.groups[g]
	if !ok {
		l = &load{updatedAt: now, value: initialLoad, valueVariance: initialLoadVariance, slopeVariance: initialSlopeVariance}
		m.groups[g] = l
	}
	return l
}

func (m *Model) pair(p Pair) *coefficient {
	c, ok := m.pairs[p]
	if !ok {
		c = &coefficient{DefaultCoefficient, initialCoefficientVariance}
		m.pairs[p] = c
		m.index(p, c)
	}
	return c
}

// index adds a new pair to those of its serving image.
func (m *Model) index(p Pair, c *coefficient) {
	list := m.byServing[p.Serving]
	i := sort.Search(len(list), func(i int) bool { return list[i].bestEffort >= p.BestEffort })
	m.byServing[p.Serving] = slices.Insert(list, i, known{p.BestEffort, c})
}

// Observe updates the estimates with a sample that was taken at now.
func (m *Model) Observe(now time.Duration, s Sample) {
	l := m.group(s.Group, now)
	l.advance(now)
	utilisation := Utilisation(s.Latency, s.Target)
	pressure := m.Pressure(s.Image, s.Shares)
	predicted := l.value + pressure
	if predicted > saturation && utilisation > saturation {
		return
	}
	ratio := idleLatencyShare * float64(s.Target) / float64(max(1, s.Latency))
	variance := square(latencyNoise*ratio) + square(modelNoise) + l.valueVariance
	for image, share := range s.Shares {
		variance += square(share) * m.pair(Pair{s.Image, image}).variance
	}
	maxResidual := maxDeviations * math.Sqrt(variance)
	residual := min(maxResidual, max(-maxResidual, utilisation-min(maxUtilisation, predicted)))
	l.correct(residual, variance)
	if m.fixedCoefficients {
		return
	}
	for image, share := range s.Shares {
		m.pair(Pair{s.Image, image}).correct(share, residual, variance)
	}
}

// advance predicts the load and its covariance matrix at a later time.
func (l *load) advance(now time.Duration) {
	t := (now - l.updatedAt).Seconds()
	l.updatedAt = now
	l.value += l.slope * min(t, maxExtrapolation.Seconds())
	l.valueVariance += 2*t*l.covariance + t*t*l.slopeVariance + loadNoise*t
	l.covariance += t * l.slopeVariance
	l.slopeVariance += slopeNoise * t
	l.clamp()
}

// correct updates the load with a residual of the given variance.
func (l *load) correct(residual, variance float64) {
	gain, slopeGain := l.valueVariance/variance, l.covariance/variance
	l.value += gain * residual
	l.slope += slopeGain * residual
	l.slopeVariance -= slopeGain * l.covariance
	l.covariance -= gain * l.covariance
	l.valueVariance -= gain * l.valueVariance
	l.clamp()
}

// clamp limits the load and its slope to their bounds.
func (l *load) clamp() {
	l.value = min(maxLoad, max(minLoad, l.value))
	l.slope = min(maxSlope, max(-maxSlope, l.slope))
}

// correct updates the coefficient with a residual of the given variance, to which
// the coefficient contributes with a weight.
func (c *coefficient) correct(weight, residual, variance float64) {
	gain := weight * c.variance / variance
	c.value = min(maxCoefficient, max(minCoefficient, c.value+gain*residual))
	c.variance = min(initialCoefficientVariance, c.variance*(1-gain*weight)+coefficientNoise)
}

// Load predicts the load of a group at a time. It returns initialLoad for a group
// without samples.
func (m *Model) Load(g Group, at time.Duration) float64 {
	l, ok := m.groups[g]
	if !ok {
		return initialLoad
	}
	ahead := min(maxExtrapolation, max(0, at-l.updatedAt)).Seconds()
	return min(maxLoad, max(minLoad, l.value+l.slope*ahead))
}

// Coefficient returns the interference coefficient of a pair: the pressure that
// a best-effort task would put on the serving task if it used all processors of
// the host.
func (m *Model) Coefficient(p Pair) float64 {
	if c, ok := m.pairs[p]; ok {
		return c.value
	}
	return DefaultCoefficient
}

// Coefficients calls visit for each pair that has samples or was set.
func (m *Model) Coefficients(visit func(Pair, float64)) {
	for p, c := range m.pairs {
		visit(p, c.value)
	}
}

// CoefficientsOf calls visit for each pair with a serving image that has samples or
// was set, in the order of the best-effort images.
func (m *Model) CoefficientsOf(serving Image, visit func(Pair, float64)) {
	for _, k := range m.byServing[serving] {
		visit(Pair{serving, k.bestEffort}, k.coefficient.value)
	}
}

// SetCoefficient sets the coefficient of a pair to the estimate of a model that
// has the samples of all hosts.
func (m *Model) SetCoefficient(p Pair, value float64) {
	m.pair(p).value = min(maxCoefficient, max(minCoefficient, value))
}

// RestoreCoefficient sets the coefficient of a pair to the stored estimate of an
// earlier model. Samples change it less than that of an unknown pair.
func (m *Model) RestoreCoefficient(p Pair, value float64) {
	m.SetCoefficient(p, value)
	m.pair(p).variance = restoredVariance
}

// Pressure returns the pressure that best-effort tasks put on a serving task.
// shares are the shares of the host's processors that they use, by image.
func (m *Model) Pressure(serving Image, shares map[Image]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += m.Coefficient(Pair{serving, image}) * share
	}
	return sum
}

// DropIdleGroups drops the groups whose last sample is older than
// groupRetention.
func (m *Model) DropIdleGroups(now time.Duration) {
	for g, l := range m.groups {
		if now-l.updatedAt > groupRetention {
			delete(m.groups, g)
		}
	}
}

func square(x float64) float64 { return x * x }
