package metrics

import (
	"context"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// observations is the capacity of the mailbox between the callers'
// connections and the actor that measures. Above it observations are dropped
// and counted, so that measuring never delays a request.
const observations = 4096

// Observation is the end of one request.
type Observation struct {
	Service, Class, Tenant string
	Outcome                string // a short constant word, such as done, refused or failed
	Duration               time.Duration
}

// StartRequests starts an actor that measures the requests of all services.
// The function that it returns may be called by any goroutine and never waits.
func StartRequests(g *actor.Group, r *Registry) func(Observation) {
	addr := actor.Spawn(g, actor.Spec[Observation]{Name: "request-metrics", Mailbox: observations, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan Observation) error {
			services := map[string]*Requests{}
			for {
				select {
				case <-ctx.Done():
					return nil
				case o := <-in:
					q, ok := services[o.Service]
					if !ok {
						q = NewRequests(r, o.Service)
						services[o.Service] = q
					}
					q.Observe(o.Class, o.Tenant, o.Outcome, o.Duration)
				}
			}
		}})
	dropped := r.Scope("metrics").Counter("dropped_observations")
	return func(o Observation) {
		if !addr.TrySend(o) {
			dropped.Inc(1)
		}
	}
}

// maxTenants bounds the tenants of one service that are measured apart; the
// tenant is a caller's header, so its values are unbounded.
const maxTenants = 200

// otherTenants is the tenant under which the rest is measured.
const otherTenants = "other"

// Requests measures one service's requests by class and tenant. It belongs to
// one actor and is not safe for concurrent use.
type Requests struct {
	scope   tally.Scope
	tenants map[string]bool
	series  map[requestKey]requestSeries
}

type requestKey struct{ class, tenant, outcome string }

type requestSeries struct {
	count   tally.Counter
	latency Latency
}

// NewRequests returns the measurements of a service.
func NewRequests(r *Registry, service string) *Requests {
	return &Requests{
		scope:   r.Scope("request").Tagged(map[string]string{"service": service}),
		tenants: map[string]bool{}, series: map[requestKey]requestSeries{},
	}
}

// Observe records the end of a request. Outcome is a short constant word,
// such as done, refused or failed.
func (q *Requests) Observe(class, tenant, outcome string, took time.Duration) {
	if !q.tenants[tenant] {
		if len(q.tenants) >= maxTenants {
			tenant = otherTenants
		}
		q.tenants[tenant] = true
	}
	k := requestKey{class, tenant, outcome}
	s, ok := q.series[k]
	if !ok {
		scope := q.scope.Tagged(map[string]string{"class": class, "tenant": tenant, "outcome": outcome})
		s = requestSeries{count: scope.Counter("ended"), latency: NewLatency(scope, "seconds")}
		q.series[k] = s
	}
	s.count.Inc(1)
	s.latency.Record(took)
}

// Latency is a histogram of durations with their sum.
type Latency struct {
	histogram tally.Histogram
	sum       tally.Counter
}

// NewLatency returns the histogram with this name in a scope.
func NewLatency(scope tally.Scope, name string) Latency {
	return Latency{scope.Histogram(name, LatencyBuckets), scope.Counter(name + sumSuffix)}
}

// Record adds a duration.
func (l Latency) Record(d time.Duration) {
	l.histogram.RecordDuration(d)
	l.sum.Inc(d.Microseconds())
}
