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
	// windowLength is the shortest time that Windows looks back; it looks back
	// at most twice as long.
	windowLength = 15 * time.Second
	// maxWindowSeries bounds the memory: two histograms of 11 KB for each.
	maxWindowSeries = 256
	longestRequest  = time.Minute // longer ones are counted as this
	windowDigits    = 2
)

// Recent is what was measured for a class and tenant of a service in the last
// 15 to 30 s.
type RequestStats struct {
	Service, Class, Tenant string
	Requests, Refused      int64
	P50, P99, P999         time.Duration // of requests that were not refused
}

// Windows measures recent requests by class and tenant in an actor.
type RecentRequests struct{ addr actor.Address[windowMessage] }

// windowMessage is an observation, or the question for all series.
type windowMessage struct {
	seen   Observation
	answer *actor.Reply[[]RequestStats]
}

type windowKey struct{ service, class, tenant string }

// windowSeries counts in now; before is the window that ended last.
type windowSeries struct{ now, before windowCount }

type windowCount struct {
	latency           *hdrhistogram.Histogram
	requests, refused int64
}

// StartWindows starts the actor in g.
func StartRecentRequests(g *actor.Group) *RecentRequests {
	return &RecentRequests{actor.Spawn(g, actor.Spec[windowMessage]{Name: "recent requests", Mailbox: observations, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan windowMessage) error {
			all := windowSet{}
			turn := time.NewTicker(windowLength)
			defer turn.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-turn.C:
					all.turn()
				case m := <-in:
					if m.answer != nil {
						m.answer.Put(all.read())
					} else {
						all.add(m.seen)
					}
				}
			}
		}})}
}

// Observe counts a request. It never waits; an observation is dropped when
// the actor is behind.
func (w *RecentRequests) Observe(o Observation) { w.addr.TrySend(windowMessage{seen: o}) }

// Read returns the series, sorted.
func (w *RecentRequests) Read(ctx context.Context) ([]RequestStats, error) {
	return actor.Ask(ctx, w.addr, func(r actor.Reply[[]RequestStats]) windowMessage { return windowMessage{answer: &r} })
}

type windowSet map[windowKey]*windowSeries

func (all windowSet) add(o Observation) {
	k := windowKey{o.Service, o.Class, o.Tenant}
	if all[k] == nil && len(all) >= maxWindowSeries {
		k.tenant = otherTenants
	}
	s := all[k]
	if s == nil {
		s = &windowSeries{now: newWindowCount(), before: newWindowCount()}
		all[k] = s
	}
	s.now.requests++
	if o.Outcome == "not-run" {
		s.now.refused++
		return
	}
	// The value is inside the histogram's range, so recording cannot fail.
	_ = s.now.latency.RecordValue(min(max(o.Duration, time.Microsecond), longestRequest).Microseconds())
}

func newWindowCount() windowCount {
	return windowCount{latency: hdrhistogram.New(1, longestRequest.Microseconds(), windowDigits)}
}

// turn begins a window, and forgets series without requests in the last one.
func (all windowSet) turn() {
	for k, s := range all {
		if s.now.requests == 0 {
			delete(all, k)
			continue
		}
		s.before, s.now = s.now, s.before
		s.now.latency.Reset()
		s.now.requests, s.now.refused = 0, 0
	}
}

func (all windowSet) read() []RequestStats {
	list := make([]RequestStats, 0, len(all))
	for k, s := range all {
		both := newWindowCount().latency
		both.Merge(s.before.latency)
		both.Merge(s.now.latency)
		at := func(q float64) time.Duration { return time.Duration(both.ValueAtQuantile(q)) * time.Microsecond }
		list = append(list, RequestStats{Service: k.service, Class: k.class, Tenant: k.tenant,
			Requests: s.before.requests + s.now.requests, Refused: s.before.refused + s.now.refused,
			P50: at(50), P99: at(99), P999: at(99.9)})
	}
	slices.SortFunc(list, func(a, b RequestStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list
}
