package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
)

//go:embed report.html
var reportPage string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"plots": plots, "ms": func(v float64) string { return fmt.Sprintf("%.1f", v) },
}).Parse(reportPage))

// WriteHTML writes a report as one page that needs no other file.
func (r Report) WriteHTML(w io.Writer) error { return pageTemplate.Execute(w, r) }

// Size of a plot and the margins for its labels, in pixels.
const (
	plotWidth, plotHeight   = 460.0, 220.0
	leftMargin, otherMargin = 56.0, 24.0
)

// line is one line of a plot. Its points are pairs of x and y.
type line struct {
	name, colour string
	points       [][2]float64
}

// plot is a diagram of lines with a common horizontal axis.
type plot struct {
	title, unit string
	lines       []line
	xLabel      func(x float64) string // label of a value on the horizontal axis
	logY        bool                   // the vertical axis is logarithmic
}

// plots returns the plots of a class as SVG elements.
func plots(c ClassReport) []template.HTML {
	series := func(value func(Window) float64) (points [][2]float64) {
		for _, w := range c.Windows {
			points = append(points, [2]float64{w.Second, value(w)})
		}
		return points
	}
	var curve [][2]float64
	for _, p := range c.Curve {
		if p.Percentile < 100 {
			curve = append(curve, [2]float64{-math.Log10(1 - p.Percentile/100), p.Ms})
		}
	}
	seconds := func(x float64) string { return fmt.Sprintf("%.0f s", x) }
	return []template.HTML{
		plot{"Latency over time", "ms", []line{
			{"p50", "#1b6ca8", series(func(w Window) float64 { return w.Latency.P50 })},
			{"p99", "#d98b00", series(func(w Window) float64 { return w.Latency.P99 })},
			{"max", "#b3261e", series(func(w Window) float64 { return w.Latency.Max })},
		}, seconds, true}.svg(),
		plot{"Percentiles", "ms", []line{{"latency", "#1b6ca8", curve}},
			func(x float64) string { return fmt.Sprintf("%.4g%%", 100*(1-math.Pow(10, -x))) }, true}.svg(),
		plot{"Requests per window", "", []line{
			{"done", "#2e7d32", series(func(w Window) float64 { return float64(w.Done) })},
			{"refused", "#d98b00", series(func(w Window) float64 { return float64(w.Refused) })},
			{"failed", "#b3261e", series(func(w Window) float64 { return float64(w.Failed) })},
		}, seconds, false}.svg(),
	}
}

// scale returns the largest x and y of the lines, and the smallest positive y.
func (p plot) scale() (maxX, maxY, minY float64) {
	minY = math.Inf(1)
	for _, l := range p.lines {
		for _, pt := range l.points {
			maxX, maxY = max(maxX, pt[0]), max(maxY, pt[1])
			if pt[1] > 0 {
				minY = min(minY, pt[1])
			}
		}
	}
	if maxY == 0 {
		maxY, minY = 1, 0.1
	}
	return max(maxX, 1e-9), maxY, min(minY, maxY/10)
}

// svg returns the plot as an SVG element. It contains only numbers and texts of
// this package, so nothing needs to be escaped.
func (p plot) svg() template.HTML {
	maxX, maxY, minY := p.scale()
	right, bottom := plotWidth-otherMargin, plotHeight-otherMargin
	x := func(v float64) float64 { return leftMargin + v/maxX*(right-leftMargin) }
	y := func(v float64) float64 {
		fraction := v / maxY
		if p.logY {
			fraction = math.Log(max(v, minY)/minY) / math.Log(maxY/minY)
		}
		return bottom - fraction*(bottom-otherMargin)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %.0f %.0f" role="img"><text x="%.0f" y="14" class="title">%s</text>`, plotWidth, plotHeight, leftMargin, p.title)
	for i := range 5 {
		fraction := float64(i) / 4
		v := fraction * maxY
		if p.logY {
			v = minY * math.Pow(maxY/minY, fraction)
		}
		fmt.Fprintf(&b, `<path class="grid" d="M%.1f %.1fH%.1f"/><text x="%.1f" y="%.1f" text-anchor="end">%.3g %s</text>`,
			leftMargin, y(v), right, leftMargin-4, y(v)+4, v, p.unit)
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`, x(fraction*maxX), bottom+16, p.xLabel(fraction*maxX))
	}
	for i, l := range p.lines {
		var points strings.Builder
		for _, pt := range l.points {
			fmt.Fprintf(&points, "%.1f,%.1f ", x(pt[0]), y(pt[1]))
		}
		fmt.Fprintf(&b, `<polyline points="%s" stroke="%s"/><text x="%.1f" y="14" fill="%s">%s</text>`,
			points.String(), l.colour, right-55*float64(len(p.lines)-i)+20, l.colour, l.name)
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}
