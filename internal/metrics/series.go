package metrics

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
)

// kind is the Prometheus type of a family.
type kind string

const (
	counter   kind = "counter"
	gauge     kind = "gauge"
	histogram kind = "histogram"
)

// sumSuffix marks the counter, in microseconds, that accompanies a duration
// histogram: tally reports counts of buckets only, Prometheus wants the sum.
const sumSuffix = "_sum_microseconds"

// family is the series of one name.
type family struct {
	kind   kind
	series map[string]*series // by encoded labels
}

// series is the value of one name and set of labels.
type series struct {
	value  float64
	bounds []float64 // upper bounds of a histogram, the last is +Inf
	counts []int64   // per bucket, not cumulative
}

// at returns the series of a name and tags, or nil when there are too many,
// or the name has another type.
func (r *registry) at(name string, k kind, tags map[string]string) *series {
	f, ok := r.families[name]
	if !ok {
		f = &family{kind: k, series: map[string]*series{}}
		r.families[name] = f
	}
	labels := encodeLabels(tags)
	s, ok := f.series[labels]
	if !ok && r.series < maxSeries && f.kind == k {
		s = &series{}
		f.series[labels] = s
		r.series++
	}
	if s == nil || f.kind != k {
		r.dropped++
		return nil
	}
	return s
}

func (m *counted) handle(r *registry) {
	if s := r.at(m.name, counter, m.tags); s != nil {
		s.value += float64(m.delta)
	}
}

func (m *gauged) handle(r *registry) {
	if s := r.at(m.name, gauge, m.tags); s != nil {
		s.value = m.value
	}
}

func (m *sampled) handle(r *registry) {
	s := r.at(m.name, histogram, m.tags)
	if s == nil {
		return
	}
	if s.bounds == nil {
		s.bounds, s.counts = m.buckets, make([]int64, len(m.buckets))
	}
	s.counts[min(sort.SearchFloat64s(s.bounds, m.upper), len(s.counts)-1)] += m.samples
}

func (m *render) handle(r *registry) { m.answer.Put(r.text()) }

// text returns every series in the Prometheus text format, sorted.
func (r *registry) text() []byte {
	var b strings.Builder
	names := make([]string, 0, len(r.families))
	for name := range r.families {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		f := r.families[name]
		base, isSum := strings.CutSuffix(name, sumSuffix)
		if owner, ok := r.families[base]; isSum && ok && owner.kind == histogram {
			continue // shown with the histogram
		}
		f.write(&b, name, r.families[name+sumSuffix])
	}
	fmt.Fprintf(&b, "# TYPE %s_metrics_dropped_reports_total counter\n%s_metrics_dropped_reports_total %d\n", prefix, prefix, r.dropped)
	return []byte(b.String())
}

func (f *family) write(b *strings.Builder, name string, sums *family) {
	shown := name
	if f.kind == counter && !strings.HasSuffix(name, "_total") {
		shown += "_total"
	}
	fmt.Fprintf(b, "# TYPE %s %s\n", shown, f.kind)
	keys := make([]string, 0, len(f.series))
	for k := range f.series {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, labels := range keys {
		s := f.series[labels]
		if f.kind != histogram {
			fmt.Fprintf(b, "%s%s %s\n", shown, braces(labels, ""), number(s.value))
			continue
		}
		s.writeHistogram(b, name, labels)
		if sums != nil && sums.series[labels] != nil {
			fmt.Fprintf(b, "%s_sum%s %s\n", name, braces(labels, ""), number(sums.series[labels].value/1e6))
		}
	}
}

func (s *series) writeHistogram(b *strings.Builder, name, labels string) {
	var total int64
	for i, bound := range s.bounds {
		total += s.counts[i]
		fmt.Fprintf(b, "%s_bucket%s %d\n", name, braces(labels, `le="`+number(bound)+`"`), total)
	}
	fmt.Fprintf(b, "%s_count%s %d\n", name, braces(labels, ""), total)
}

func braces(labels, extra string) string {
	switch {
	case labels == "" && extra == "":
		return ""
	case labels == "":
		return "{" + extra + "}"
	case extra == "":
		return "{" + labels + "}"
	}
	return "{" + labels + "," + extra + "}"
}

func number(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// encodeLabels returns tags as sorted Prometheus labels without braces.
func encodeLabels(tags map[string]string) string {
	keys := make([]string, 0, len(tags))
	for k := range tags {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = k + `="` + escaper.Replace(strings.ToValidUTF8(tags[k], "\uFFFD")) + `"`
	}
	return strings.Join(parts, ",")
}
