package dispatch

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against more retries than the share of requests that the budget
// allows.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest()
				requests++
			} else if b.TakeRetry() {
				retries++
			}
			assert.LessOrEqual(t, float64(retries), retryShare*float64(requests)+1e-9)
		}
	})
}

// Guards against wrong estimates of the slot times of classes, and against
// estimates that do not follow when the slot times change.
func TestClassLearning(t *testing.T) {
	c := NewClassEstimates()
	assert.False(t, c.IsLong("read"), "nothing is known yet")
	for range minSamples {
		c.AddSample("read", 10*time.Millisecond)
	}
	assert.True(t, c.IsLong("watch"), "unknown beside a known class")
	assert.False(t, c.IsLong("read"))
	for range minSamples {
		c.AddSample("watch", time.Minute)
		c.AddSample("consent", 50*time.Millisecond)
	}
	assert.True(t, c.IsLong("watch"))
	assert.False(t, c.IsLong("consent"))
	assert.True(t, c.CountsAsLong("read", time.Second))
	assert.False(t, c.CountsAsLong("read", 20*time.Millisecond))
	for range 4 * halvingInterval {
		c.AddSample("watch", 10*time.Millisecond)
	}
	assert.False(t, c.IsLong("watch"), "it has become short")
	assert.InDelta(t, float64(10*time.Millisecond), float64(c.Mean("watch")), float64(time.Millisecond))
	c.SetLong("read", true)
	assert.True(t, c.IsLong("read"), "the configuration takes precedence")
}

// Guards against a sole class that counts as long, and so gets only half of
// the slots, because its slot times vary on a busy host.
func TestSoleClassIsNotLong(t *testing.T) {
	c := NewClassEstimates()
	for i := range 100 {
		d := 200 * time.Microsecond
		if i%10 == 0 {
			d = 20 * time.Millisecond
		}
		c.AddSample("default", d)
	}
	assert.False(t, c.IsLong("default"))
}

// Guards against quantiles that differ from the exact ones by more than a
// bucket, which is a factor of the square root of two.
func TestQuantileOfSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.IntRange(1, 100_000), minSamples, 400).Draw(t, "ms")
		c := NewClassEstimates()
		for _, v := range ms {
			c.AddSample("read", time.Duration(v)*time.Millisecond)
		}
		sort.Ints(ms)
		for _, q := range []float64{0.5, 0.95} {
			exact := float64(ms[min(len(ms)-1, max(0, int(q*float64(len(ms)))-1))])
			upper := float64(ms[min(len(ms)-1, int(q*float64(len(ms)))+1)])
			got := c.Quantile("read", q).Seconds() * 1000
			assert.GreaterOrEqual(t, got, exact/1.5, "quantile %v", q)
			assert.LessOrEqual(t, got, upper*1.5, "quantile %v", q)
		}
	})
}

// Guards against the choice of a backend server without a credit, and of one
// that is slower or fails more often than another one.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{
				Credits: rapid.IntRange(0, 3).Draw(t, "credits"), Running: rapid.IntRange(0, 8).Draw(t, "running"), Slots: 8,
				RTT:      time.Duration(rapid.IntRange(0, 5).Draw(t, "rtt")) * time.Millisecond,
				Slowness: rapid.Float64Range(0.5, 4).Draw(t, "slowness"), Failures: rapid.IntRange(0, 20).Draw(t, "failures"),
			}
		})).Draw(t, "candidates")
		i := Choose(candidates, 10*time.Millisecond)
		for otherIndex, other := range candidates {
			if other.Credits == 0 {
				continue
			}
			require.GreaterOrEqual(t, i, 0)
			chosen := candidates[i]
			better := other.RTT <= chosen.RTT && other.Running <= chosen.Running && other.Slowness <= chosen.Slowness && other.Failures < min(chosen.Failures, maxPenalisedFailures)
			assert.False(t, better, "%d %+v is better than %d %+v", otherIndex, other, i, chosen)
		}
		if i >= 0 {
			assert.Positive(t, candidates[i].Credits)
		}
	})
}
