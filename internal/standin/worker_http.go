package standin

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/storage"
)

// Start starts a task, unless the worker has one with this id, and returns the
// task's state. The error is storage.ErrRefused if the program is malformed or
// the id is empty.
func (w *Worker) Start(ctx context.Context, spec TaskSpec) (TaskView, error) {
	p, err := ParseProgram(spec.Program)
	if err == nil && spec.ID == "" {
		err = errors.New("task has no id")
	}
	if err != nil {
		return TaskView{}, errors.Wrapf(storage.ErrRefused, "%v", err)
	}
	return ask(ctx, w.to, func(r workerReply[TaskView]) message[*workerState] { return startMsg{spec, p, r} })
}

// Renew sets the task's lease to end leaseMs from now.
func (w *Worker) Renew(ctx context.Context, id string, leaseMs int64) (TaskView, error) {
	if leaseMs <= 0 {
		return TaskView{}, errors.Wrap(storage.ErrRefused, "leaseMs must be positive")
	}
	return w.command(ctx, commandMsg{id: id, renewMs: leaseMs})
}

// Throttle limits the task to a percentage of its speed; 0 pauses it.
func (w *Worker) Throttle(ctx context.Context, id string, percent int) (TaskView, error) {
	if percent < 0 || percent > 100 {
		return TaskView{}, errors.Wrap(storage.ErrRefused, "percent must be from 0 to 100")
	}
	return w.command(ctx, commandMsg{id: id, event: taskThrottle, percent: percent})
}

// Stop stops the task. Once Stop has returned, the task does not run. An
// unknown task is recorded as stopped, so that it can no longer start.
func (w *Worker) Stop(ctx context.Context, id string) (TaskView, error) {
	return w.command(ctx, commandMsg{id: id, event: taskStop})
}

func (w *Worker) command(ctx context.Context, m commandMsg) (TaskView, error) {
	return ask(ctx, w.to, func(r workerReply[TaskView]) message[*workerState] { m.reply = r; return m })
}

// Checkpoint makes the task write a checkpoint and waits until it is stored.
func (w *Worker) Checkpoint(ctx context.Context, id string) (TaskView, error) {
	return ask(ctx, w.to, func(r workerReply[TaskView]) message[*workerState] { return checkpointMsg{id, r} })
}

// Tasks returns the tasks in the order of their ids. It includes ended tasks for
// endedRetention.
func (w *Worker) Tasks(ctx context.Context) ([]TaskView, error) {
	return ask(ctx, w.to, func(r workerReply[[]TaskView]) message[*workerState] { return tasksMsg{r} })
}

// Info returns the worker's capacity, usage and number of tasks.
func (w *Worker) Info(ctx context.Context) (WorkerView, error) {
	return ask(ctx, w.to, func(r workerReply[WorkerView]) message[*workerState] { return infoMsg{r} })
}

// Log returns the runs of all tasks, in the order of their starts.
func (w *Worker) Log(ctx context.Context) ([]TaskRun, error) {
	return ask(ctx, w.to, func(r workerReply[[]TaskRun]) message[*workerState] { return runsMsg{r} })
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(ctx context.Context, f WorkerFaults) error {
	_, err := w.control(ctx, &f)
	return err
}

// State returns the current faults and the counters.
func (w *Worker) State(ctx context.Context) (WorkerState, error) { return w.control(ctx, nil) }

func (w *Worker) control(ctx context.Context, f *WorkerFaults) (WorkerState, error) {
	return ask(ctx, w.to, func(r workerReply[WorkerState]) message[*workerState] { return workerControlMsg{f, r} })
}

// Serve serves the worker's HTTP interface on l until ctx ends.
func (w *Worker) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, &http.Server{Handler: w.Handler()})
}

// Handler returns the worker's HTTP interface. A task's id is one path segment,
// with its slashes escaped. GET /control/log returns what Log returns.
func (w *Worker) Handler() http.Handler {
	tasks := http.NewServeMux()
	tasks.HandleFunc("POST /v1/tasks", func(rw http.ResponseWriter, r *http.Request) {
		var spec TaskSpec
		if readJSON(rw, r, &spec) {
			view, err := w.Start(r.Context(), spec)
			writeTask(rw, view, err)
		}
	})
	tasks.HandleFunc("POST /v1/tasks/{id}/{command}", w.serveCommand)
	tasks.HandleFunc("GET /v1/tasks", serveValue(w.Tasks))
	tasks.HandleFunc("GET /v1/worker", serveValue(w.Info))
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/", func(rw http.ResponseWriter, r *http.Request) {
		if s, err := w.State(r.Context()); err != nil || s.Faults.Outage {
			http.Error(rw, "simulated outage", http.StatusServiceUnavailable)
			return
		}
		tasks.ServeHTTP(rw, r)
	})
	mux.HandleFunc("/control", serveControl(w.control))
	mux.HandleFunc("GET /control/log", serveValue(w.Log))
	return mux
}

func (w *Worker) serveCommand(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		LeaseMs int64 `json:"leaseMs"`
		Percent int   `json:"percent"`
	}
	if !readJSON(rw, r, &body) {
		return
	}
	ctx, id := r.Context(), r.PathValue("id")
	var view TaskView
	var err error
	switch r.PathValue("command") {
	case "renew":
		view, err = w.Renew(ctx, id, body.LeaseMs)
	case "checkpoint":
		view, err = w.Checkpoint(ctx, id)
	case "throttle":
		view, err = w.Throttle(ctx, id, body.Percent)
	case "stop":
		view, err = w.Stop(ctx, id)
	default:
		err = storage.ErrNotFound
	}
	writeTask(rw, view, err)
}

// writeTask answers with a task's state, or with the status of the error: 409
// with the task's state if it is not running, 404 if it is unknown.
func writeTask(rw http.ResponseWriter, view TaskView, err error) {
	switch {
	case err == nil:
		writeJSON(rw, http.StatusOK, view)
	case errors.Is(err, ErrNotRunning):
		writeJSON(rw, http.StatusConflict, view)
	case errors.Is(err, ErrUnknownTask):
		http.Error(rw, err.Error(), http.StatusNotFound)
	default:
		writeError(rw, err)
	}
}

// serveValue returns a handler that answers with the result of get as JSON.
func serveValue[T any](get func(context.Context) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := get(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}
