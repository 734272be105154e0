package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// scrape returns the metrics after tally's next report, in virtual time.
func scrape(t *testing.T, r *Registry) string {
	actor.Sleep(t.Context(), 2*reportInterval)
	synctest.Wait()
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil).WithContext(t.Context()))
	require.Equal(t, 200, w.Code)
	return w.Body.String()
}

func withRegistry(t *testing.T, run func(t *testing.T, g *actor.Group, r *Registry)) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), func(e actor.Exit) { t.Error(e.Err) })
		r := Start(g)
		run(t, g, r)
		g.Stop()
	})
}

// Guards against buckets that are not cumulative, a missing sum or count, and
// values that are counted again at each scrape.
func TestPrometheusText(t *testing.T) {
	withRegistry(t, func(t *testing.T, g *actor.Group, r *Registry) {
		observe := StartRequests(g, r)
		for _, duration := range []time.Duration{3 * time.Millisecond, 700 * time.Millisecond, time.Hour} {
			observe(Observation{"wick-orders", "stock", `a"b`, "done", duration})
		}
		r.Scope("link").Gauge("peers").Update(3)
		r.Scope("link").Timer("round_trip_seconds").Record(time.Millisecond)
		scrape(t, r)
		text := scrape(t, r)
		labels := `class="stock",outcome="done",service="wick-orders",tenant="a\"b"`
		for _, want := range []string{
			"# TYPE bambooscale_request_seconds histogram\n",
			`bambooscale_request_seconds_bucket{` + labels + `,le="0.002"} 0`,
			`bambooscale_request_seconds_bucket{` + labels + `,le="0.005"} 1`,
			`bambooscale_request_seconds_bucket{` + labels + `,le="1"} 2`,
			`bambooscale_request_seconds_bucket{` + labels + `,le="60"} 2`,
			`bambooscale_request_seconds_bucket{` + labels + `,le="+Inf"} 3`,
			`bambooscale_request_seconds_count{` + labels + `} 3`,
			`bambooscale_request_seconds_sum{` + labels + `} 3600.703`,
			`bambooscale_request_ended_total{` + labels + `} 3`,
			"# TYPE bambooscale_link_peers gauge\nbambooscale_link_peers 3\n",
			`bambooscale_link_round_trip_seconds_bucket{le="0.001"} 1`,
		} {
			require.Contains(t, text, want)
		}
		require.NotContains(t, text, sumSuffix)
	})
}

// Guards against a caller that exhausts the memory by sending many tenant names.
func TestTenantsAreBounded(t *testing.T) {
	withRegistry(t, func(t *testing.T, g *actor.Group, r *Registry) {
		requests := NewRequests(r, "s")
		for i := range 5 * maxTenants {
			requests.Observe("c", fmt.Sprint("tenant-", i), "done", time.Millisecond)
		}
		text := scrape(t, r)
		require.LessOrEqual(t, strings.Count(text, "bambooscale_request_seconds_count{"), maxTenants+1)
		require.Contains(t, text, `tenant="other"} `+fmt.Sprint(4*maxTenants))
	})
}

// Guards against latencies that include refused requests, an unbounded number
// of tenants, and requests that stay in the figures after two windows.
func TestRecentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		w := StartRecentRequests(g)
		for range 98 {
			w.Observe(Observation{"s", "c", "t", "done", 10 * time.Millisecond})
		}
		w.Observe(Observation{"s", "c", "t", "done", time.Second})
		w.Observe(Observation{"s", "c", "t", "not-run", time.Microsecond})
		list, err := w.Read(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		require.EqualValues(t, 100, list[0].Requests)
		require.EqualValues(t, 1, list[0].Refused)
		require.InDelta(t, 10, list[0].P50.Milliseconds(), 1)
		require.InDelta(t, 1000, list[0].P999.Milliseconds(), 20)
		for i := range 2 * maxWindowSeries {
			w.Observe(Observation{"s", "c", fmt.Sprint(i), "done", time.Millisecond})
			synctest.Wait()
		}
		list, err = w.Read(t.Context())
		require.NoError(t, err)
		require.LessOrEqual(t, len(list), maxWindowSeries+1)
		actor.Sleep(t.Context(), 3*windowLength)
		list, err = w.Read(t.Context())
		require.NoError(t, err)
		require.Empty(t, list)
	})
}
