package storage

import (
	"context"
	"net/http"
	"net/url"
)

// HTTPObjects is a client of the object store. Any goroutine may use it.
type HTTPObjects struct{ http *HTTPClient }

var _ Objects = (*HTTPObjects)(nil)

// NewHTTPObjects returns a client; it does not connect yet.
func NewHTTPObjects(c HTTPConfig) *HTTPObjects { return &HTTPObjects{NewHTTPClient(c)} }

// Close closes idle connections.
func (o *HTTPObjects) Close() { o.http.Close() }

// Put implements Objects.
func (o *HTTPObjects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.call(ctx, http.MethodPut, name, data)
	return err
}

// Get implements Objects.
func (o *HTTPObjects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := o.call(ctx, http.MethodGet, name, nil)
	return data, ReadFailure(err)
}

// Delete implements Objects. Deleting an absent object has no effect.
func (o *HTTPObjects) Delete(ctx context.Context, name string) error {
	_, err := o.call(ctx, http.MethodDelete, name, nil)
	return err
}

func (o *HTTPObjects) call(ctx context.Context, method, name string, data []byte) ([]byte, error) {
	r, err := o.http.Do(ctx, Request{Method: method, Path: "/v1/objects/" + url.PathEscape(name), Body: data})
	if err != nil {
		return nil, err
	}
	if r.Status != http.StatusOK && r.Status != http.StatusNoContent {
		return nil, r.Failure()
	}
	return r.Body, nil
}
