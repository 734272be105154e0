package storage

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeDial returns a dial function whose connections are served by serve.
func pipeDial(serve func(conn net.Conn, r *http.Request)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			in := bufio.NewReader(server)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				serve(server, r)
			}
		}()
		return client, nil
	}
}

// Guards against a read that is given up without a word on how much of the
// response had arrived: whether the service is silent or the connection is too
// slow for the response could not be told apart.
func TestErrorOfAnIncompleteResponseSaysHowMuchArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewHTTPClient(HTTPConfig{URL: "http://table", Timeout: time.Second, Dial: pipeDial(func(conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n%0400d", 0)
		})})
		defer c.Close()
		_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/rows"})
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.ErrorContains(t, err, "after 400 of 1000 bytes")
	})
}

// Guards against reads of rows that have grown: a bound on the whole read gave up
// 1.1 MB over 10 Mbit/s after 0.6 s and started again from the first byte, without
// end.
func TestReadMayTakeLongerThanItsTimeoutWhileItMakesProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts, part = 40, 16 << 10
		c := NewHTTPClient(HTTPConfig{URL: "http://table", Timeout: time.Second, Dial: pipeDial(func(conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", parts*part)
			for range parts {
				time.Sleep(300 * time.Millisecond)
				_, _ = conn.Write(make([]byte, part))
			}
		})})
		defer c.Close()
		ctx, cancel := WithProgressTimeout(t.Context(), 600*time.Millisecond, 600*time.Millisecond)
		defer cancel()
		r, err := c.Do(ctx, Request{Method: http.MethodGet, Path: "/rows"})
		require.NoError(t, err)
		require.Len(t, r.Body, parts*part)
	})
}

// Guards against reads that hold their caller without end: a response that stops,
// or that arrives byte by byte, is given up.
func TestReadWithoutProgressIsGivenUp(t *testing.T) {
	for name, interval := range map[string]time.Duration{"stops": time.Hour, "byte by byte": 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := NewHTTPClient(HTTPConfig{URL: "http://table", Timeout: time.Second, Dial: pipeDial(func(conn net.Conn, _ *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
				for {
					if _, err := conn.Write([]byte{0}); err != nil {
						return
					}
					time.Sleep(interval)
				}
			})})
			began := time.Now()
			ctx, cancel := WithProgressTimeout(t.Context(), 600*time.Millisecond, 600*time.Millisecond)
			defer cancel()
			_, err := c.Do(ctx, Request{Method: http.MethodGet, Path: "/rows"})
			require.ErrorIs(t, err, ErrNoProgress, name)
			require.Equal(t, 600*time.Millisecond, time.Since(began), name)
			c.Close()
			time.Sleep(2 * time.Hour) // the server ends
		})
	}
}
