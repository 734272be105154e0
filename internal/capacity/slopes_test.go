package capacity

import (
	"encoding/json"
	"flag"
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	slopesFile = "slopes.json"
	// significant is the number of digits that are recorded of a figure.
	significant = 4
)

var record = flag.Bool("record", false, "write the measured slopes to "+slopesFile)

// slope is a measured quantity with its linear fit.
type slope struct {
	Per     string       `json:"per"`  // unit of x
	Unit    string       `json:"unit"` // unit of y
	Command string       `json:"command"`
	Points  [][2]float64 `json:"points"`
	Slope   float64      `json:"slope"`
	Base    float64      `json:"base"`  // y at x = 0
	Error   float64      `json:"error"` // standard error of the slope
}

// at returns the fitted value.
func (s slope) at(x float64) float64 { return s.Base + s.Slope*x }

// fit computes the least-squares line through the points.
func (s *slope) fit() {
	n := float64(len(s.Points))
	var mx, my, sxx, sxy, rest float64
	for _, p := range s.Points {
		mx += p[0] / n
		my += p[1] / n
	}
	for _, p := range s.Points {
		sxx += (p[0] - mx) * (p[0] - mx)
		sxy += (p[0] - mx) * (p[1] - my)
	}
	s.Slope = rounded(sxy / sxx)
	s.Base = rounded(my - sxy/sxx*mx)
	for _, p := range s.Points {
		d := p[1] - my - sxy/sxx*(p[0]-mx)
		rest += d * d
	}
	s.Error = rounded(math.Sqrt(rest / (n - 2) / sxx))
}

func rounded(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, significant-math.Ceil(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

func loadSlopes(tb testing.TB) map[string]slope {
	raw, err := os.ReadFile(slopesFile)
	require.NoError(tb, err)
	all := map[string]slope{}
	require.NoError(tb, json.Unmarshal(raw, &all))
	return all
}

// series collects the points of quantities that share their runs.
type series struct {
	per, command string
	quantities   map[string]*slope
}

func newSeries(per, bench string) *series {
	return &series{per: per, quantities: map[string]*slope{},
		command: "go test -run '^$' -bench '^" + bench + "$' -benchtime 1x ./internal/capacity -record"}
}

// newTestSeries is for measurements in virtual time, which only tests can make.
func newTestSeries(per, test string) *series {
	s := newSeries(per, "")
	s.command = "go test -count=1 -run '^" + test + "$' ./internal/capacity -record"
	return s
}

func (s *series) add(name, unit string, x, y float64) {
	q := s.quantities[name]
	if q == nil {
		q = &slope{Per: s.per, Unit: unit, Command: s.command}
		s.quantities[name] = q
	}
	q.Points = append(q.Points, [2]float64{x, rounded(y)})
}

// finish fits the quantities, reports them and records them if asked to.
func (s *series) finish(b testing.TB) {
	for name, q := range s.quantities {
		q.fit()
		b.Logf("%s: %v + %v per %s, error %v %s, points %v", name, q.Base, q.Slope, q.Per, q.Error, q.Unit, q.Points)
	}
	if !*record {
		return
	}
	all := loadSlopes(b)
	for name, q := range s.quantities {
		all[name] = *q
	}
	raw, err := json.MarshalIndent(all, "", " ")
	require.NoError(b, err)
	require.NoError(b, os.WriteFile(slopesFile, append(raw, '\n'), 0o644))
}

// Guards against a fit that was edited by hand, or has too few points for an
// error.
func TestRecordedFitsFollowFromTheirPoints(t *testing.T) {
	for name, s := range loadSlopes(t) {
		again := s
		again.fit()
		require.GreaterOrEqual(t, len(s.Points), 3, name)
		require.Equal(t, again, s, name)
	}
}
