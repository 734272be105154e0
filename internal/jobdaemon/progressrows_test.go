package jobdaemon

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against attempts of a large job that a new owner does not read back: its tasks
// would get more failed runs than allowed and lose their checkpoints. The rows are read
// in any order.
func TestRowsOfAttemptsAreReadBack(t *testing.T) {
	c := &controller{writer: writer{owner: workload.Owner{Name: "a", Epoch: 1}, version: 1}}
	const id = workload.JobID("00000000000000c0")
	attempts := func(step, index int) workload.TaskAttempts {
		return workload.TaskAttempts{Step: step, Index: index, Failed: 1, LastFailed: 7, Checkpoint: "00000bb87a21d94b"}
	}
	progress := workload.Progress{Phase: workload.Running, Done: []byte{1, 2, 3}}
	batch := &jobs.Batch{Writes: []jobs.Write{{Job: id, Progress: progress, Parts: []jobs.AttemptsPart{
		{Number: 0, Attempts: []workload.TaskAttempts{attempts(0, 1), attempts(0, 2)}},
		{Number: 11, Attempts: []workload.TaskAttempts{attempts(1, 9)}},
	}}}}
	txn, err := c.batchTxn(c.writer.owner, batch)
	require.NoError(t, err)
	require.Len(t, txn.Puts, 4)
	for first := range txn.Puts {
		state := &storedState{progress: map[workload.JobID]*workload.Progress{}}
		for i := range txn.Puts {
			put := txn.Puts[(first+i)%len(txn.Puts)]
			if put.Key != ownerKey {
				require.NoError(t, state.addRow(table.Row{Key: put.Key, Value: put.Value}))
			}
		}
		require.Len(t, state.progress, 1)
		read := state.progress[id]
		require.Equal(t, progress.Phase, read.Phase)
		require.Equal(t, progress.Done, read.Done)
		require.ElementsMatch(t, []workload.TaskAttempts{attempts(0, 1), attempts(0, 2), attempts(1, 9)}, read.Attempts)
	}
}

// Guards against an estimate of the size of a row that is below its encoding: the
// bounds of the batches would not hold.
func TestEncodedAttemptsAreNotLargerThanEstimated(t *testing.T) {
	const tasks, estimate = 256, 42 + 8*8
	var numbers []uint64
	for n := range uint64(8) {
		numbers = append(numbers, 1<<50+n)
	}
	var list []workload.TaskAttempts
	for i := range tasks {
		list = append(list, workload.TaskAttempts{Step: 1000, Index: workload.MaxTasks - i, Failed: 1000, LastFailed: 1 << 50, FailedRuns: numbers, Crashes: 5, CrashesAlone: 5, CrashAge: 1 << 40})
	}
	raw, err := wire.EncodeProgress(&workload.Progress{Attempts: list})
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), tasks*estimate)
}

// storeRowBytes is the largest value of a row whose encoding in base64 has 64 KB.
const storeRowBytes = 48 << 10

// Guards against a batch that the table service refuses because the row of the
// interference coefficients is bounded by their number: with names of 115 letters, those of
// 16 and 30 images had 118 KB.
func TestRowOfCoefficientsOfLongNamesIsBounded(t *testing.T) {
	c := &controller{writer: writer{owner: workload.Owner{Name: "a", Epoch: 1}, version: 1}}
	batch := &jobs.Batch{}
	for s := range 16 {
		for b := range 30 {
			batch.Interference = append(batch.Interference, msg.Interference{
				ServingImage: fmt.Sprintf("serving-%02d%s", s, strings.Repeat("s", 105)), BestEffortImage: fmt.Sprintf("batch-%02d%s", b, strings.Repeat("b", 107)), Coefficient: 1,
			})
		}
	}
	txn, err := c.batchTxn(c.writer.owner, batch)
	require.NoError(t, err)
	for _, put := range txn.Puts {
		require.LessOrEqual(t, len(put.Value), storeRowBytes, put.Key)
	}
	state := &storedState{}
	require.NoError(t, state.addRow(table.Row{Key: interferenceKey, Value: txn.Puts[len(txn.Puts)-1].Value}))
	require.Len(t, state.interference, len(batch.Interference))
}
