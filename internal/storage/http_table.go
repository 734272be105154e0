package storage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

// HTTPTable is a client of the table service. Any goroutine may use it.
type HTTPTable struct{ http *HTTPClient }

var _ Table = (*HTTPTable)(nil)

// NewHTTPTable returns a client; it does not connect yet.
func NewHTTPTable(c HTTPConfig) *HTTPTable { return &HTTPTable{NewHTTPClient(c)} }

// Close closes idle connections.
func (t *HTTPTable) Close() { t.http.Close() }

// Commit implements Table.
func (t *HTTPTable) Commit(ctx context.Context, txn Txn) (Revision, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	r, err := t.http.Do(ctx, Request{Method: http.MethodPost, Path: "/v1/txn", Body: body})
	if err != nil {
		return 0, err
	}
	var answer struct {
		Revision Revision `json:"revision"`
		Failed   []string `json:"failed"`
	}
	switch r.Status {
	case http.StatusOK:
		if err := json.Unmarshal(r.Body, &answer); err != nil || answer.Revision == 0 {
			return 0, fmt.Errorf("%w: malformed answer to a commit", ErrOutcomeUnknown)
		}
		return answer.Revision, nil
	case http.StatusConflict:
		if err := json.Unmarshal(r.Body, &answer); err != nil || len(answer.Failed) == 0 {
			return 0, fmt.Errorf("%w: malformed answer to a commit", ErrOutcomeUnknown)
		}
		return 0, &ConflictError{Keys: answer.Failed}
	}
	return 0, r.Failure()
}

// Read implements Table.
func (t *HTTPTable) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := t.get(ctx, "/v1/rows/"+url.PathEscape(key), &row)
	return row, err
}

// Scan implements Table.
func (t *HTTPTable) Scan(ctx context.Context, prefix string, after Revision) ([]Row, Revision, error) {
	var answer struct {
		Rows     []Row    `json:"rows"`
		Revision Revision `json:"revision"`
	}
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}
	err := t.get(ctx, "/v1/rows?"+query.Encode(), &answer)
	return answer.Rows, answer.Revision, err
}

func (t *HTTPTable) get(ctx context.Context, path string, v any) error {
	r, err := t.http.Do(ctx, Request{Method: http.MethodGet, Path: path})
	if err == nil && r.Status != http.StatusOK {
		err = r.Failure()
	}
	if err != nil {
		return ReadFailure(err)
	}
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("%w: malformed answer to a read: %v", ErrUnavailable, err)
	}
	return nil
}
