// Package metrics provides tally scopes to the parts of a daemon, and serves
// their metrics in the Prometheus text format. One actor owns the series; it
// receives the changes that tally reports once a second.
package metrics

import (
	"context"
	"math"
	"net/http"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/bambooscale/bambooscale/internal/actor"
)

const (
	prefix          = "bambooscale"
	separator       = "_"
	reportInterval  = time.Second
	mailboxCapacity = 1024
	// maxSeries bounds the memory to 8 MB: a histogram takes 470 bytes.
	maxSeries = 16384
)

// LatencyBuckets are the histogram buckets for requests that take from less
// than a millisecond to a minute.
var LatencyBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
	5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// Registry holds a daemon's metrics. It may be used by any goroutine.
type Registry struct {
	root tally.Scope
	addr actor.Address[message]
}

// Start returns the registry of a daemon. Its actors run in g.
func Start(g *actor.Group) *Registry {
	r := &seriesStore{families: map[string]*family{}}
	addr := actor.Spawn(g, actor.Spec[message]{Name: "metrics", Mailbox: mailboxCapacity, Restart: actor.OnFailure, Run: r.run})
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Separator: separator, OmitCardinalityMetrics: true,
		Reporter: reporter{ctx: g.Context(), addr: addr},
	}, reportInterval)
	actor.Go(g, "metrics-closer", func(ctx context.Context) error {
		<-ctx.Done()
		return closer.Close()
	})
	return &Registry{root: root, addr: addr}
}

// Scope returns a scope whose metrics are named bambooscale_<name>_<metric>.
// Metrics of durations are in seconds.
func (r *Registry) Scope(name string) tally.Scope { return r.root.SubScope(name) }

// Handler returns a handler that serves the metrics, which are at most a
// second old.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		text, err := actor.Ask(req.Context(), r.addr, func(rep actor.Reply[[]byte]) message { return &renderRequest{rep} })
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = w.Write(text) // a failed write means that the client has gone
	})
}

// message is a message to the actor that owns the series.
type message interface{ handle(r *seriesStore) }

type (
	counterReport struct {
		name  string
		tags  map[string]string
		delta int64
	}
	gaugeReport struct {
		name  string
		tags  map[string]string
		value float64
	}
	histogramReport struct {
		name    string
		tags    map[string]string
		buckets []float64 // upper bounds, the last is +Inf
		upper   float64   // upper bound of the bucket that the samples belong to
		samples int64
	}
	renderRequest struct{ answer actor.Reply[[]byte] }
)

// seriesStore is the state of the actor that owns the series.
type seriesStore struct {
	families    map[string]*family
	seriesCount int
	dropped     int64 // reports for series beyond maxSeries, or of a name with another type
}

func (r *seriesStore) run(ctx context.Context, in <-chan message) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			m.handle(r)
		}
	}
}

// reporter sends the reports of tally to the actor that owns the series. Its
// methods are called by tally's own goroutine, which may wait while the
// mailbox is full.
type reporter struct {
	ctx  context.Context
	addr actor.Address[message]
}

// send drops m when the daemon is stopping, the only case in which Send fails.
func (p reporter) send(m message) { _ = p.addr.Send(p.ctx, m) }

func (p reporter) Capabilities() tally.Capabilities { return p }
func (p reporter) Reporting() bool                  { return true }
func (p reporter) Tagging() bool                    { return true }
func (p reporter) Flush()                           {}

func (p reporter) ReportCounter(name string, tags map[string]string, value int64) {
	p.send(&counterReport{name, tags, value})
}

func (p reporter) ReportGauge(name string, tags map[string]string, value float64) {
	p.send(&gaugeReport{name, tags, value})
}

// ReportTimer records a timer in a histogram, because tally does not
// aggregate timers. It is called by the goroutine that records the timer.
func (p reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	for _, b := range LatencyBuckets {
		if interval <= b {
			p.ReportHistogramDurationSamples(name, tags, LatencyBuckets, 0, b, 1)
			return
		}
	}
	p.ReportHistogramDurationSamples(name, tags, LatencyBuckets, 0, math.MaxInt64, 1)
}

func (p reporter) ReportHistogramValueSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper float64, samples int64) {
	bounds := append([]float64{}, buckets.AsValues()...)
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	p.send(&histogramReport{name, tags, append(bounds, math.Inf(1)), upper, samples})
}

func (p reporter) ReportHistogramDurationSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper time.Duration, samples int64) {
	var bounds []float64
	for _, d := range buckets.AsDurations() {
		bounds = append(bounds, d.Seconds())
	}
	limit := upper.Seconds()
	if upper == math.MaxInt64 {
		limit = math.Inf(1)
	}
	p.send(&histogramReport{name, tags, append(bounds, math.Inf(1)), limit, samples})
}
