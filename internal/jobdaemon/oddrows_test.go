package jobdaemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a row that ends each entry which becomes the owner: it decodes, but its
// steps name steps that do not exist, or have negative numbers.
func TestRowsOfJobsWithInvalidStepsAreRefused(t *testing.T) {
	const id = "00000000000000a1"
	for name, step := range map[string]workload.Step{
		"unknown step before": {Count: 1, After: []int{7}},
		"negative step":       {Count: 1, After: []int{-1}},
		"negative count":      {Count: -5},
		"count":               {Count: workload.MaxTasks + 1},
		"negative resources":  {Count: 1, Need: workload.Resources{MilliCPU: -1}},
	} {
		raw, err := wire.EncodeJob(&workload.Job{ID: id, Steps: []workload.Step{step}})
		require.NoError(t, err)
		state := &storedState{progress: map[workload.JobID]*workload.Progress{}}
		require.Error(t, state.addRow(table.Row{Key: jobKey(id), Value: raw}), name)
		require.Empty(t, state.jobs)
	}
}
