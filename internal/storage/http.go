package storage

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultTimeout bounds the time without progress of one operation at a
	// platform service.
	DefaultTimeout = 5 * time.Second
	connectTimeout = 2 * time.Second
	idleTimeout    = 90 * time.Second // after which an unused connection is closed
	idlePerHost    = 8                // unused connections that are kept open
	// A scan of 46,000 job rows of 1 KB returns 61 MB in base64.
	maxResponseBytes = 128 << 20
	maxErrorText     = 200 // bytes of a response that an error includes
)

// HTTPConfig holds the parameters of a client of a platform service.
type HTTPConfig struct {
	URL     string        // for example http://10.0.0.1:7000
	Timeout time.Duration // of one operation while nothing is received; 0: DefaultTimeout
	// Dial opens a connection; nil: TCP.
	Dial dialFunc
}

// HTTPClient sends requests to a platform service and classifies failures by
// their effect. Any goroutine may use it.
type HTTPClient struct {
	base    string
	timeout time.Duration
	client  *http.Client
	conns   *idleConns
}

// NewHTTPClient returns a client; it does not connect yet.
func NewHTTPClient(c HTTPConfig) *HTTPClient {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	conns := &idleConns{}
	return &HTTPClient{
		base:    strings.TrimSuffix(c.URL, "/"),
		timeout: c.Timeout,
		conns:   conns,
		client: &http.Client{Transport: &http.Transport{
			DialContext: conns.dial(c.Dial), MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		}},
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }

// Response is a complete response.
type Response struct {
	Status int
	Body   []byte
}

// Request is one request to a platform service.
type Request struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
}

// Do sends a request and reads the whole response. The error is ErrRefused if
// the request is invalid, ErrUnavailable if it was not sent (with
// ErrNotListening if the connection was refused), and otherwise
// ErrOutcomeUnknown, which also matches the error of a ctx that has ended. The
// response extends the timeouts that WithProgressTimeout has set for ctx.
func (c *HTTPClient) Do(ctx context.Context, r Request) (Response, error) {
	req, err := http.NewRequest(r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, errors.Wrapf(ErrRefused, "%v", err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	callCtx, cancel := WithProgressTimeout(ctx, c.timeout, c.timeout)
	defer cancel()
	response, conn, err := c.send(callCtx, req)
	if err == nil {
		return response, nil
	}
	if errors.Is(err, ErrNoProgress) || errors.Is(err, context.DeadlineExceeded) {
		c.conns.timedOut(conn)
	}
	return Response{}, transportError(ctx, conn != nil, err)
}

// send sends a request and reads the whole response. The connection is that on
// which the request may have been sent; nil: it was not. The error after the end of ctx
// is its cause.
func (c *HTTPClient) send(ctx context.Context, req *http.Request) (Response, net.Conn, error) {
	var conn net.Conn
	// net/http may try several connections. It repeats a Put, Post or Delete only if
	// nothing of it was sent, and a read has no effect.
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { conn = nil },
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return Response{}, conn, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(&progressReader{ctx: ctx, Reader: resp.Body}, maxResponseBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		err = context.Cause(ctx)
	case err == nil && len(body) > maxResponseBytes:
		err = errors.Newf("response is larger than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return Response{}, conn, &incompleteError{len(body), resp.ContentLength, err}
	}
	return Response{resp.StatusCode, body}, conn, nil
}

// incompleteError is the error of a response whose body was not received whole.
type incompleteError struct {
	received int   // bytes
	expected int64 // bytes; -1: unknown
	cause    error
}

func (e *incompleteError) Error() string {
	if e.expected < 0 {
		return fmt.Sprintf("%v after %d bytes of the response", e.cause, e.received)
	}
	return fmt.Sprintf("%v after %d of %d bytes of the response", e.cause, e.received, e.expected)
}

func (e *incompleteError) Unwrap() error { return e.cause }

// transportError classifies the error of a request that was or was not sent.
func transportError(ctx context.Context, sent bool, cause error) error {
	class := ErrUnavailable
	if sent {
		class = ErrOutcomeUnknown
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w: %w", class, ctx.Err(), cause)
		}
	}
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w: %v", class, ErrNotListening, cause)
	}
	return fmt.Errorf("%w: %v", class, cause)
}

// Failure returns the error for a status other than success: ErrNotFound,
// ErrUnavailable, ErrRefused or ErrOutcomeUnknown.
func (r Response) Failure() error {
	class := ErrOutcomeUnknown
	switch r.Status {
	case http.StatusNotFound:
		class = ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		class = ErrUnavailable
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		class = ErrRefused
	}
	text := strings.TrimSpace(string(r.Body[:min(len(r.Body), maxErrorText)]))
	return fmt.Errorf("%w: status %d: %s", class, r.Status, text)
}

// ReadFailure returns the error of a read: ErrOutcomeUnknown becomes
// ErrUnavailable, because a read has no effect and may be repeated.
func ReadFailure(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}
