package measure

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// goodput returns the fraction of the slots' time in [from, to) that was spent
// on requests served within their deadline.
func goodput(d deployment, answers []answer, from, to time.Duration) float64 {
	sum := 0.0
	for _, a := range served(answers) {
		if done := a.at + a.latency; done >= from && done < to {
			sum += a.service.Seconds()
		}
	}
	return sum / (float64(d.instances*d.slots) * (to - from).Seconds())
}

// Guards against a goodput below 95% of that of one central queue, and logs
// the goodput of baselines with a queue at each backend server on the same
// input. Above the capacity the slots of a central queue are always busy.
func TestMeasureUtilisation(t *testing.T) {
	for _, level := range []float64{0.9, 1.05, 2} {
		t.Run(fmt.Sprint(level), func(t *testing.T) {
			t.Parallel()
			measureUtilisation(t, level)
		})
	}
}

func measureUtilisation(t *testing.T, level float64) {
	const seed, length, warmUp = 21, 3 * time.Second, 1500 * time.Millisecond
	rate := level * float64(nilegate.instances*nilegate.slots) / meanOf(permitMix).Seconds()
	load := generate(seed, permitMix, length, func(time.Duration) float64 { return rate })
	referenceGoodput := 0.0
	for _, b := range []baseline{randomChoice, roundRobin, leastOutstanding, central} {
		replayed := b.replay(nilegate, load, seed, time.Millisecond)
		referenceGoodput = goodput(nilegate, replayed, warmUp, length) // the last baseline is the central queue
		t.Logf("%-18s goodput %.3f in deadline %.4f p99 %v", b.name, referenceGoodput, share(served(replayed), replayed), quantile(replayed, 0.99, latencyOf))
	}
	if level > 1 {
		referenceGoodput = 1
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nilegate, seed)
		defer c.stop()
		answers := c.runLoad(load)
		reached := goodput(nilegate, answers, warmUp, length)
		t.Logf("%-18s goodput %.3f in deadline %.4f p99 %v", "bambooscale", reached, share(served(answers), answers), quantile(served(answers), 0.99, latencyOf))
		assert.GreaterOrEqual(t, reached, 0.95*referenceGoodput)
		assert.LessOrEqual(t, c.maxRunning(), int64(nilegate.slots))
	})
}

// Guards against a heavy tenant that displaces a light one. At a load of twice
// the capacity the light tenant, which needs a tenth of the capacity, is still
// served.
func TestMeasureFairShare(t *testing.T) {
	t.Parallel()
	mix := []requestKind{{"GET", "/slips/7", "heavy", 0.95, 40 * time.Millisecond, 0.5}, {"GET", "/slips/7", "light", 0.05, 40 * time.Millisecond, 0.5}}
	rate := 2 * float64(nilegate.instances*nilegate.slots) / meanOf(mix).Seconds()
	load := generate(22, mix, 1500*time.Millisecond, func(time.Duration) float64 { return rate })
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nilegate, 22)
		defer c.stop()
		answers := arrivedIn(c.runLoad(load), 500*time.Millisecond, 1500*time.Millisecond)
		byTenant := map[string][]answer{}
		for _, a := range answers {
			byTenant[a.tenant] = append(byTenant[a.tenant], a)
		}
		heavy, light := share(served(byTenant["heavy"]), byTenant["heavy"]), share(served(byTenant["light"]), byTenant["light"])
		t.Logf("served %.3f of %d heavy and %.3f of %d light", heavy, len(byTenant["heavy"]), light, len(byTenant["light"]))
		assert.GreaterOrEqual(t, light, 0.99)
	})
}

// Guards against retries by callers that multiply the load of the backend
// servers. At twice the capacity, each refused request is retried up to 5
// times.
func TestMeasureRetryingCallers(t *testing.T) {
	t.Parallel()
	const seed, length = 23, time.Second
	rate := 2 * float64(nilegate.instances*nilegate.slots) / meanOf(permitMix).Seconds()
	load := generate(seed, permitMix, length, func(time.Duration) float64 { return rate })
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nilegate, seed)
		defer c.stop()
		tries, g := make([]int, len(load)), actor.NewGroup(t.Context(), nil)
		answers := make([]answer, len(load))
		start := time.Now()
		for i, a := range load {
			time.Sleep(a.at - time.Since(start))
			actor.Go(g, "caller", func(ctx context.Context) error {
				for tries[i] < 6 && answers[i].status != http.StatusOK {
					if tries[i] > 0 {
						actor.Sleep(ctx, 100*time.Millisecond)
					}
					tries[i]++
					answers[i] = c.request(ctx, c.entries[i%len(c.entries)].Get(), a)
				}
				return nil
			})
		}
		g.Wait()
		total, runs := 0, int64(0)
		for _, n := range tries {
			total += n
		}
		for _, b := range c.backends {
			runs += b.started.Load()
		}
		ok := len(served(answers))
		t.Logf("%d requests, %d tries, %d runs, %d served", len(load), total, runs, ok)
		// The retry budget limits retries by the system itself to 10%.
		assert.LessOrEqual(t, float64(runs), 1.1*float64(ok))
		assert.LessOrEqual(t, c.maxRunning(), int64(nilegate.slots))
	})
}
