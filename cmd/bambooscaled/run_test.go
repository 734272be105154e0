package main

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// silentWorker does not answer the first Describe call.
type silentWorker struct {
	taskagent.WorkerClient
	calls *int
}

func (w silentWorker) Describe(ctx context.Context) (model.Worker, error) {
	*w.calls++
	if *w.calls == 1 {
		<-ctx.Done()
		return model.Worker{}, ctx.Err()
	}
	return model.Worker{Capacity: model.Resources{CPU: 4000, Memory: 1 << 30}}, nil
}

// Guards against an agent that never starts because the response to its first
// Describe call was lost.
func TestFillCapacityRetriesAfterALostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, w := 0, model.Worker{}
		require.NoError(t, fillCapacity(t.Context(), silentWorker{calls: &calls}, &w))
		require.Equal(t, model.MilliCPU(4000), w.Capacity.CPU)
	})
}
