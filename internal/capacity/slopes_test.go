package capacity

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	slopesFile = "slopes.json"
	// significantDigits is the number of recorded significant digits of a figure.
	significantDigits = 4
)

var record = flag.Bool("record", false, "write the measured slopes to "+slopesFile)

// slope is a measured quantity y with its linear fit over x.
type slope struct {
	Per     string       `json:"per"`     // unit of x
	Unit    string       `json:"unit"`    // unit of y
	Command string       `json:"command"` // measures the quantity again
	Points  [][2]float64 `json:"points"`  // x and y
	Slope   float64      `json:"slope"`   // units of y for each unit of x
	Base    float64      `json:"base"`    // y at x = 0
	Error   float64      `json:"error"`   // standard error of the slope
}

// at returns the fitted value at x.
func (s slope) at(x float64) float64 { return s.Base + s.Slope*x }

// measured returns the measured value at x, for a quantity that is not linear. It
// panics if no point has this x.
func (s slope) measured(x float64) float64 {
	for _, p := range s.Points {
		if p[0] == x {
			return p[1]
		}
	}
	panic(fmt.Sprintf("no point at %g %s", x, s.Per))
}

// fit computes the least-squares line through the points and the standard error of
// its slope. It needs three points.
func (s *slope) fit() {
	n := float64(len(s.Points))
	var meanX, meanY, sumXX, sumXY, residualSum float64
	for _, p := range s.Points {
		meanX += p[0] / n
		meanY += p[1] / n
	}
	for _, p := range s.Points {
		sumXX += (p[0] - meanX) * (p[0] - meanX)
		sumXY += (p[0] - meanX) * (p[1] - meanY)
	}
	s.Slope = roundSignificant(sumXY / sumXX)
	s.Base = roundSignificant(meanY - sumXY/sumXX*meanX)
	for _, p := range s.Points {
		residual := p[1] - meanY - sumXY/sumXX*(p[0]-meanX)
		residualSum += residual * residual
	}
	s.Error = roundSignificant(math.Sqrt(residualSum / (n - 2) / sumXX))
}

// roundSignificant rounds to significantDigits.
func roundSignificant(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, significantDigits-math.Ceil(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// loadSlopes returns the recorded quantities, by name.
func loadSlopes(tb testing.TB) map[string]slope {
	raw, err := os.ReadFile(slopesFile)
	require.NoError(tb, err)
	slopes := map[string]slope{}
	require.NoError(tb, json.Unmarshal(raw, &slopes))
	return slopes
}

// series collects the points of quantities that are measured in the same runs.
type series struct {
	per, command string
	quantities   map[string]*slope
}

// newSeries returns a series that a benchmark measures; per is the unit of x.
func newSeries(per, bench string) *series {
	return &series{per: per, quantities: map[string]*slope{},
		command: "go test -run '^$' -bench '^" + bench + "$' -benchtime 1x ./internal/capacity -record"}
}

// newTestSeries returns a series that a test measures: testing/synctest, which
// provides virtual time, is available to tests only.
func newTestSeries(per, test string) *series {
	s := newSeries(per, "")
	s.command = "go test -count=1 -run '^" + test + "$' ./internal/capacity -record"
	return s
}

// add adds a point to a quantity.
func (s *series) add(name, unit string, x, y float64) {
	quantity := s.quantities[name]
	if quantity == nil {
		quantity = &slope{Per: s.per, Unit: unit, Command: s.command}
		s.quantities[name] = quantity
	}
	quantity.Points = append(quantity.Points, [2]float64{x, roundSignificant(y)})
}

// finish fits the quantities, logs them and, with -record, writes them to
// slopesFile.
func (s *series) finish(b testing.TB) {
	for name, quantity := range s.quantities {
		quantity.fit()
		b.Logf("%s: %v + %v per %s, error %v %s, points %v", name, quantity.Base, quantity.Slope, quantity.Per, quantity.Error, quantity.Unit, quantity.Points)
	}
	if !*record || b.Failed() {
		return
	}
	slopes := loadSlopes(b)
	for name, quantity := range s.quantities {
		slopes[name] = *quantity
	}
	raw, err := json.MarshalIndent(slopes, "", " ")
	require.NoError(b, err)
	require.NoError(b, os.WriteFile(slopesFile, append(raw, '\n'), 0o644))
}

// Guards against a recorded fit that was edited by hand, or that has too few points
// for a standard error.
func TestRecordedFitsFollowFromTheirPoints(t *testing.T) {
	for name, s := range loadSlopes(t) {
		recomputed := s
		recomputed.fit()
		require.GreaterOrEqual(t, len(s.Points), 3, name)
		require.Equal(t, recomputed, s, name)
	}
}
