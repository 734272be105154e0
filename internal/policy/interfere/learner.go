// Package interfere decides when batch tasks slow a service on the same host,
// and which task to throttle or to stop. It learns the effect of each pair
// of service class and batch class from lagging measurements and acts on the
// load that leading signals announce. It is pure: times are durations on the
// owner's monotonic clock.
package interfere

import (
	"math"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// ServiceClass is a class of a service's requests with its own target.
type ServiceClass struct {
	Service model.Service
	Class   model.Class
}

// Exposure is what a service shared its host with: for each batch class the
// part of the host's processors that its tasks could use, after throttling.
type Exposure map[model.Class]float64

// Sample is one measurement of a service class on a host.
type Sample struct {
	Service  ServiceClass
	P99      time.Duration
	Target   time.Duration // of P99
	Load     float64       // share of the slots in use, at the worst moment
	Exposure Exposure      // at the same moment
}

// Estimate is a prediction of ln(p99/target): the service is inside its
// target while it is negative.
type Estimate struct{ Mean, Deviation float64 }

const (
	baseTerms = 4 // 1, load, load² and load·(sum of the effects)²
	// priorEffect is what an unknown batch class is taken to do to the
	// logarithm at full load and with the whole host; unknown is harmful.
	priorEffect = 0.5
	// pairDeviation is how far a pair may be from its class's mean, and
	// classDeviation how far a class may be from priorEffect.
	pairDeviation  = 0.7
	classDeviation = 0.7
	baseDeviation  = 3.0
	curveDeviation = 0.3
	firstNoise     = 0.15 // standard deviation before anything was measured
	leastNoise     = 0.03
	noiseGain      = 0.01
	// forget gives a memory of 5,000 samples, 75 minutes of 11 workers that
	// report every 10 s.
	forget = 0.9998
	// refreshAfter samples the posterior is computed again.
	refreshAfter = 8
	// nearTarget is the distance from the target at which a sample counts half.
	// The law is not linear; it has to be right where decisions are made.
	nearTarget = 0.4
)

// Learner holds the effects of all pairs: for each service class a Bayesian
// linear regression of ln(p99/target) on the load and on load·exposure of
// each batch class, whose prior is the batch class's mean over the services.
type Learner struct {
	classes  map[model.Class]int
	services map[ServiceClass]*regression
	means    []float64 // by class index
}

type regression struct {
	info  symmetric // Σ x·xᵀ/noise²
	sum   []float64 // Σ x·y/noise²
	cov   symmetric // posterior
	mean  []float64 // posterior
	noise float64   // variance of one sample
	fresh int       // samples since the posterior was computed; -1: never
	x     []float64 // scratch
}

// NewLearner returns a learner without samples.
func NewLearner() *Learner {
	return &Learner{classes: map[model.Class]int{}, services: map[ServiceClass]*regression{}}
}

// class returns the index of a batch class and makes room for a new one.
func (l *Learner) class(c model.Class) int {
	i, ok := l.classes[c]
	if ok {
		return i
	}
	i = len(l.classes)
	l.classes[c] = i
	l.means = append(l.means, priorEffect)
	for _, r := range l.services {
		r.info, r.sum, r.x = r.info.grown(), append(r.sum, 0), append(r.x, 0)
		r.fresh = -1
	}
	return i
}

func (l *Learner) service(s ServiceClass) *regression {
	r := l.services[s]
	if r == nil {
		n := baseTerms + len(l.classes)
		r = &regression{info: newSymmetric(n), sum: make([]float64, n), x: make([]float64, n), noise: firstNoise * firstNoise, fresh: -1}
		l.services[s] = r
	}
	return r
}

// features fills the regression's scratch vector.
func (l *Learner) features(r *regression, load float64, e Exposure) []float64 {
	clear(r.x)
	r.x[0], r.x[1], r.x[2] = 1, load, load*load
	sum := 0.0
	for c, part := range e {
		i := l.classes[c]
		r.x[baseTerms+i] = load * part
		sum += l.means[i] * part
	}
	// Effects of several tasks do not simply add up.
	r.x[3] = load * sum * sum
	return r.x
}

// Observe learns from a sample and returns by how much it was above the
// prediction.
func (l *Learner) Observe(s Sample) (residual float64) {
	if s.P99 <= 0 || s.Target <= 0 {
		return 0
	}
	for c := range s.Exposure {
		l.class(c)
	}
	r := l.service(s.Service)
	predicted := l.Predict(s.Service, s.Load, s.Exposure)
	y := math.Log(float64(s.P99) / float64(s.Target))
	residual = y - predicted.Mean
	weight := 1 / (1 + (y/nearTarget)*(y/nearTarget))
	if known := predicted.Deviation*predicted.Deviation < 2*r.noise; known {
		r.noise += noiseGain * weight * (residual*residual - r.noise)
		r.noise = max(r.noise, leastNoise*leastNoise)
	}
	x := l.features(r, s.Load, s.Exposure)
	r.info.addOuter(forget, weight/r.noise, x)
	for i := range x {
		r.sum[i] = r.sum[i]*forget + weight/r.noise*x[i]*y
	}
	if r.fresh >= 0 {
		r.fresh++
	}
	return residual
}

// Predict estimates a service class at a load with an exposure. The deviation
// includes the noise of one window.
func (l *Learner) Predict(s ServiceClass, load float64, e Exposure) Estimate {
	for c := range e {
		l.class(c)
	}
	r := l.service(s)
	if r.fresh < 0 || r.fresh >= refreshAfter {
		l.refresh(r)
	}
	x := l.features(r, load, e)
	return Estimate{dot(r.mean, x), math.Sqrt(max(0, r.cov.quadratic(x)) + r.noise)}
}

// Coefficient estimates a pair: the change of ln(p99/target) at full load if the
// batch class had the whole host.
func (l *Learner) Coefficient(s ServiceClass, c model.Class) Estimate {
	i := baseTerms + l.class(c)
	r := l.service(s)
	if r.fresh < 0 {
		l.refresh(r)
	}
	return Estimate{r.mean[i], math.Sqrt(max(0, r.cov.at(i, i)))}
}

// refresh computes the posterior of one service class with the present means
// of the batch classes as its prior.
func (l *Learner) refresh(r *regression) {
	n := r.info.n
	precision := newSymmetric(n)
	copy(precision.v, r.info.v)
	target := make([]float64, n)
	copy(target, r.sum)
	for i := range n {
		p, m := 1/(baseDeviation*baseDeviation), 0.0
		if i == baseTerms-1 {
			p = 1 / (curveDeviation * curveDeviation)
		}
		if i >= baseTerms {
			p, m = 1/(pairDeviation*pairDeviation), l.means[i-baseTerms]
		}
		precision.v[i*n+i] += p
		target[i] += p * m
	}
	r.cov = precision.inverse()
	r.mean = make([]float64, n)
	for i := range n {
		r.mean[i] = dot(r.cov.v[i*n:(i+1)*n], target)
	}
	r.fresh = 0
	l.pool()
}

// pool computes the mean of each batch class over the services, shrunk to
// priorEffect by how little is known.
func (l *Learner) pool() {
	for c := range l.means {
		weight := 1 / (classDeviation * classDeviation)
		sum := weight * priorEffect
		for _, r := range l.services {
			i := baseTerms + c
			if r.fresh < 0 || i >= len(r.mean) {
				continue
			}
			known := 1 - r.cov.at(i, i)/(pairDeviation*pairDeviation) // 0: only the prior
			w := max(0, known) / (pairDeviation * pairDeviation)
			sum += w * r.mean[i]
			weight += w
		}
		l.means[c] = sum / weight
	}
}
