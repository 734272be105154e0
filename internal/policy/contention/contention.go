// Package contention models how tasks that fill unused processors slow the
// serving tasks on their host. A serving task of load ρ under the pressure P of
// its neighbours has the tail latency L = L0/(1 − ρ − P), as a queue whose
// server they keep busy for the part P of the time. The pressure of a filler is
// its share of the host's processors times the harm of the pair of images. The
// package is pure: times are durations on a monotonic clock.
package contention

import (
	"math"
	"time"
)

// Image names what a task runs. Tasks of an image behave alike.
type Image string

// Pair is a filler's image beside a serving task's.
type Pair struct{ Serving, BestEffort Image }

// Group names serving tasks that share their load: those of one job.
type Group string

// UsedShare of the processors that fillers declare is what they use.
const UsedShare = 0.85

// UnknownHarm is that of a filler of which nothing has been measured.
const DefaultCoefficient = 0.3

const (
	// idleShare is the tail latency without load, relative to the target. The
	// law has to be right near the target, where this share matters little.
	idleLatencyShare = 0.2
	// aimShare of the target is the latency up to which fillers may push.
	aimLatencyShare = 0.75
	// leastBusy and mostBusy bound 1 − L0/L: beyond them a measured latency
	// tells nothing of the load.
	minUtilisation = 0.05
	maxUtilisation = 0.97
)

// Busy is how busy a serving task is, ρ + P, by its latency.
func Utilisation(latency, target time.Duration) float64 {
	if latency <= 0 || target <= 0 {
		return minUtilisation
	}
	return min(maxUtilisation, max(minUtilisation, 1-idleLatencyShare*float64(target)/float64(latency)))
}

// PressureBudget is the pressure that a serving task of a load bears below the latency
// that fillers may push it to.
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
	// Shares of the host's processors that fillers used meanwhile.
	Shares map[Image]float64
}

// Model estimates the load of each group and the harm of each pair from
// samples of many hosts. It is a Kalman filter: a group has a load and its
// slope, a pair its harm, and their errors are taken as independent.
type Model struct {
	groups            map[Group]*load
	pairs             map[Pair]*coefficient
	fixedCoefficients bool // harms are taken from Teach only
}

// load is the load of a group, its slope for each second, and their
// covariance.
type load struct {
	updatedAt                                time.Duration
	value, slope                             float64
	valueVariance, covariance, slopeVariance float64
}

type coefficient struct{ value, variance float64 }

const (
	initialLoad                = 0.45
	initialLoadVariance        = 0.04
	maxSlope                   = 0.15 // for each second
	initialSlopeVariance       = 0.01
	initialCoefficientVariance = 0.5
	restoredVariance           = 0.05
	minCoefficient             = 0.02
	maxCoefficient             = 4.0
	minLoad                    = 0.05
	maxLoad                    = 0.95
	// Growth of the variances: loads swing within seconds, harm changes slower.
	loadNoise        = 0.0003 // for each second
	slopeNoise       = 0.003  // for each second
	coefficientNoise = 0.0002 // for each sample
	// latencyNoise is the relative error of a measured latency, busyNoise the
	// error of the law.
	latencyNoise = 0.12
	modelNoise   = 0.03
	// outlier deviations bound what one sample may change.
	maxDeviations = 3.0
	// saturated is where neither a prediction nor a latency tells how far a
	// task is past its limit.
	saturation = 0.95
	// horizon bounds the time over which a slope is extrapolated.
	maxExtrapolation = 1500 * time.Millisecond
	// forgetAfter is how long a group without samples is kept.
	groupRetention = 30 * time.Second
)

// NewModel returns a model without samples.
func NewModel() *Model {
	return &Model{groups: map[Group]*load{}, pairs: map[Pair]*coefficient{}}
}

// NewLoadModel returns a model that learns loads only. The samples of one
// host cannot tell harm from load, so the harms come from Teach.
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
	h, ok := m.pairs[p]
	if !ok {
		h = &coefficient{DefaultCoefficient, initialCoefficientVariance}
		m.pairs[p] = h
	}
	return h
}

// Observe learns from a sample.
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

// advance predicts the load at a later time.
func (l *load) advance(now time.Duration) {
	t := (now - l.updatedAt).Seconds()
	l.updatedAt = now
	l.value += l.slope * min(t, maxExtrapolation.Seconds())
	l.valueVariance += 2*t*l.covariance + t*t*l.slopeVariance + loadNoise*t
	l.covariance += t * l.slopeVariance
	l.slopeVariance += slopeNoise * t
	l.clamp()
}

// correct applies a residual of the given variance.
func (l *load) correct(residual, variance float64) {
	gain, slopeGain := l.valueVariance/variance, l.covariance/variance
	l.value += gain * residual
	l.slope += slopeGain * residual
	l.slopeVariance -= slopeGain * l.covariance
	l.covariance -= gain * l.covariance
	l.valueVariance -= gain * l.valueVariance
	l.clamp()
}

func (l *load) clamp() {
	l.value = min(maxLoad, max(minLoad, l.value))
	l.slope = min(maxSlope, max(-maxSlope, l.slope))
}

// correct applies a residual that the harm influences with a weight.
func (h *coefficient) correct(weight, residual, variance float64) {
	gain := weight * h.variance / variance
	h.value = min(maxCoefficient, max(minCoefficient, h.value+gain*residual))
	h.variance = min(initialCoefficientVariance, h.variance*(1-gain*weight)+coefficientNoise)
}

// Load predicts the load of a group at a time. A group without samples has a
// middling load.
func (m *Model) Load(g Group, at time.Duration) float64 {
	l, ok := m.groups[g]
	if !ok {
		return initialLoad
	}
	ahead := min(maxExtrapolation, max(0, at-l.updatedAt)).Seconds()
	return min(maxLoad, max(minLoad, l.value+l.slope*ahead))
}

// Coefficient returns the pressure of a filler that uses a whole host on a serving
// task.
func (m *Model) Coefficient(p Pair) float64 {
	if h, ok := m.pairs[p]; ok {
		return h.value
	}
	return DefaultCoefficient
}

// Harms calls visit for each pair that was measured.
func (m *Model) Coefficients(visit func(Pair, float64)) {
	for p, h := range m.pairs {
		visit(p, h.value)
	}
}

// SetCoefficient sets the harm of a pair to what another model has learned from more
// hosts.
func (m *Model) SetCoefficient(p Pair, value float64) {
	m.pair(p).value = min(maxCoefficient, max(minCoefficient, value))
}

// Restore sets the harm of a pair to what a former model had learned. Samples
// change it, though less than one that is not known.
func (m *Model) RestoreCoefficient(p Pair, value float64) {
	m.SetCoefficient(p, value)
	m.pair(p).variance = restoredVariance
}

// Pressure on a serving task of fillers that use shares of its host.
func (m *Model) Pressure(serving Image, shares map[Image]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += m.Coefficient(Pair{serving, image}) * share
	}
	return sum
}

// DropIdleGroups drops groups without recent samples.
func (m *Model) DropIdleGroups(now time.Duration) {
	for g, l := range m.groups {
		if now-l.updatedAt > groupRetention {
			delete(m.groups, g)
		}
	}
}

func square(x float64) float64 { return x * x }
