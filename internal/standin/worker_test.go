package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/storage"
)

var workerCapacity = model.Resources{CPU: 16000, Memory: 60 << 30}

func taskSpec(id, program string) TaskSpec {
	return TaskSpec{ID: id, Program: program, LeaseMs: 15000, Resources: model.Resources{CPU: 10000, Memory: 1 << 30},
		ResultName: "result/" + id, CheckpointPrefix: "checkpoint/" + id + "/"}
}

// withWorker runs f in virtual time with a worker and its object store.
func withWorker(t *testing.T, f func(t *testing.T, w *Worker, o *Objects)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		o := NewObjects(g, StoreFaults{})
		f(t, NewWorker(g, WorkerConfig{ID: "w1", Capacity: workerCapacity, Objects: o}), o)
	})
}

// onlyTask returns the only task of the worker.
func onlyTask(t *testing.T, w *Worker) TaskView {
	list, err := w.Tasks(t.Context())
	require.NoError(t, err)
	require.Len(t, list, 1)
	return list[0]
}

// Guards against a task that runs on after its lease has expired because its
// agent no longer renews it, and against a task that is stopped although its
// lease was renewed.
func TestTaskStopsWhenItsLeaseExpires(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Worker, _ *Objects) {
		_, err := w.Start(t.Context(), taskSpec("job/1", "sleep 1h"))
		require.NoError(t, err)
		actor.Sleep(t.Context(), 10*time.Second)
		_, err = w.Renew(t.Context(), "job/1", 15000)
		require.NoError(t, err)
		actor.Sleep(t.Context(), 15*time.Second-time.Millisecond)
		require.Equal(t, model.TaskRunning, onlyTask(t, w).State)
		actor.Sleep(t.Context(), time.Millisecond)
		synctest.Wait()
		require.Equal(t, model.TaskStopped, onlyTask(t, w).State)
		_, err = w.Renew(t.Context(), "job/1", 15000)
		require.ErrorIs(t, err, ErrNotRunning)
		log, err := w.Log(t.Context())
		require.NoError(t, err)
		require.Equal(t, 25*time.Second, time.Duration(log[0].Ended-log[0].Started))
	})
}

// Guards against a task that resumes at another step than that of its checkpoint
// on another worker. The answer to the write of the checkpoint is lost, so that
// the worker must repeat it.
func TestTaskResumesFromCheckpoint(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Worker, o *Objects) {
		first := taskSpec("job/1", "sleep 10s; steps 10")
		_, err := w.Start(t.Context(), first)
		require.NoError(t, err)
		actor.Sleep(t.Context(), 7500*time.Millisecond)
		require.NoError(t, o.SetFaults(t.Context(), StoreFaults{LoseAnswers: 1}))
		view, err := w.Checkpoint(t.Context(), "job/1")
		require.NoError(t, err)
		require.Equal(t, "checkpoint/job/1/1", view.Checkpoint)
		_, err = w.Stop(t.Context(), "job/1")
		require.NoError(t, err)

		other := NewWorker(newGroup(t), WorkerConfig{ID: "w2", Capacity: workerCapacity, Objects: o})
		second := taskSpec("job/2", first.Program)
		second.Checkpoint = view.Checkpoint
		_, err = other.Start(t.Context(), second)
		require.NoError(t, err)
		actor.Sleep(t.Context(), 3*time.Second)
		synctest.Wait()
		require.Equal(t, model.TaskDone, onlyTask(t, other).State)
		data, err := o.Get(t.Context(), "result/job/2")
		require.NoError(t, err)
		require.JSONEq(t, `{"task":"job/2","result":"job/2"}`, string(data))
		log, err := other.Log(t.Context())
		require.NoError(t, err)
		require.Equal(t, []int{7, 10}, []int{log[0].FromStep, log[0].ToStep})
	})
}

// Guards against a task that runs twice because its start was repeated or
// arrived after its stop.
func TestStartIsIdempotent(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Worker, _ *Objects) {
		for range 2 {
			_, err := w.Start(t.Context(), taskSpec("job/1", "sleep 1s"))
			require.NoError(t, err)
		}
		_, err := w.Stop(t.Context(), "job/2")
		require.NoError(t, err)
		view, err := w.Start(t.Context(), taskSpec("job/2", "sleep 1s"))
		require.NoError(t, err)
		require.Equal(t, model.TaskStopped, view.State)
		log, err := w.Log(t.Context())
		require.NoError(t, err)
		require.Len(t, log, 1)
	})
}

// Guards against usage that is reported before the usage lag has passed, and
// against starts beyond the worker's capacity that the log does not mark.
func TestUsageLagsAndOvercommitIsLogged(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Worker, _ *Objects) {
		for _, id := range []string{"a/1", "b/1"} {
			_, err := w.Start(t.Context(), taskSpec(id, "sleep 12s; fail; usage cpu=2000"))
			require.NoError(t, err)
		}
		used := func() model.MilliCPU {
			v, err := w.Info(t.Context())
			require.NoError(t, err)
			return v.Usage.CPU
		}
		actor.Sleep(t.Context(), DefaultUsageLag-time.Millisecond)
		require.Zero(t, used())
		_, err := w.Throttle(t.Context(), "a/1", 50)
		require.NoError(t, err)
		actor.Sleep(t.Context(), time.Millisecond)
		require.Equal(t, model.MilliCPU(4000), used())
		actor.Sleep(t.Context(), DefaultUsageLag)
		require.Equal(t, model.MilliCPU(3000), used())
		log, err := w.Log(t.Context())
		require.NoError(t, err)
		require.Equal(t, []bool{false, true}, []bool{log[0].Overcommit, log[1].Overcommit})
		require.Equal(t, model.TaskFailed, log[1].State)
	})
}

// Guards against task ids whose escaped slashes are not decoded from the URL, and
// against wrong HTTP statuses: 409 for a task that has ended, 404 for an unknown
// one, 400 for a malformed program and 503 in an outage.
func TestWorkerOverHTTP(t *testing.T) {
	g := newGroup(t)
	w := NewWorker(g, WorkerConfig{ID: "w1", Objects: NewObjects(g, StoreFaults{})})
	base := "http://" + serveOnLoopback(t, g, w.Serve)
	post := func(path string, body any) (status int, view TaskView) {
		raw, err := json.Marshal(body)
		require.NoError(t, err)
		resp, err := http.Post(base+path, "application/json", bytes.NewReader(raw))
		require.NoError(t, err)
		defer resp.Body.Close()
		_ = json.NewDecoder(resp.Body).Decode(&view)
		return resp.StatusCode, view
	}
	status, _ := post("/v1/tasks", taskSpec("job/1", "sleep 1h"))
	require.Equal(t, http.StatusOK, status)
	status, view := post("/v1/tasks/job%2F1/stop", nil)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, model.TaskStopped, view.State)
	status, _ = post("/v1/tasks/job%2F1/renew", map[string]int{"leaseMs": 1000})
	require.Equal(t, http.StatusConflict, status)
	status, _ = post("/v1/tasks/job%2F9/renew", map[string]int{"leaseMs": 1000})
	require.Equal(t, http.StatusNotFound, status)
	status, _ = post("/v1/tasks", taskSpec("job/2", "dance"))
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = post("/control", WorkerFaults{Outage: true})
	require.Equal(t, http.StatusOK, status)
	status, _ = post("/v1/tasks", taskSpec("job/3", ""))
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against valid programs that are parsed wrongly and malformed programs
// that are accepted.
func TestParseProgram(t *testing.T) {
	p, err := ParseProgram("sleep 300ms; steps 10; fail 3; usage cpu=2000; autosave")
	require.NoError(t, err)
	require.Equal(t, 90*time.Millisecond, p.totalRunTime())
	require.Equal(t, model.Resources{CPU: 2000, Memory: 7}, p.fullSpeedUsage(model.Resources{CPU: 1, Memory: 7}))
	for _, bad := range []string{"sleep", "sleep -1s", "steps 0", "fail 2", "usage gpu=1", "sleep 1s; sleep 2s", "jump"} {
		_, err := ParseProgram(bad)
		require.Error(t, err, bad)
	}
	var _ storage.Objects = (*Objects)(nil)
	var _ storage.Table = (*Table)(nil)
}
