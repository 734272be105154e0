package metrics

import (
	"context"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// maxPendingObservations is the capacity of the mailboxes of the actors that
// record observations. Further observations are dropped, so that recording
// never delays a request.
const maxPendingObservations = 4096

// Observation describes a request that has ended.
type Observation struct {
	Service, Class, Tenant string
	Outcome                string // one of a few constant words; not-run: the request was refused
	Duration               time.Duration
}

// StartRequests starts an actor that records the requests of all services. The
// function that it returns may be called by any goroutine and never blocks;
// observations that it drops are counted.
func StartRequests(g *actor.Group, r *Registry) func(Observation) {
	addr := actor.Spawn(g, actor.Spec[Observation]{Name: "request-metrics", Mailbox: maxPendingObservations, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan Observation) error {
			services := map[string]*Requests{}
			for {
				select {
				case <-ctx.Done():
					return nil
				case o := <-in:
					requests, ok := services[o.Service]
					if !ok {
						requests = NewRequests(r, o.Service)
						services[o.Service] = requests
					}
					requests.Observe(o.Class, o.Tenant, o.Outcome, o.Duration)
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

// maxTenants is the number of tenants of a service that have series of their
// own. The tenant comes from a header of the caller, so its values are
// unbounded.
const maxTenants = 200

// overflowTenant is the tenant under which all further tenants are counted.
const overflowTenant = "other"

// Requests records the requests of one service by class, tenant and outcome.
// It belongs to one actor and is not safe for concurrent use.
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

// NewRequests returns the Requests of a service, with their metrics in r.
func NewRequests(r *Registry, service string) *Requests {
	return &Requests{
		scope:   r.Scope("request").Tagged(map[string]string{"service": service}),
		tenants: map[string]bool{}, series: map[requestKey]requestSeries{},
	}
}

// Observe records the end of a request. outcome is one of a few constant words,
// because each value has series of its own.
func (r *Requests) Observe(class, tenant, outcome string, duration time.Duration) {
	if !r.tenants[tenant] {
		if len(r.tenants) >= maxTenants {
			tenant = overflowTenant
		}
		r.tenants[tenant] = true
	}
	k := requestKey{class, tenant, outcome}
	s, ok := r.series[k]
	if !ok {
		scope := r.scope.Tagged(map[string]string{"class": class, "tenant": tenant, "outcome": outcome})
		s = requestSeries{count: scope.Counter("ended"), latency: NewLatency(scope, "seconds")}
		r.series[k] = s
	}
	s.count.Inc(1)
	s.latency.Record(duration)
}

// Latency is a histogram of durations and their sum.
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
