package taskagent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Guards against requests that do not conform to the worker's HTTP interface,
// and against error responses that are treated as success.
func TestHTTPWorkerClientRequests(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", func(w http.ResponseWriter, r *http.Request) {
		var b map[string]any
		_ = json.NewDecoder(r.Body).Decode(&b)
		if b["id"] != "j/1" || b["milliCpu"] != 500.0 || b["leaseMs"] != 15000.0 || b["resultName"] != "result/j/1" {
			http.Error(w, "unexpected body", http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /v1/tasks/{id}/checkpoint", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(CheckpointReply{Checkpoint: "checkpoint/" + r.PathValue("id") + "/1"})
	})
	mux.HandleFunc("POST /v1/tasks/{id}/stop", func(w http.ResponseWriter, r *http.Request) {
		status := map[string]int{"j/1": http.StatusNotFound, "j/2": http.StatusConflict}[r.PathValue("id")]
		http.Error(w, "not running", status)
	})
	mux.HandleFunc("GET /v1/tasks", func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`[{"id":"j/1","state":"running","usage":{"milliCpu":7,"ageMs":10000},"ranMs":12000},{"id":"other"}]`))
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	w := NewHTTPWorkerClient(srv.URL, srv.Client())
	require.NoError(t, w.Start(t.Context(), StartRequest{Attempt: attempt1, Resources: model.Resources{CPU: 500},
		Lease: 15 * time.Second, ResultName: ResultName(attempt1)}))
	require.ErrorIs(t, w.Start(t.Context(), StartRequest{Attempt: attempt1}), ErrRefused)
	name, err := w.Checkpoint(t.Context(), attempt1)
	require.NoError(t, err)
	require.Equal(t, CheckpointPrefix(attempt1)+"1", name)
	require.ErrorIs(t, w.Stop(t.Context(), attempt1), ErrNoTask)
	require.NoError(t, w.Stop(t.Context(), model.AttemptID{Job: "j", Number: 2}), "it has ended")
	list, err := w.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []Task{{Attempt: attempt1, State: model.TaskRunning, RanFor: 12 * time.Second,
		Usage: model.Usage{Resources: model.Resources{CPU: 7}, Age: 10 * time.Second}}}, list)
	require.Error(t, w.Throttle(t.Context(), attempt1, 50))
}
