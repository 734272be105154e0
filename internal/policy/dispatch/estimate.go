package dispatch

import (
	"math"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// ClassEstimates learns how long the requests of each class of a service hold a
// slot. Lengths are not known in advance and may drift.
type ClassEstimates struct {
	byName map[model.Class]*classStats
	forced map[model.Class]bool // long by configuration
}

// NewClassEstimates returns estimates that know nothing yet.
func NewClassEstimates() *ClassEstimates {
	return &ClassEstimates{byName: map[model.Class]*classStats{}, forced: map[model.Class]bool{}}
}

const (
	// Quantiles of fewer samples say too little about the tail.
	minSamples = 20
	// A class is long when its 95% quantile is this many times the median of
	// the quickest other class of the service.
	longRatio = 20
	// A running request of more than this many times the 95% quantile of its
	// class counts as long.
	agedRatio = 4
	// Until a class is known, its requests are expected to take this long.
	unknownMean = 20 * time.Millisecond
	// Classes come from path prefixes in the configuration; this bounds the
	// state should the configuration change for ever.
	maxClasses = 1024
)

// SetLong marks a class as long by configuration.
func (c *ClassEstimates) SetLong(name model.Class, long bool) { c.forced[name] = long }

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

// Mean is the expected slot time of a request of the class.
func (c *ClassEstimates) Mean(name model.Class) time.Duration {
	if s := c.known(name); s != nil {
		return time.Duration(s.mean)
	}
	return unknownMean
}

// Typical is the slot time that most requests of the class stay within, for
// deciding whether there is time left to run one.
func (c *ClassEstimates) Typical(name model.Class) time.Duration {
	if s := c.known(name); s != nil {
		return s.quantile(0.95)
	}
	return 0
}

// Floor is the slot time that half of the requests of the class exceed: with
// less time left, running one would most likely be a waste.
func (c *ClassEstimates) Floor(name model.Class) time.Duration {
	if s := c.known(name); s != nil {
		return s.quantile(0.5)
	}
	return 0
}

// IsLong reports whether the class may hold only a part of the slots. A class
// that is not known yet counts as long once another class of the service is
// known: its first requests could otherwise take every slot for hours.
func (c *ClassEstimates) IsLong(name model.Class) bool {
	if long, set := c.forced[name]; set {
		return long
	}
	quickest, others := time.Duration(math.MaxInt64), false
	for n, o := range c.byName {
		// Its own median does not count: a host that is busy for a moment gives
		// a quick class a long tail, and nothing waits behind a sole class.
		if o.count >= minSamples && n != name {
			others = true
			quickest = min(quickest, o.quantile(0.5))
		}
	}
	s := c.known(name)
	if s == nil {
		return others
	}
	return others && s.quantile(0.95) > longRatio*quickest
}

// CountsAsLong reports whether a request of the class that has run for d counts as
// long from now on.
func (c *ClassEstimates) CountsAsLong(name model.Class, d time.Duration) bool {
	s := c.known(name)
	return s != nil && d > agedRatio*s.quantile(0.95)
}

// Quantile returns a quantile of the class's slot times, 0 when unknown.
func (c *ClassEstimates) Quantile(name model.Class, q float64) time.Duration {
	if s := c.byName[name]; s != nil && s.count > 0 {
		return s.quantile(q)
	}
	return 0
}

// Names lists the classes that were seen, in no order.
func (c *ClassEstimates) Names() []model.Class {
	names := make([]model.Class, 0, len(c.byName))
	for n := range c.byName {
		names = append(names, n)
	}
	return names
}

func (c *ClassEstimates) known(name model.Class) *classStats {
	if s := c.byName[name]; s != nil && s.count >= minSamples {
		return s
	}
	return nil
}

const (
	buckets         = 64
	bucketsPerOct   = 2
	firstBucket     = float64(100 * time.Microsecond)
	halveAfter      = 512  // samples; older ones count half from then on
	meanSmoothing   = 0.05 // weight of a new sample in the mean
	bucketGrowthLog = math.Ln2 / bucketsPerOct
)

// classStats is a histogram with buckets that grow by the square root of two,
// from 100 microseconds to about 3 days, with old samples fading.
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
	if s.count%halveAfter == 0 {
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
