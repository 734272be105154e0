package measure

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// stockMix consists of short stock checks.
var stockMix = []requestKind{{"GET", "/stock/spool-7", "", 1, 8 * time.Millisecond, 0.5}}

// watchers returns n requests that arrive within one second and run for longer
// than the measurement.
func watchers(n int) []arrival {
	load := make([]arrival, n)
	for i := range load {
		load[i] = arrival{at: time.Duration(i) * time.Second / time.Duration(n), method: "GET", path: "/watch/braid",
			service: 20 * time.Minute}
	}
	return load
}

// stockChecks runs stock checks that need 30% of the slots, together with the
// given watchers, which arrive from 1 s on. It returns the answers to the checks
// after the warm-up and the number of watchers that started.
func stockChecks(t *testing.T, seed uint64, watching []arrival) (checks []answer, watchersStarted int64) {
	c := newCluster(t, wickramasinghe, seed)
	defer c.stop()
	const warmUp, length = 1500 * time.Millisecond, 3 * time.Second
	rate := 0.3 * float64(wickramasinghe.instances*wickramasinghe.slots) / meanOf(stockMix).Seconds()
	load := generate(seed, stockMix, length, func(time.Duration) float64 { return rate })
	all := mergeLoads(load, delayLoad(watching, time.Second))
	answers := c.runLoadFor(all, length+time.Second)
	for _, a := range arrivedIn(answers, warmUp, length) {
		if a.method == "GET" && a.path == stockMix[0].path {
			checks = append(checks, a)
		}
	}
	for _, b := range c.backends {
		watchersStarted += b.longStarted.Load()
	}
	assert.LessOrEqual(t, c.maxRunning(), int64(wickramasinghe.slots))
	return checks, watchersStarted
}

// Guards against short requests that wait behind long ones when the settings
// do not declare the long ones.
func TestMeasureShortBehindLong(t *testing.T) {
	t.Parallel()
	var without, with []answer
	var watchersStarted int64
	slots := wickramasinghe.instances * wickramasinghe.slots
	synctest.Test(t, func(t *testing.T) { without, _ = stockChecks(t, 3, nil) })
	synctest.Test(t, func(t *testing.T) { with, watchersStarted = stockChecks(t, 3, watchers(3*slots)) })
	p99Without, p99With := quantile(without, 0.99, latencyOf), quantile(with, 0.99, latencyOf)
	t.Logf("stock checks p99 %v without watchers, %v beside them (ratio %.3f), served %.4f and %.4f, watchers running %d of %d slots",
		p99Without, p99With, float64(p99With)/float64(p99Without), share(served(without), without), share(served(with), with), watchersStarted, slots)
	assert.LessOrEqual(t, float64(p99With), 1.3*float64(p99Without))
	assert.Equal(t, 1.0, share(served(with), with))
	assert.Positive(t, watchersStarted, "no watcher has started")
}
