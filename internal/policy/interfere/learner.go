// Package interfere decides which batch tasks to throttle or to stop because
// they slow a service on the same host. It estimates an interference
// coefficient for each pair of service class and batch class from lagging
// measurements, and decides for the load that is forecast from the arrivals
// and queues at the entries. It does no input or output and reads no clock:
// times are durations on the caller's monotonic clock.
package interfere

import (
	"math"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// ServiceClass is a class of a service's requests with its own latency target.
type ServiceClass struct {
	Service model.Service
	Class   model.Class
}

// Exposure holds, for each batch class on a service's host, the share of the
// host's processors that the tasks of the class may use under their limits.
type Exposure map[model.Class]float64

// Sample is one measurement of a service class on a host.
type Sample struct {
	Service  ServiceClass
	P99      time.Duration
	Target   time.Duration // for P99
	Load     float64       // share of the slots in use, at the worst moment of the window
	Exposure Exposure      // at the same moment
}

// Estimate is an estimate with its standard deviation: of ln(p99/target),
// which is negative while the service meets its target, or of a coefficient.
type Estimate struct{ Mean, Deviation float64 }

const (
	baseTerms = 4 // 1, load, load² and load·(Σ coefficient·exposure)²
	// priorCoefficient is the coefficient assumed for an unknown batch class,
	// which counts as harmful until it was measured.
	priorCoefficient = 0.5
	// Standard deviations of the priors: of a pair's coefficient around the
	// mean of its batch class, of that mean around priorCoefficient, of the
	// first three base terms and of the last one.
	pairDeviation        = 0.7
	classDeviation       = 0.7
	baseDeviation        = 3.0
	interactionDeviation = 0.3
	initialNoise         = 0.15 // standard deviation of one sample before the first measurement
	minNoise             = 0.03 // lower bound of that deviation
	noiseGain            = 0.01 // weight of a new squared residual in the noise
	// sampleDecay is the factor by which each sample reduces the weight of
	// earlier ones. It averages over about 5,000 samples: 75 minutes of 11
	// workers that report every 10 s.
	sampleDecay = 0.9998
	// refreshAfter is the number of samples after which the posterior is
	// computed again.
	refreshAfter = 8
	// nearTarget is the distance of ln(p99/target) from 0 at which a sample has
	// half the weight. The true relation is not linear, so the fit favours
	// samples near the target, where decisions are made.
	nearTarget = 0.4
)

// Learner estimates the interference coefficients of all pairs of service
// class and batch class. For each service class it keeps a Bayesian linear
// regression of ln(p99/target) on the load and on load·exposure of each batch
// class. The prior of a coefficient is the mean of its batch class over the
// services. A Learner is not safe for concurrent use.
type Learner struct {
	classIndex map[model.Class]int
	services   map[ServiceClass]*regression
	classMeans []float64 // by class index
}

// regression is the regression of one service class.
type regression struct {
	information  symmetric // Σ x·xᵀ/noise²
	weightedSum  []float64 // Σ x·y/noise²
	covariance   symmetric // posterior
	mean         []float64 // posterior
	noise        float64   // variance of one sample
	sinceRefresh int       // samples since the posterior was computed; -1 if it has to be computed
	features     []float64 // scratch
}

// NewLearner returns a learner without samples.
func NewLearner() *Learner {
	return &Learner{classIndex: map[model.Class]int{}, services: map[ServiceClass]*regression{}}
}

// class returns the index of a batch class. It extends all regressions by a
// new one.
func (l *Learner) class(c model.Class) int {
	i, ok := l.classIndex[c]
	if ok {
		return i
	}
	i = len(l.classIndex)
	l.classIndex[c] = i
	l.classMeans = append(l.classMeans, priorCoefficient)
	for _, r := range l.services {
		r.information, r.weightedSum, r.features = r.information.extended(), append(r.weightedSum, 0), append(r.features, 0)
		r.sinceRefresh = -1
	}
	return i
}

// service returns the regression of a service class, a new one if necessary.
func (l *Learner) service(s ServiceClass) *regression {
	r := l.services[s]
	if r == nil {
		n := baseTerms + len(l.classIndex)
		r = &regression{information: newSymmetric(n), weightedSum: make([]float64, n), features: make([]float64, n), noise: initialNoise * initialNoise, sinceRefresh: -1}
		l.services[s] = r
	}
	return r
}

// fillFeatures fills and returns the regression's scratch vector.
func (l *Learner) fillFeatures(r *regression, load float64, e Exposure) []float64 {
	clear(r.features)
	r.features[0], r.features[1], r.features[2] = 1, load, load*load
	total := 0.0
	for c, share := range e {
		i := l.classIndex[c]
		r.features[baseTerms+i] = load * share
		total += l.classMeans[i] * share
	}
	// The effects of several tasks are not additive.
	r.features[3] = load * total * total
	return r.features
}

// Observe updates the regression with a sample and returns the difference of
// ln(p99/target) from its prediction. It ignores samples without a P99 or a
// target.
func (l *Learner) Observe(s Sample) (residual float64) {
	if s.P99 <= 0 || s.Target <= 0 {
		return 0
	}
	for c := range s.Exposure {
		l.class(c)
	}
	r := l.service(s.Service)
	predicted := l.Predict(s.Service, s.Load, s.Exposure)
	logRatio := math.Log(float64(s.P99) / float64(s.Target))
	residual = logRatio - predicted.Mean
	weight := 1 / (1 + (logRatio/nearTarget)*(logRatio/nearTarget))
	if converged := predicted.Deviation*predicted.Deviation < 2*r.noise; converged {
		r.noise += noiseGain * weight * (residual*residual - r.noise)
		r.noise = max(r.noise, minNoise*minNoise)
	}
	x := l.fillFeatures(r, s.Load, s.Exposure)
	r.information.addOuter(sampleDecay, weight/r.noise, x)
	for i := range x {
		r.weightedSum[i] = r.weightedSum[i]*sampleDecay + weight/r.noise*x[i]*logRatio
	}
	if r.sinceRefresh >= 0 {
		r.sinceRefresh++
	}
	return residual
}

// Predict estimates ln(p99/target) of a service class at a load and an
// exposure. The deviation includes the noise of one measured window.
func (l *Learner) Predict(s ServiceClass, load float64, e Exposure) Estimate {
	for c := range e {
		l.class(c)
	}
	r := l.service(s)
	if r.sinceRefresh < 0 || r.sinceRefresh >= refreshAfter {
		l.refresh(r)
	}
	x := l.fillFeatures(r, load, e)
	return Estimate{dot(r.mean, x), math.Sqrt(max(0, r.covariance.quadratic(x)) + r.noise)}
}

// Coefficient estimates the interference coefficient of a pair: the change of
// ln(p99/target) at full load if the batch class had the whole host. The
// estimate may be up to refreshAfter samples old.
func (l *Learner) Coefficient(s ServiceClass, c model.Class) Estimate {
	i := baseTerms + l.class(c)
	r := l.service(s)
	if r.sinceRefresh < 0 {
		l.refresh(r)
	}
	return Estimate{r.mean[i], math.Sqrt(max(0, r.covariance.at(i, i)))}
}

// refresh computes the posterior of one service class with the present means
// of the batch classes as its prior.
func (l *Learner) refresh(r *regression) {
	n := r.information.n
	precision := newSymmetric(n)
	copy(precision.v, r.information.v)
	rightSide := make([]float64, n)
	copy(rightSide, r.weightedSum)
	for i := range n {
		priorPrecision, priorMean := 1/(baseDeviation*baseDeviation), 0.0
		if i == baseTerms-1 {
			priorPrecision = 1 / (interactionDeviation * interactionDeviation)
		}
		if i >= baseTerms {
			priorPrecision, priorMean = 1/(pairDeviation*pairDeviation), l.classMeans[i-baseTerms]
		}
		precision.v[i*n+i] += priorPrecision
		rightSide[i] += priorPrecision * priorMean
	}
	r.covariance = precision.inverse()
	r.mean = make([]float64, n)
	for i := range n {
		r.mean[i] = dot(r.covariance.v[i*n:(i+1)*n], rightSide)
	}
	r.sinceRefresh = 0
	l.poolClassMeans()
}

// poolClassMeans computes the mean coefficient of each batch class over the
// services. The less is known, the closer it is to priorCoefficient.
func (l *Learner) poolClassMeans() {
	for c := range l.classMeans {
		weight := 1 / (classDeviation * classDeviation)
		sum := weight * priorCoefficient
		for _, r := range l.services {
			i := baseTerms + c
			if r.sinceRefresh < 0 || i >= len(r.mean) {
				continue
			}
			known := 1 - r.covariance.at(i, i)/(pairDeviation*pairDeviation) // 0 if only the prior is known
			precision := max(0, known) / (pairDeviation * pairDeviation)
			sum += precision * r.mean[i]
			weight += precision
		}
		l.classMeans[c] = sum / weight
	}
}
