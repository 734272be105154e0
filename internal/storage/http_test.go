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
