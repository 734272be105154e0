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
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultTimeout bounds one operation at a platform service.
	DefaultTimeout = 5 * time.Second
	connectTimeout = 2 * time.Second
	idleTimeout    = 90 * time.Second
	idlePerHost    = 8
	// A scan of 46,000 job rows of 1 KB is 61 MB in base64.
	maxResponseBytes = 128 << 20
	maxErrorText     = 200
)

// HTTPConfig says how to reach a platform service.
type HTTPConfig struct {
	URL     string        // for example http://10.0.0.1:7000
	Timeout time.Duration // of one operation; 0: DefaultTimeout
	// Dial opens a connection; nil: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// httpClient sends single requests and says what a failure means.
type httpClient struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

func newHTTPClient(c HTTPConfig) *httpClient {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &httpClient{
		base:    strings.TrimSuffix(c.URL, "/"),
		timeout: c.Timeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext: c.Dial, MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		}},
	}
}

// close closes idle connections.
func (c *httpClient) close() { c.client.CloseIdleConnections() }

// response is a complete response.
type response struct {
	status int
	body   []byte
}

// do sends a request and reads the whole response. Its error is
// ErrUnavailable when the request was certainly not sent, else ErrUnknown;
// after the end of ctx it matches the context's error as well.
func (c *httpClient) do(ctx context.Context, method, path string, body []byte) (response, error) {
	limited, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(limited, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Wrapf(ErrRefused, "%v", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		var dial *net.OpError
		sent := connected && !(errors.As(err, &dial) && dial.Op == "dial")
		return response{}, transportError(ctx, sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(raw) > maxResponseBytes {
		err = errors.Newf("response is larger than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return response{}, transportError(ctx, true, err)
	}
	return response{resp.StatusCode, raw}, nil
}

func transportError(ctx context.Context, sent bool, cause error) error {
	class := ErrUnavailable
	if sent {
		class = ErrUnknown
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", class, ctx.Err())
		}
	}
	return fmt.Errorf("%w: %v", class, cause)
}

// failure maps a status other than success to an error.
func (r response) failure() error {
	class := ErrUnknown
	switch r.status {
	case http.StatusNotFound:
		class = ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		class = ErrUnavailable
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		class = ErrRefused
	}
	text := strings.TrimSpace(string(r.body[:min(len(r.body), maxErrorText)]))
	return fmt.Errorf("%w: status %d: %s", class, r.status, text)
}

// readFailure turns an unknown outcome into ErrUnavailable: a read has no
// effect, so it may be repeated.
func readFailure(err error) error {
	if errors.Is(err, ErrUnknown) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}
