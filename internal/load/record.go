package load

import (
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency              = 10 * time.Minute // longer latencies are recorded as this one
	significantDigits       = 3                // of latencies of a class
	windowSignificantDigits = 2                // of latencies of a window
	// maxWindows bounds the points of a plot and the memory for the histograms of
	// the windows, about 25 KB each.
	maxWindows = 300
)

// Report is the result of a run.
type Report struct {
	Target  string        `json:"target"`
	Started time.Time     `json:"started"`
	Seconds float64       `json:"seconds"`
	Seed    uint64        `json:"seed"`
	Classes []ClassReport `json:"classes"`
}

// ClassReport is the result of one class. Latencies are measured from the
// intended start of a request.
type ClassReport struct {
	Class
	Sent       int            `json:"sent"`
	Done       int            `json:"done"`       // status below 400
	Late       int            `json:"late"`       // done, but after the deadline
	Refused    int            `json:"refused"`    // outcome not-run
	Unsent     int            `json:"unsent"`     // no connection was free and the backlog was full
	Unfinished int            `json:"unfinished"` // no response when the run ended
	Statuses   map[string]int `json:"statuses"`
	Outcomes   map[string]int `json:"outcomes"` // header Bambooscale-Outcome, "none" without it
	Errors     map[string]int `json:"errors,omitempty"`
	Latency    Latency        `json:"latency"` // of done requests
	Curve      []Point        `json:"curve"`
	Windows    []Window       `json:"windows"`
}

// Latency summarises a distribution of latencies, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50Ms"`
	P99  float64 `json:"p99Ms"`
	P999 float64 `json:"p999Ms"`
	Max  float64 `json:"maxMs"`
}

// Point is one percentile of a distribution, in milliseconds.
type Point struct {
	Percentile float64 `json:"percentile"`
	Ms         float64 `json:"ms"`
}

// Window is the result of the requests whose intended start is in one window of
// time.
type Window struct {
	Second  float64 `json:"second"` // start of the window, from the start of the run
	Done    int     `json:"done"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Latency Latency `json:"latency"`
}

// sample is the result of one request.
type sample struct {
	intended time.Duration // from the start of the run
	latency  time.Duration // from the intended start
	status   int           // 0: no response
	outcome  string
	failure  string // kind of error if there was no response
}

// recorder collects the samples of a class. One actor owns it.
type recorder struct {
	report      ClassReport
	latency     *hdrhistogram.Histogram
	windowWidth time.Duration
	windows     []window
}

type window struct {
	Window
	latency *hdrhistogram.Histogram
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

func newRecorder(c Class) *recorder {
	return &recorder{
		report:      ClassReport{Class: c, Statuses: map[string]int{}, Outcomes: map[string]int{}, Errors: map[string]int{}},
		windowWidth: max(time.Second, c.duration()/maxWindows), latency: newHistogram(significantDigits),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the range of the histogram.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (r *recorder) add(s sample) {
	w := r.window(s.intended)
	if s.status == 0 {
		r.report.Errors[s.failure]++
		w.Failed++
		return
	}
	outcome := s.outcome
	if outcome == "" {
		outcome = "none"
	}
	r.report.Statuses[strconv.Itoa(s.status)]++
	r.report.Outcomes[outcome]++
	switch {
	case s.status < 400:
		r.report.Done++
		w.Done++
		record(r.latency, s.latency)
		record(w.latency, s.latency)
		if d := r.report.DeadlineMs; d > 0 && s.latency > time.Duration(d)*time.Millisecond {
			r.report.Late++
		}
	case s.outcome == "not-run":
		r.report.Refused++
		w.Refused++
	default:
		w.Failed++
	}
}

// window returns the window of an intended start. It creates missing ones.
func (r *recorder) window(intended time.Duration) *window {
	i := int(intended / r.windowWidth)
	for len(r.windows) <= i {
		start := time.Duration(len(r.windows)) * r.windowWidth
		r.windows = append(r.windows, window{Window{Second: start.Seconds()}, newHistogram(windowSignificantDigits)})
	}
	return &r.windows[i]
}

func summarise(h *hdrhistogram.Histogram) Latency {
	quantile := func(q float64) float64 { return ms(h.ValueAtQuantile(q)) }
	return Latency{P50: quantile(50), P99: quantile(99), P999: quantile(99.9), Max: ms(h.Max())}
}

// ms converts microseconds to milliseconds.
func ms(micros int64) float64 { return float64(micros) / 1000 }

func (r *recorder) finish() ClassReport {
	c := r.report
	c.Latency = summarise(r.latency)
	for _, q := range []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 100} {
		c.Curve = append(c.Curve, Point{q, ms(r.latency.ValueAtQuantile(q))})
	}
	for _, w := range r.windows {
		w.Latency = summarise(w.latency)
		c.Windows = append(c.Windows, w.Window)
	}
	return c
}
