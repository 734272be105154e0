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

// errorBody is the JSON body of every error response. Outcome says whether a
// change may have taken effect; it is set if the store failed or rejected it.
type errorBody struct {
	Error    string                     `json:"error"`
	Findings finding.List               `json:"findings,omitempty"`
	Conflict *configstore.ConflictError `json:"conflict,omitempty"`
	Outcome  string                     `json:"outcome,omitempty"`
}

// JobConflictError reports that a job with the same id but a different
// specification exists.
type JobConflictError struct {
	Cell model.Cell
	Job  model.JobID
}

func (e *JobConflictError) Error() string {
	return fmt.Sprintf("job %s already exists in cell %s with a different specification; choose another id", e.Job, e.Cell)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the client has disconnected
}

// writeError sends the error response for err, and logs errors that have no
// status of their own.
func (a *API) writeError(w http.ResponseWriter, r *http.Request, err error) {
	status, body := errorResponse(err)
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

// errorResponse returns the HTTP status and the body for an error.
func errorResponse(err error) (int, errorBody) {
	body := errorBody{Error: err.Error()}
	var (
		findings    finding.List
		tooLarge    *http.MaxBytesError
		conflict    *configstore.ConflictError
		jobConflict *JobConflictError
	)
	switch {
	case errors.As(err, &findings):
		body.Error, body.Findings = "the request is invalid", findings
		return http.StatusBadRequest, body
	case errors.As(err, &tooLarge):
		body.Error = fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		return http.StatusRequestEntityTooLarge, body
	case errors.As(err, &conflict):
		body.Conflict = conflict
		return http.StatusConflict, body
	case errors.As(err, &jobConflict):
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

// decode reads the JSON body of a request into v. Unknown fields and syntax
// errors are returned as a finding with its line; a body over the size limit
// is an *http.MaxBytesError.
func decode(r *http.Request, source string, v any) error {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return err
		}
		return newFinding(source, 0, "", "read request body: %v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return newFinding(source, lineNumber(raw, errorOffset(err, dec)), "", "%v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newFinding(source, lineNumber(raw, dec.InputOffset()), "", "only one JSON value is expected")
	}
	return nil
}

// errorOffset returns the position of a decoding error in the input, in bytes.
func errorOffset(err error, dec *json.Decoder) int64 {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset
	case errors.As(err, &wrongType):
		return wrongType.Offset
	}
	return dec.InputOffset()
}

// lineNumber returns the line, counted from 1, at an offset in bytes.
func lineNumber(raw []byte, offset int64) int {
	return 1 + bytes.Count(raw[:min(offset, int64(len(raw)))], []byte("\n"))
}

// newFinding returns a list of one finding as an error.
func newFinding(source string, line int, element, format string, args ...any) error {
	var findings finding.List
	findings.Add(source, line, element, format, args...)
	return findings
}

// query parses the parameters of a request, and collects a finding for each
// invalid one.
type query struct {
	r        *http.Request
	findings finding.List
}

func (q *query) addFinding(name, format string, args ...any) {
	q.findings.Add("query", 0, name, format, args...)
}

func (q *query) text(name string) string { return q.r.URL.Query().Get(name) }

func (q *query) number(name string, fallback, minValue, maxValue uint64) uint64 {
	s := q.text(name)
	if s == "" {
		return fallback
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n < minValue || n > maxValue {
		q.addFinding(name, "%q is not a whole number from %d to %d", s, minValue, maxValue)
	}
	return n
}

func (q *query) duration(name string, maxValue time.Duration) time.Duration {
	s := q.text(name)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > maxValue {
		q.addFinding(name, "%q is not a duration of at most %s", s, maxValue)
	}
	return d
}

func (q *query) flag(name string) bool {
	s := q.text(name)
	if s != "" && s != "true" && s != "false" {
		q.addFinding(name, "%q is neither true nor false", s)
	}
	return s == "true"
}
