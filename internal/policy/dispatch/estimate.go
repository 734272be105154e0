package dispatch

import (
	"math"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// ClassEstimates estimates the slot time of the requests of each class of a
// service, which is how long a request holds a slot. Slot times are not known
// in advance and may drift.
type ClassEstimates struct {
	byName         map[model.Class]*classStats
	configuredLong map[model.Class]bool // overrides the estimate whether a class is long
}

// NewClassEstimates returns estimates without samples.
func NewClassEstimates() *ClassEstimates {
	return &ClassEstimates{byName: map[model.Class]*classStats{}, configuredLong: map[model.Class]bool{}}
}

const (
	// minSamples is the number of samples from which a class counts as known.
	// Quantiles of fewer samples do not show the tail.
	minSamples = 20
	// longRatio is the ratio of the 95% quantile of a class to the smallest
	// median of the other classes of the service above which the class is long.
	longRatio = 20
	// countsAsLongRatio is the ratio of a request's running time to the 95%
	// quantile of its class above which the request counts as long.
	countsAsLongRatio = 4
	// defaultMean is the expected slot time of a class that is not known.
	defaultMean = 20 * time.Millisecond
	// maxClasses bounds the state. Classes come from path prefixes in the
	// configuration, and those of earlier versions are not removed.
	maxClasses = 1024
)

// SetLong sets whether a class is long, which overrides the estimate.
func (c *ClassEstimates) SetLong(name model.Class, long bool) { c.configuredLong[name] = long }

// AddSample records that a request of the class held a slot for d.
func (c *ClassEstimates) AddSample(name model.Class, d time.Duration) {
	s, ok := c.byName[name]
	if !ok {
		if len(c.byName) >= maxClasses {
			return
		}
		s = &classStats{}
		c.byName[name] = s
	}
	s.add(d)
}

// Mean returns the expected slot time of a request of the class, or defaultMean
// for a class that is not known.
func (c *ClassEstimates) Mean(name model.Class) time.Duration {
	if s := c.known(name); s != nil {
		return time.Duration(s.mean)
	}
	return defaultMean
}

// P95 returns the 95% quantile of the slot times of the class, or 0 if it is
// not known. A request that starts this long before its deadline most likely
// meets it.
func (c *ClassEstimates) P95(name model.Class) time.Duration {
	if s := c.known(name); s != nil {
		return s.quantile(0.95)
	}
	return 0
}

// Median returns the median slot time of the class, or 0 if it is not known. A
// request with less time to its deadline would most likely miss it.
func (c *ClassEstimates) Median(name model.Class) time.Duration {
	if s := c.known(name); s != nil {
		return s.quantile(0.5)
	}
	return 0
}

// IsLong reports whether the class is long, so that its requests may hold only
// a part of the slots. A class that is not known yet counts as long if another
// class of the service is known: its first requests could otherwise hold every
// slot for hours.
func (c *ClassEstimates) IsLong(name model.Class) bool {
	if long, set := c.configuredLong[name]; set {
		return long
	}
	minMedian, others := time.Duration(math.MaxInt64), false
	for n, o := range c.byName {
		// The class is compared with other classes only. A short load peak on
		// a host gives a short class a long tail, and the requests of a sole
		// class delay no other class.
		if o.count >= minSamples && n != name {
			others = true
			minMedian = min(minMedian, o.quantile(0.5))
		}
	}
	s := c.known(name)
	if s == nil {
		return others
	}
	return others && s.quantile(0.95) > longRatio*minMedian
}

// CountsAsLong reports whether a request of the class that has run for d counts
// as long, whatever its class.
func (c *ClassEstimates) CountsAsLong(name model.Class, d time.Duration) bool {
	s := c.known(name)
	return s != nil && d > countsAsLongRatio*s.quantile(0.95)
}

// Quantile returns the quantile q, from 0 to 1, of the slot times of the class,
// or 0 if there is no sample.
func (c *ClassEstimates) Quantile(name model.Class, q float64) time.Duration {
	if s := c.byName[name]; s != nil && s.count > 0 {
		return s.quantile(q)
	}
	return 0
}

// Names returns the classes that have samples, in no particular order.
func (c *ClassEstimates) Names() []model.Class {
	names := make([]model.Class, 0, len(c.byName))
	for n := range c.byName {
		names = append(names, n)
	}
	return names
}

// known returns the statistics of a class that has enough samples, or nil.
func (c *ClassEstimates) known(name model.Class) *classStats {
	if s := c.byName[name]; s != nil && s.count >= minSamples {
		return s
	}
	return nil
}

const (
	buckets            = 64
	bucketsPerDoubling = 2
	firstBucket        = float64(100 * time.Microsecond)
	halvingInterval    = 512  // samples after which the weight of all earlier ones is halved
	meanSmoothing      = 0.05 // weight of a new sample in the mean
	bucketGrowthLog    = math.Ln2 / bucketsPerDoubling
)

// classStats is a histogram of slot times from 100 microseconds to about 3 days.
// Each bucket is wider than the one before by a factor of the square root of
// two. The weight of old samples decays.
type classStats struct {
	count  int
	mean   float64 // nanoseconds
	weight [buckets]float32
	total  float32
}

func (s *classStats) add(d time.Duration) {
	s.count++
	if s.count == 1 {
		s.mean = float64(d)
	}
	s.mean += (float64(d) - s.mean) * max(meanSmoothing, 1/float64(s.count))
	if s.count%halvingInterval == 0 {
		s.total /= 2
		for i := range s.weight {
			s.weight[i] /= 2
		}
	}
	s.weight[bucketOf(d)]++
	s.total++
}

func bucketOf(d time.Duration) int {
	if float64(d) <= firstBucket {
		return 0
	}
	return min(buckets-1, 1+int(math.Log(float64(d)/firstBucket)/bucketGrowthLog))
}

func (s *classStats) quantile(q float64) time.Duration {
	want := float32(q) * s.total
	var sum float32
	for i, w := range s.weight {
		sum += w
		if sum >= want && w > 0 {
			return time.Duration(firstBucket * math.Exp(float64(i)*bucketGrowthLog))
		}
	}
	return 0
}
