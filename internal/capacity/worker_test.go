package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// fakeWorker is the worker client of an agent. Its tasks run until they are stopped.
type fakeWorker struct {
	mu    sync.Mutex
	tasks map[model.AttemptID]time.Time
}

func newFakeWorker() *fakeWorker { return &fakeWorker{tasks: map[model.AttemptID]time.Time{}} }

func (w *fakeWorker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

func (w *fakeWorker) Start(_ context.Context, r taskagent.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks[r.Attempt] = time.Now()
	return nil
}

func (w *fakeWorker) Stop(_ context.Context, id model.AttemptID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, id)
	return nil
}

func (w *fakeWorker) List(context.Context) ([]taskagent.Task, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []taskagent.Task
	for id, startedAt := range w.tasks {
		list = append(list, taskagent.Task{Attempt: id, State: model.TaskRunning, RanFor: time.Since(startedAt),
			Usage: model.Usage{Resources: model.Resources{CPU: 900, Memory: 1 << 30}, Age: 10 * time.Second}})
	}
	return list, nil
}

func (w *fakeWorker) Renew(context.Context, model.AttemptID, time.Duration) error { return nil }
func (w *fakeWorker) Checkpoint(_ context.Context, id model.AttemptID) (string, error) {
	return taskagent.CheckpointPrefix(id) + "1", nil
}
func (w *fakeWorker) Throttle(context.Context, model.AttemptID, int) error { return nil }
func (w *fakeWorker) Describe(context.Context) (model.Worker, error)       { return model.Worker{}, nil }

// jobRow returns the row of a job of a size of which 24 fit on a worker.
func jobRow(i int) model.JobRow {
	return model.JobRow{Phase: "pending", Spec: model.JobSpec{
		ID: model.JobID(fmt.Sprintf("roster-%07d", i)), Team: model.Team(fmt.Sprintf("team-%03d", i%180)), Class: "roster-batch",
		Labels:    model.Labels{"stage": "nightly", "school": fmt.Sprintf("s-%04d", i%1000)},
		Resources: model.Resources{CPU: 1300, Memory: 4 << 30}, Program: "roster --grade 7 --term autumn",
	}}
}

// configChange returns a configuration item of a worker.
func configChange(i int) model.ConfigChange {
	return model.ConfigChange{Version: 1, Key: model.ConfigKey{Kind: model.KindWorker, Name: fmt.Sprintf("host-%06d", i)},
		Item: &model.ConfigItem{Labels: model.Labels{"pool": "permits", "maintenance": fmt.Sprintf("week-%02d", i%52)}}}
}

// seedTable writes the configuration and the jobs of a plan, at most 100 rows in a
// transaction.
func seedTable(ctx context.Context, table storage.Table, p childPlan) {
	put := func(key string, v any) storage.Put { return storage.Put{Key: key, Value: rows.Encode(v)} }
	var puts []storage.Put
	for i := range p.Items {
		puts = append(puts, put(rows.ConfigKey(configChange(i).Key), configChange(i)))
	}
	if p.Items > 0 {
		puts = append(puts, put(rows.ConfigHeadKey, rows.ConfigHead{Version: 1}))
	}
	for i := range p.Jobs {
		r := jobRow(p.FirstJob + i)
		puts = append(puts, put(rows.JobKey(cellName, r.Spec.ID), r))
	}
	for n := 0; len(puts) > 0; n++ {
		batchSize := min(len(puts), 100)
		if _, err := table.Commit(ctx, storage.Txn{Operation: fmt.Sprintf("seed-%d", n), Puts: puts[:batchSize]}); err != nil {
			panic(err)
		}
		puts = puts[batchSize:]
	}
}
