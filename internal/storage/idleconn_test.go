package storage

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// testService is a service whose open connections may go silent together.
type testService struct {
	dialTime actor.Value[time.Duration]                   // until a connection is open; nil: 0
	opens    actor.Gauge                                  // connections
	silence  actor.Value[time.Time]                       // connections that were opened before are silent
	delay    actor.Value[func(path string) time.Duration] // of an answer; nil: 0
}

func (s *testService) dial(context.Context, string, string) (net.Conn, error) {
	if d := s.dialTime.Get(); d != nil {
		time.Sleep(*d)
	}
	client, server := net.Pipe()
	s.opens.Add(1)
	go s.serve(server, time.Now())
	return client, nil
}

func (s *testService) serve(conn net.Conn, openedAt time.Time) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if delay := s.delay.Get(); delay != nil {
			time.Sleep((*delay)(r.URL.Path))
		}
		if since := s.silence.Get(); since != nil && openedAt.Before(*since) {
			continue // what is received is taken, and nothing is answered
		}
		if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// answerAfter sets the delay of all answers.
func (s *testService) answerAfter(d time.Duration) {
	s.delay.Set(new(func(string) time.Duration { return d }))
}

// opened returns the number of connections that were opened.
func (s *testService) opened() int { return int(s.opens.Get()) }

// silent makes all open connections silent.
func (s *testService) silent() {
	time.Sleep(time.Millisecond)
	s.silence.Set(new(time.Now()))
}

const testCallTimeout = 900 * time.Millisecond

func testCall(c *HTTPClient, method, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testCallTimeout)
	defer cancel()
	_, err := c.Do(ctx, Request{Method: method, Path: path, Body: []byte("body")})
	return err
}

// fillPool leaves n unused connections.
func fillPool(s *testService, c *HTTPClient, n int) {
	s.answerAfter(10 * time.Millisecond)
	for range n {
		go func() { _ = testCall(c, http.MethodGet, "/") }()
	}
	time.Sleep(time.Second)
	synctest.Wait()
	s.answerAfter(0)
}

// withService runs a test with a client of a service in virtual time.
func withService(t *testing.T, test func(t *testing.T, s *testService, c *HTTPClient)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testService{}
		c := NewHTTPClient(HTTPConfig{URL: "http://table", Dial: s.dial})
		test(t, s, c)
		c.Close()
		time.Sleep(time.Minute) // the servers end
	})
}

// Guards against calls that wait for one silent connection after another: the owner of
// the jobs learned of an acknowledged cancel after two timeouts, and started tasks of the
// job until then.
func TestSilentConnectionsCostOneTimeoutInAll(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		withService(t, func(t *testing.T, s *testService, c *HTTPClient) {
			fillPool(s, c, idlePerHost)
			s.silent()
			require.ErrorIs(t, testCall(c, method, "/"), ErrOutcomeUnknown)
			for range idlePerHost {
				began := time.Now()
				require.NoError(t, testCall(c, method, "/"), method)
				require.Less(t, time.Since(began), testCallTimeout)
			}
			opened := s.opened()
			s.silent() // a second time
			require.ErrorIs(t, testCall(c, method, "/"), ErrOutcomeUnknown)
			require.NoError(t, testCall(c, method, "/"), method)
			require.LessOrEqual(t, s.opened(), opened+1)
		})
	}
}

// Guards against a silence that is noticed by the first of several calls only: those that
// are under way each cost their own timeout, and no later call costs another one.
func TestSilenceDuringSeveralCallsCostsEachOneTimeout(t *testing.T) {
	withService(t, func(t *testing.T, s *testService, c *HTTPClient) {
		fillPool(s, c, idlePerHost)
		s.silent()
		failed := make(chan error, idlePerHost)
		for range idlePerHost - 2 {
			go func() { failed <- testCall(c, http.MethodGet, "/") }()
		}
		for range idlePerHost - 2 {
			require.Error(t, <-failed)
		}
		for range idlePerHost {
			require.NoError(t, testCall(c, http.MethodPost, "/"))
		}
	})
}

// Guards against a connection that was opened for a call which another connection
// served: it is silent like the others, though it was never used.
func TestUnusedConnectionThatIsSilentIsNotUsed(t *testing.T) {
	withService(t, func(t *testing.T, s *testService, c *HTTPClient) {
		s.answerAfter(50 * time.Millisecond)
		go func() { _ = testCall(c, http.MethodGet, "/") }()
		time.Sleep(10 * time.Millisecond)
		// The second call is served from 50 to 100 ms on the connection of the first one.
		s.dialTime.Set(new(60 * time.Millisecond))
		require.NoError(t, testCall(c, http.MethodGet, "/"))
		time.Sleep(time.Second)
		require.Equal(t, 2, s.opened())
		s.answerAfter(0)
		s.dialTime.Set(nil)
		s.silent()
		require.Error(t, testCall(c, http.MethodPost, "/"))
		require.NoError(t, testCall(c, http.MethodPost, "/"))
	})
}

// Guards against sound connections that are closed at each call which a slow service does
// not answer in time: those that were heard meanwhile are used again.
func TestSlowCallsLeaveSoundConnectionsOpen(t *testing.T) {
	withService(t, func(t *testing.T, s *testService, c *HTTPClient) {
		s.delay.Set(new(func(path string) time.Duration {
			if path == "/slow" {
				return time.Minute
			}
			return 20 * time.Millisecond
		}))
		const callers, slowCalls = 4, 20
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan bool, callers)
		for range callers {
			go func() {
				for ctx.Err() == nil {
					_ = testCall(c, http.MethodGet, "/")
					time.Sleep(20 * time.Millisecond)
				}
				ended <- true
			}()
		}
		for range slowCalls {
			require.Error(t, testCall(c, http.MethodGet, "/slow"))
		}
		cancel()
		for range callers {
			<-ended
		}
		// A call that is given up closes its own connection.
		require.LessOrEqual(t, s.opened(), callers+slowCalls+1)
	})
}

// Guards against calls that their caller gives up, or has no time for, and that close
// sound connections.
func TestCallsThatProveNoSilenceLeaveConnectionsOpen(t *testing.T) {
	withService(t, func(t *testing.T, s *testService, c *HTTPClient) {
		fillPool(s, c, idlePerHost)
		s.answerAfter(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(2*time.Second, cancel)
		_, err := c.Do(ctx, Request{Method: http.MethodGet, Path: "/"})
		require.ErrorIs(t, err, context.Canceled)
		limited, cancel := context.WithTimeout(t.Context(), silenceTime-time.Millisecond)
		defer cancel()
		_, err = c.Do(limited, Request{Method: http.MethodGet, Path: "/"})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		s.answerAfter(0)
		opened := s.opened()
		for range idlePerHost {
			require.NoError(t, testCall(c, http.MethodGet, "/"))
		}
		require.Equal(t, opened, s.opened())
	})
}
