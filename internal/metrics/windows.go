package metrics

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bambooscale/bambooscale/internal/actor"
)

const (
	// windowLength is the length of a window. RequestStats cover the current
	// window and the previous one.
	windowLength = 15 * time.Second
	// maxWindowSeries bounds the memory: each has two histograms of 11 KB.
	maxWindowSeries   = 256
	maxLatency        = time.Minute // longer requests are recorded with this latency
	significantDigits = 2
)

// RequestStats summarises the requests of a class and tenant of a service in
// the last 15 to 30 s.
type RequestStats struct {
	Service, Class, Tenant string
	Requests, Refused      int64
	P50, P99, P999         time.Duration // of requests that were not refused
}

// RecentRequests is the handle of an actor that records recent requests by
// service, class and tenant. Any goroutine may use it.
type RecentRequests struct{ addr actor.Address[windowMessage] }

// windowMessage is an observation, or a request for all statistics if reply is
// set.
type windowMessage struct {
	observation Observation
	reply       *actor.Reply[[]RequestStats]
}

type windowKey struct{ service, class, tenant string }

// windowSeries holds the current window and the one before it.
type windowSeries struct{ current, previous windowCount }

// windowCount counts the requests of one window. latency is in microseconds and
// excludes refused requests.
type windowCount struct {
	latency           *hdrhistogram.Histogram
	requests, refused int64
}

// StartRecentRequests starts the actor in g.
func StartRecentRequests(g *actor.Group) *RecentRequests {
	return &RecentRequests{actor.Spawn(g, actor.Spec[windowMessage]{Name: "recent requests", Mailbox: maxPendingObservations, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan windowMessage) error {
			windows := windowSet{}
			ticker := time.NewTicker(windowLength)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-ticker.C:
					windows.rotate()
				case m := <-in:
					if m.reply != nil {
						m.reply.Put(windows.read())
					} else {
						windows.add(m.observation)
					}
				}
			}
		}})}
}

// Observe records a request. It never blocks; an observation is dropped if the
// mailbox is full.
func (w *RecentRequests) Observe(o Observation) { w.addr.TrySend(windowMessage{observation: o}) }

// Read returns the statistics, sorted by service, class and tenant.
func (w *RecentRequests) Read(ctx context.Context) ([]RequestStats, error) {
	return actor.Ask(ctx, w.addr, func(r actor.Reply[[]RequestStats]) windowMessage { return windowMessage{reply: &r} })
}

type windowSet map[windowKey]*windowSeries

// add records a request. Beyond maxWindowSeries series, a request that would
// need another one is counted under overflowTenant.
func (w windowSet) add(o Observation) {
	k := windowKey{o.Service, o.Class, o.Tenant}
	if w[k] == nil && len(w) >= maxWindowSeries {
		k.tenant = overflowTenant
	}
	s := w[k]
	if s == nil {
		s = &windowSeries{current: newWindowCount(), previous: newWindowCount()}
		w[k] = s
	}
	s.current.requests++
	if o.Outcome == "not-run" {
		s.current.refused++
		return
	}
	// The value is inside the histogram's range, so recording cannot fail.
	_ = s.current.latency.RecordValue(min(max(o.Duration, time.Microsecond), maxLatency).Microseconds())
}

func newWindowCount() windowCount {
	return windowCount{latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// rotate starts a new window and removes the series without requests in the
// one that ended.
func (w windowSet) rotate() {
	for k, s := range w {
		if s.current.requests == 0 {
			delete(w, k)
			continue
		}
		s.previous, s.current = s.current, s.previous
		s.current.latency.Reset()
		s.current.requests, s.current.refused = 0, 0
	}
}

func (w windowSet) read() []RequestStats {
	list := make([]RequestStats, 0, len(w))
	for k, s := range w {
		merged := newWindowCount().latency
		merged.Merge(s.previous.latency)
		merged.Merge(s.current.latency)
		percentile := func(p float64) time.Duration { return time.Duration(merged.ValueAtQuantile(p)) * time.Microsecond }
		list = append(list, RequestStats{Service: k.service, Class: k.class, Tenant: k.tenant,
			Requests: s.previous.requests + s.current.requests, Refused: s.previous.refused + s.current.refused,
			P50: percentile(50), P99: percentile(99), P999: percentile(99.9)})
	}
	slices.SortFunc(list, func(a, b RequestStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list
}
