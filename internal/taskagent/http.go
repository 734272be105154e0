package taskagent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/model"
)

// maxWorkerResponse bounds the bytes read of one response of the worker.
const maxWorkerResponse = 8 << 20

// HTTPWorkerClient is a WorkerClient for the HTTP interface of docs/design.md
// section 7.
type HTTPWorkerClient struct {
	base   string
	client *http.Client
}

// WorkerHTTPClient returns an HTTP client for the calls to a worker. It keeps one unused
// connection, so that connections which have gone silent together cost one timeout.
func WorkerHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

// NewHTTPWorkerClient returns a client of the worker at base, such as
// http://127.0.0.1:9000.
func NewHTTPWorkerClient(base string, client *http.Client) *HTTPWorkerClient {
	return &HTTPWorkerClient{base: strings.TrimRight(base, "/"), client: client}
}

// StartBody is the body of POST /v1/tasks.
type StartBody struct {
	ID string `json:"id"`
	model.Resources
	LeaseMs          int64  `json:"leaseMs"`
	Program          string `json:"program"`
	Checkpoint       string `json:"checkpoint,omitempty"`
	ResultName       string `json:"resultName"`
	CheckpointPrefix string `json:"checkpointPrefix"`
}

// RenewBody is the body of POST /v1/tasks/{id}/renew.
type RenewBody struct {
	LeaseMs int64 `json:"leaseMs"`
}

// ThrottleBody is the body of POST /v1/tasks/{id}/throttle.
type ThrottleBody struct {
	Percent int `json:"percent"`
}

// CheckpointReply is the response of POST /v1/tasks/{id}/checkpoint.
type CheckpointReply struct {
	Checkpoint string `json:"checkpoint"`
}

// TaskEntry is one task of the response of GET /v1/tasks. Usage is absent while
// the worker has no measurement that is old enough to be reported.
type TaskEntry struct {
	ID         string          `json:"id"`
	State      model.TaskState `json:"state"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	Result     string          `json:"result,omitempty"`
	Reason     string          `json:"reason,omitempty"`
	Usage      *TaskUsage      `json:"usage,omitempty"`
	RanMs      int64           `json:"ranMs"`
}

// TaskUsage is the measured use of resources AgeMs ago.
type TaskUsage struct {
	model.Resources
	AgeMs int64 `json:"ageMs"`
}

func (u *TaskUsage) usage() model.Usage {
	if u == nil {
		return model.Usage{}
	}
	return model.Usage{Resources: u.Resources, Age: time.Duration(u.AgeMs) * time.Millisecond}
}

// Start implements WorkerClient.
func (w *HTTPWorkerClient) Start(ctx context.Context, r StartRequest) error {
	return w.call(ctx, http.MethodPost, "/v1/tasks", StartBody{
		ID: r.Attempt.String(), Resources: r.Resources, LeaseMs: r.Lease.Milliseconds(), Program: r.Program,
		Checkpoint: r.Checkpoint, ResultName: r.ResultName, CheckpointPrefix: r.CheckpointPrefix,
	}, nil)
}

// Renew implements WorkerClient.
func (w *HTTPWorkerClient) Renew(ctx context.Context, id model.AttemptID, d time.Duration) error {
	return w.call(ctx, http.MethodPost, taskPath(id, "renew"), RenewBody{LeaseMs: d.Milliseconds()}, nil)
}

// Checkpoint implements WorkerClient.
func (w *HTTPWorkerClient) Checkpoint(ctx context.Context, id model.AttemptID) (string, error) {
	var reply CheckpointReply
	err := w.call(ctx, http.MethodPost, taskPath(id, "checkpoint"), struct{}{}, &reply)
	return reply.Checkpoint, err
}

// Throttle implements WorkerClient.
func (w *HTTPWorkerClient) Throttle(ctx context.Context, id model.AttemptID, percent int) error {
	return w.call(ctx, http.MethodPost, taskPath(id, "throttle"), ThrottleBody{Percent: percent}, nil)
}

// Stop implements WorkerClient.
func (w *HTTPWorkerClient) Stop(ctx context.Context, id model.AttemptID) error {
	err := w.call(ctx, http.MethodPost, taskPath(id, "stop"), struct{}{}, nil)
	if errors.Is(err, ErrRefused) {
		return nil // 409: the task had ended
	}
	return err
}

// List implements WorkerClient. Tasks whose ID is not an attempt ID were not
// started by an agent and are ignored.
func (w *HTTPWorkerClient) List(ctx context.Context) ([]Task, error) {
	var list []TaskEntry
	if err := w.call(ctx, http.MethodGet, "/v1/tasks", nil, &list); err != nil {
		return nil, err
	}
	tasks := make([]Task, 0, len(list))
	for _, t := range list {
		id, ok := model.ParseAttemptID(t.ID)
		if !ok {
			continue
		}
		tasks = append(tasks, Task{
			Attempt: id, State: t.State, Checkpoint: t.Checkpoint, Result: t.Result, Reason: t.Reason,
			Usage:  t.Usage.usage(),
			RanFor: time.Duration(t.RanMs) * time.Millisecond,
		})
	}
	return tasks, nil
}

// Describe implements WorkerClient.
func (w *HTTPWorkerClient) Describe(ctx context.Context) (model.Worker, error) {
	var worker model.Worker
	err := w.call(ctx, http.MethodGet, "/v1/worker", nil, &worker)
	return worker, err
}

func taskPath(id model.AttemptID, verb string) string {
	return "/v1/tasks/" + url.PathEscape(id.String()) + "/" + verb
}

func (w *HTTPWorkerClient) call(ctx context.Context, method, path string, body, reply any) error {
	var payload io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		payload = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, w.base+path, payload)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxWorkerResponse))
	if err != nil {
		return err
	}
	return decodeReply(method+" "+path, res.StatusCode, raw, reply)
}

func decodeReply(what string, status int, raw []byte, reply any) error {
	switch {
	case status == http.StatusNotFound:
		return fmt.Errorf("%s: %w", what, ErrNoTask)
	case status >= 400 && status < 500:
		return fmt.Errorf("%s: status %d: %s: %w", what, status, bytes.TrimSpace(raw), ErrRefused)
	case status >= 300:
		return fmt.Errorf("%s: status %d: %s", what, status, bytes.TrimSpace(raw))
	case reply == nil:
		return nil
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return fmt.Errorf("%s: response cannot be decoded: %w", what, err)
	}
	return nil
}
