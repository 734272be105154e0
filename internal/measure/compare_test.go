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

// goodput is the share of the slots' time in [from, to) that served answers
// within their deadline took.
func goodput(d deployment, answers []answer, from, to time.Duration) float64 {
	sum := 0.0
	for _, a := range served(answers) {
		if done := a.at + a.took; done >= from && done < to {
			sum += a.service.Seconds()
		}
	}
	return sum / (float64(d.instances*d.slots) * (to - from).Seconds())
}

// Guards against a utilisation below 95% of one central queue, and shows what
// queues at the backend servers reach on the same input. Above the capacity
// the slots of a central queue are always busy.
func TestMeasureUtilisation(t *testing.T) {
	for _, level := range []float64{0.9, 1.05, 2} {
		t.Run(fmt.Sprint(level), func(t *testing.T) {
			t.Parallel()
			measureUtilisation(t, level)
		})
	}
}

func measureUtilisation(t *testing.T, level float64) {
	const seed, length, warm = 21, 3 * time.Second, 1500 * time.Millisecond
	rate := level * float64(nilegate.instances*nilegate.slots) / meanOf(permitMix).Seconds()
	load := generate(seed, permitMix, length, func(time.Duration) float64 { return rate })
	bound := 0.0
	for _, b := range []baseline{randomChoice, roundRobin, leastOutstanding, central} {
		got := b.replay(nilegate, load, seed, time.Millisecond)
		bound = goodput(nilegate, got, warm, length) // of the last one, the central queue
		t.Logf("%-18s goodput %.3f in deadline %.4f p99 %v", b.name, bound, share(served(got), got), quantile(got, 0.99, took))
	}
	if level > 1 {
		bound = 1
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nilegate, seed)
		defer c.stop()
		ours := c.run(load)
		mine := goodput(nilegate, ours, warm, length)
		t.Logf("%-18s goodput %.3f in deadline %.4f p99 %v", "bambooscale", mine, share(served(ours), ours), quantile(served(ours), 0.99, took))
		assert.GreaterOrEqual(t, mine, 0.95*bound)
		assert.LessOrEqual(t, c.most(), int64(nilegate.slots))
	})
}

// Guards against a heavy tenant that takes the slots of a light one: at twice
// the capacity the light tenant, which asks for a tenth, is served in full.
func TestMeasureFairShare(t *testing.T) {
	t.Parallel()
	mix := []kind{{"GET", "/slips/7", "heavy", 0.95, 40 * time.Millisecond, 0.5}, {"GET", "/slips/7", "light", 0.05, 40 * time.Millisecond, 0.5}}
	rate := 2 * float64(nilegate.instances*nilegate.slots) / meanOf(mix).Seconds()
	load := generate(22, mix, 1500*time.Millisecond, func(time.Duration) float64 { return rate })
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nilegate, 22)
		defer c.stop()
		answers := window(c.run(load), 500*time.Millisecond, 1500*time.Millisecond)
		by := map[string][]answer{}
		for _, a := range answers {
			by[a.tenant] = append(by[a.tenant], a)
		}
		heavy, light := share(served(by["heavy"]), by["heavy"]), share(served(by["light"]), by["light"])
		t.Logf("served %.3f of %d heavy and %.3f of %d light", heavy, len(by["heavy"]), light, len(by["light"]))
		assert.GreaterOrEqual(t, light, 0.99)
	})
}

// Guards against retries that reach backend servers more often than requests:
// callers at twice the capacity repeat each refused request up to 5 times.
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
		total, ran := 0, int64(0)
		for _, n := range tries {
			total += n
		}
		for _, b := range c.backends {
			ran += b.ran.Load()
		}
		ok := len(served(answers))
		t.Logf("%d requests, %d tries, %d runs, %d served", len(load), total, ran, ok)
		// The retry budget bounds what the system itself adds to 10%.
		assert.LessOrEqual(t, float64(ran), 1.1*float64(ok))
		assert.LessOrEqual(t, c.most(), int64(nilegate.slots))
	})
}
