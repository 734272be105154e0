package control

import (
	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
)

// The compiled charts. Their actions step each other's machines, which the
// compiler rejects as an initialization cycle, so init sets the variables.
var (
	cellChart    *chart.Machine[cellState]
	peerChart    *chart.Machine[peer]
	jobChart     *chart.Machine[job]
	attemptChart *chart.Machine[job]
	// phaseState maps the phase in a job row to the state of the job. A row
	// without a phase was just submitted.
	phaseState = map[model.Phase]chart.State{"": stPending}
)

func init() {
	cellChart = chart.MustCompile(charts.Files, CellBinding())
	peerChart = chart.MustCompile(charts.Files, PeerBinding())
	jobChart = chart.MustCompile(charts.Files, JobBinding())
	attemptChart = chart.MustCompile(charts.Files, AttemptBinding())
	for i, name := range JobBinding().States {
		phaseState[model.Phase(name)] = chart.State(i)
	}
}
