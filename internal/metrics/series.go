package metrics

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
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

// sumSuffix ends the name of the counter, in microseconds, that accompanies a
// duration histogram: Prometheus expects the sum of the durations, and tally
// reports the counts of the buckets only.
const sumSuffix = "_sum_microseconds"

// family holds the series of one metric name.
type family struct {
	kind   kind
	series map[string]*series // by encoded labels
}

// series holds the value for one metric name and set of labels.
type series struct {
	value  float64
	bounds []float64 // upper bounds of a histogram, the last is +Inf
	counts []int64   // per bucket, not cumulative
}

// seriesFor returns the series of a name and tags, which it creates if needed.
// It counts a dropped report and returns nil if there are too many series or
// the name has another type.
func (r *seriesStore) seriesFor(name string, k kind, tags map[string]string) *series {
	f, ok := r.families[name]
	if !ok {
		f = &family{kind: k, series: map[string]*series{}}
		r.families[name] = f
	}
	labels := encodeLabels(tags)
	s, ok := f.series[labels]
	if !ok && r.seriesCount < maxSeries && f.kind == k {
		s = &series{}
		f.series[labels] = s
		r.seriesCount++
	}
	if s == nil || f.kind != k {
		r.dropped++
		return nil
	}
	return s
}

func (m *counterReport) handle(r *seriesStore) {
	if s := r.seriesFor(m.name, counter, m.tags); s != nil {
		s.value += float64(m.delta)
	}
}

func (m *gaugeReport) handle(r *seriesStore) {
	if s := r.seriesFor(m.name, gauge, m.tags); s != nil {
		s.value = m.value
	}
}

func (m *histogramReport) handle(r *seriesStore) {
	s := r.seriesFor(m.name, histogram, m.tags)
	if s == nil {
		return
	}
	if s.bounds == nil {
		s.bounds, s.counts = m.buckets, make([]int64, len(m.buckets))
	}
	s.counts[min(sort.SearchFloat64s(s.bounds, m.upper), len(s.counts)-1)] += m.samples
}

func (m *renderRequest) handle(r *seriesStore) { m.answer.Put(r.text()) }

// kindOrder is the order of the kinds in the text. The buckets of histograms come last,
// so that a reader who keeps only the first part of an answer has the state.
var kindOrder = map[kind]int{gauge: 0, counter: 1, histogram: 2}

// names returns the names of the families by kind, sorted within each.
func (r *seriesStore) names() []string {
	return slices.SortedFunc(maps.Keys(r.families), func(a, b string) int {
		return cmp.Or(cmp.Compare(kindOrder[r.families[a].kind], kindOrder[r.families[b].kind]), cmp.Compare(a, b))
	})
}

// text returns every series in the Prometheus text format, sorted by kind and name.
func (r *seriesStore) text() []byte {
	var b strings.Builder
	for _, name := range r.names() {
		f := r.families[name]
		base, isSum := strings.CutSuffix(name, sumSuffix)
		if baseFamily, ok := r.families[base]; isSum && ok && baseFamily.kind == histogram {
			continue // written with the histogram
		}
		f.write(&b, name, r.families[name+sumSuffix])
	}
	fmt.Fprintf(&b, "# TYPE %s_metrics_dropped_reports_total counter\n%s_metrics_dropped_reports_total %d\n", prefix, prefix, r.dropped)
	return []byte(b.String())
}

func (f *family) write(b *strings.Builder, name string, sumFamily *family) {
	exposedName := name
	if f.kind == counter && !strings.HasSuffix(name, "_total") {
		exposedName += "_total"
	}
	fmt.Fprintf(b, "# TYPE %s %s\n", exposedName, f.kind)
	keys := make([]string, 0, len(f.series))
	for k := range f.series {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, labels := range keys {
		s := f.series[labels]
		if f.kind != histogram {
			fmt.Fprintf(b, "%s%s %s\n", exposedName, formatLabels(labels, ""), formatFloat(s.value))
			continue
		}
		s.writeHistogram(b, name, labels)
		if sumFamily != nil && sumFamily.series[labels] != nil {
			fmt.Fprintf(b, "%s_sum%s %s\n", name, formatLabels(labels, ""), formatFloat(sumFamily.series[labels].value/1e6))
		}
	}
}

func (s *series) writeHistogram(b *strings.Builder, name, labels string) {
	var total int64
	for i, bound := range s.bounds {
		total += s.counts[i]
		fmt.Fprintf(b, "%s_bucket%s %d\n", name, formatLabels(labels, `le="`+formatFloat(bound)+`"`), total)
	}
	fmt.Fprintf(b, "%s_count%s %d\n", name, formatLabels(labels, ""), total)
}

func formatLabels(labels, extra string) string {
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

func formatFloat(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// encodeLabels returns tags as sorted Prometheus labels without braces.
func encodeLabels(tags map[string]string) string {
	keys := make([]string, 0, len(tags))
	for k := range tags {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = k + `="` + labelEscaper.Replace(strings.ToValidUTF8(tags[k], "\uFFFD")) + `"`
	}
	return strings.Join(parts, ",")
}
