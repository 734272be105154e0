package jobdaemon

import (
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a data race, and against a transaction that a peer commits with
// the check of a later attempt: the first attempt is still queued for a peer when
// the writer repeats it with the newer version of the owner's row.
func TestRepeatedBatchDoesNotChangeTheFormerAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		c := &controller{
			group: g, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, jobs: jobs.New(1, 0),
			storeProxy: &storeProxy{store: &unavailableTable{}, commitViaPeer: noPeer},
			writer:     writer{owner: workload.Owner{Name: "a", Epoch: 1}, version: 7},
		}
		queued := table.Txn{Checks: []table.Check{{Key: ownerKey, Version: 5}}}
		c.batchStored(&batchStored{epoch: 1, result: commitResult{outcome: table.Unknown}, txn: queued})
		require.EqualValues(t, 5, queued.Checks[0].Version)
	})
}
