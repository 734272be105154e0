package measure

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// stockMix is short stock checks; watchers run for minutes to hours.
var stockMix = []kind{{"GET", "/stock/spool-7", "", 1, 8 * time.Millisecond, 0.5}}

// watchers arrive in one second and run longer than the measurement.
func watchers(n int) []arrival {
	load := make([]arrival, n)
	for i := range load {
		load[i] = arrival{at: time.Duration(i) * time.Second / time.Duration(n), method: "GET", path: "/watch/braid",
			service: 20 * time.Minute}
	}
	return load
}

// stockChecks runs stock checks at 30% of the slots for some time, after
// the watchers given have arrived, and returns their answers.
func stockChecks(t *testing.T, seed uint64, long []arrival) (checks []answer, started int64) {
	c := newCluster(t, wickramasinghe, seed)
	defer c.stop()
	const warm, length = 2 * time.Second, 4 * time.Second
	rate := 0.3 * float64(wickramasinghe.instances*wickramasinghe.slots) / meanOf(stockMix).Seconds()
	load := generate(seed, stockMix, length, func(time.Duration) float64 { return rate })
	all := merge(load, shift(long, time.Second))
	answers := c.runUntil(all, length+time.Second)
	for _, a := range window(answers, warm, length) {
		if a.method == "GET" && a.path == stockMix[0].path {
			checks = append(checks, a)
		}
	}
	for _, b := range c.backends {
		started += b.longRunning.Load()
	}
	assert.LessOrEqual(t, c.most(), int64(wickramasinghe.slots))
	return checks, started
}

// Guards against stock checks that wait behind watchers which nobody declared
// as long.
func TestMeasureShortBehindLong(t *testing.T) {
	t.Parallel()
	var without, with []answer
	var started int64
	slots := wickramasinghe.instances * wickramasinghe.slots
	synctest.Test(t, func(t *testing.T) { without, _ = stockChecks(t, 3, nil) })
	synctest.Test(t, func(t *testing.T) { with, started = stockChecks(t, 3, watchers(3*slots)) })
	alone, beside := quantile(without, 0.99, took), quantile(with, 0.99, took)
	t.Logf("stock checks p99 %v without watchers, %v beside them (ratio %.3f), served %.4f and %.4f, watchers running %d of %d slots",
		alone, beside, float64(beside)/float64(alone), share(served(without), without), share(served(with), with), started, slots)
	assert.LessOrEqual(t, float64(beside), 1.3*float64(alone))
	assert.Equal(t, 1.0, share(served(with), with))
	assert.Positive(t, started, "watchers make no progress")
}
