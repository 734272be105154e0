package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// errorBody is the JSON body of every answer that is not a success.
type errorBody struct {
	Error    string                     `json:"error"`
	Findings finding.List               `json:"findings,omitempty"`
	Conflict *configstore.ConflictError `json:"conflict,omitempty"`
	Outcome  string                     `json:"outcome,omitempty"`
}

// JobConflictError says that a job with the same id and another content
// exists.
type JobConflictError struct {
	Cell model.Cell
	Job  model.JobID
}

func (e *JobConflictError) Error() string {
	return fmt.Sprintf("job %s exists in cell %s with another content; choose another id", e.Job, e.Cell)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the client has gone
}

// writeError answers with the status that fits an error.
func (a *API) writeError(w http.ResponseWriter, r *http.Request, err error) {
	status, body := describe(err)
	if body.Outcome != "" {
		w.Header().Set(model.OutcomeHeader, body.Outcome)
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	if status == http.StatusInternalServerError {
		event.Log(a.Log, event.OperatorRequestFailed, log.Fields{"path": r.URL.Path, "error": err.Error()})
	}
	writeJSON(w, status, body)
}

func describe(err error) (int, errorBody) {
	body := errorBody{Error: err.Error()}
	var (
		found    finding.List
		tooLarge *http.MaxBytesError
		conflict *configstore.ConflictError
		job      *JobConflictError
	)
	switch {
	case errors.As(err, &found):
		body.Error, body.Findings = "the request is invalid", found
		return http.StatusBadRequest, body
	case errors.As(err, &tooLarge):
		body.Error = fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		return http.StatusRequestEntityTooLarge, body
	case errors.As(err, &conflict):
		body.Conflict = conflict
		return http.StatusConflict, body
	case errors.As(err, &job):
		return http.StatusConflict, body
	case errors.Is(err, storage.ErrNotFound):
		return http.StatusNotFound, body
	case errors.Is(err, storage.ErrOutcomeUnknown), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		body.Outcome = model.OutcomeUnknown.String()
		return http.StatusServiceUnavailable, body
	case errors.Is(err, storage.ErrRefused):
		body.Outcome = model.OutcomeNotRun.String()
		return http.StatusUnprocessableEntity, body
	case errors.Is(err, storage.ErrUnavailable), errors.Is(err, actor.ErrStopped):
		body.Outcome = model.OutcomeNotRun.String()
		return http.StatusServiceUnavailable, body
	}
	return http.StatusInternalServerError, body
}

// decode reads a JSON body into v. Unknown fields and syntax errors are
// findings with the line.
func decode(r *http.Request, source string, v any) error {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return err
		}
		return oneFinding(source, 0, "", "the body cannot be read: %v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return oneFinding(source, lineAt(raw, offsetOf(err, dec)), "", "%v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return oneFinding(source, lineAt(raw, dec.InputOffset()), "", "only one JSON value is expected")
	}
	return nil
}

func offsetOf(err error, dec *json.Decoder) int64 {
	var syntax *json.SyntaxError
	var typ *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset
	case errors.As(err, &typ):
		return typ.Offset
	}
	return dec.InputOffset()
}

func lineAt(raw []byte, offset int64) int {
	return 1 + bytes.Count(raw[:min(offset, int64(len(raw)))], []byte("\n"))
}

func oneFinding(source string, line int, where, format string, args ...any) error {
	var found finding.List
	found.Add(source, line, where, format, args...)
	return found
}

// query reads the parameters of a request and collects what is wrong.
type query struct {
	r     *http.Request
	found finding.List
}

func (q *query) add(name, format string, args ...any) { q.found.Add("query", 0, name, format, args...) }

func (q *query) text(name string) string { return q.r.URL.Query().Get(name) }

func (q *query) number(name string, fallback, low, high uint64) uint64 {
	s := q.text(name)
	if s == "" {
		return fallback
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n < low || n > high {
		q.add(name, "%q is not a whole number from %d to %d", s, low, high)
	}
	return n
}

func (q *query) duration(name string, high time.Duration) time.Duration {
	s := q.text(name)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > high {
		q.add(name, "%q is not a duration of at most %s", s, high)
	}
	return d
}

func (q *query) flag(name string) bool {
	s := q.text(name)
	if s != "" && s != "true" && s != "false" {
		q.add(name, "%q is neither true nor false", s)
	}
	return s == "true"
}
