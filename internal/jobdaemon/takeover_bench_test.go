package jobdaemon

import (
	"fmt"
	"testing"

	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// BenchmarkTakeoverOfALargeJob decodes the rows of a job whose tasks all have failed
// runs and checkpoints, and restores it, as a new owner does before its first plan.
func BenchmarkTakeoverOfALargeJob(b *testing.B) {
	const tasksPerRow = 256
	for _, tasks := range []int{1000, workload.MaxTasks} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			const id = workload.JobID("00000000000000c0")
			spec := workload.Job{ID: id, Queue: "q", Service: "desk", MaxAttempts: 3, Steps: []workload.Step{{Count: tasks}}}
			rows := []table.Row{encodedRow(b, jobKey(id), func() ([]byte, error) { return wire.EncodeJob(&spec) })}
			progress := workload.Progress{Phase: workload.Running, Done: make([]byte, (tasks+7)/8)}
			rows = append(rows, encodedRow(b, progressKey(id), func() ([]byte, error) { return wire.EncodeProgress(&progress) }))
			for first := 0; first < tasks; first += tasksPerRow {
				part := workload.Progress{}
				for i := first; i < min(first+tasksPerRow, tasks); i++ {
					part.Attempts = append(part.Attempts, workload.TaskAttempts{Index: i, Failed: 1, LastFailed: 7, Checkpoint: "00000bb87a21d94b"})
				}
				rows = append(rows, encodedRow(b, attemptsKey(id, first/tasksPerRow), func() ([]byte, error) { return wire.EncodeProgress(&part) }))
			}
			for b.Loop() {
				state := &storedState{progress: map[workload.JobID]*workload.Progress{}}
				for _, r := range rows {
					if err := state.addRow(r); err != nil {
						b.Fatal(err)
					}
				}
				core := jobs.New(2, 0)
				core.Restore(state.jobs[0], state.progress[id])
				core.Plan()
			}
		})
	}
}

func encodedRow(b *testing.B, key string, encode func() ([]byte, error)) table.Row {
	raw, err := encode()
	if err != nil {
		b.Fatal(err)
	}
	return table.Row{Key: key, Value: raw}
}
