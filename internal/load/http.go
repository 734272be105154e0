package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
)

// connection is a keep-alive connection to the target. It follows no redirects
// and uses no proxy, so that it sends nothing to another address.
type connection struct {
	client  *http.Client
	url     string
	class   Class
	payload []byte
}

// Dial returns a function that creates connections to target, the URL of a plan.
// A connection is opened by its first request.
func Dial(target string) func(Class) Connection {
	return func(c Class) Connection {
		return &connection{
			client: &http.Client{
				Transport:     &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
				CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			},
			url: target + c.Path, class: c, payload: bytes.Repeat([]byte("x"), c.Bytes),
		}
	}
}

// Close implements Connection.
func (c *connection) Close() { c.client.CloseIdleConnections() }

// Send implements Connection. It returns when the body of the response has been
// read.
func (c *connection) Send(ctx context.Context) Response {
	req, err := http.NewRequestWithContext(ctx, c.class.Method, c.url, bytes.NewReader(c.payload))
	if err != nil {
		return Response{Failure: "invalid request"}
	}
	for name, value := range map[string]string{"Bambooscale-Service": c.class.Service, "Bambooscale-Tenant": c.class.Tenant} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if c.class.DeadlineMs > 0 {
		req.Header.Set("Bambooscale-Deadline-Ms", strconv.Itoa(c.class.DeadlineMs))
	}
	res, err := c.client.Do(req)
	if err != nil {
		return Response{Failure: errorKind(err)}
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return Response{Failure: errorKind(err)}
	}
	return Response{Status: res.StatusCode, Outcome: res.Header.Get("Bambooscale-Outcome")}
}

// errorKind returns the kind of an error. Reports count errors by kind, so that
// they contain few different ones.
func errorKind(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	}
	return "other"
}
