package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

func startBackend(t *testing.T, c BackendConfig) (b *Backend, address string) {
	g := newGroup(t)
	b = NewBackend(g, c)
	return b, serveOnLoopback(t, g, b.Serve)
}

// requireEventually polls a condition that another goroutine fulfils.
func requireEventually(t *testing.T, condition func() bool) {
	require.Eventually(t, condition, 10*time.Second, time.Millisecond)
}

func (b *Backend) mustState(t *testing.T) BackendState {
	s, err := b.State(t.Context())
	require.NoError(t, err)
	return s
}

// Guards against a request above the slot limit that is served instead of being
// refused and counted as a violation, and against a response that ends at the
// client before its slot is free: the client's next request would then be
// counted as a violation.
func TestSlotLimitIsEnforcedAndCounted(t *testing.T) {
	b, address := startBackend(t, BackendConfig{Slots: 2})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 200 {
		resp, err := client.Get("http://" + address + "/bytes?n=100000")
		require.NoError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.EqualValues(t, 100000, n)
		require.Zero(t, b.mustState(t).Running)
	}
	for range 2 {
		go func() {
			resp, err := client.Get("http://" + address + "/sleep?ms=3600000")
			if err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	requireEventually(t, func() bool { return b.mustState(t).Running == 2 })
	resp, err := client.Get("http://" + address + "/echo")
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, 1, b.mustState(t).SlotViolations)
	log, err := b.Log(t.Context())
	require.NoError(t, err)
	require.Equal(t, "refused", log[202].End)
}

// Guards against connections above the limit that are neither closed nor counted
// as violations, and against closed connections that stay counted.
func TestConnectionLimitIsEnforcedAndCounted(t *testing.T) {
	b, address := startBackend(t, BackendConfig{Connections: 2})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	dial()
	_, err := dial().Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, 1, b.mustState(t).ConnectionViolations)
	require.NoError(t, first.Close())
	requireEventually(t, func() bool { return b.mustState(t).Connections == 1 })
}

// Guards against altered response bodies, and against a simulated reset or
// truncation that the client cannot tell from a complete response.
func TestBackendResponses(t *testing.T) {
	b, address := startBackend(t, BackendConfig{})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(method, uri, body string) (string, error) {
		req, err := http.NewRequest(method, "http://"+address+uri, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set(KeyHeader, uri)
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		return resp.Header.Get("X-Echo-Method") + resp.Header.Get("X-Echo-Uri") + string(raw), err
	}
	big := strings.Repeat("0123456789", 200_000)
	got, err := send("PUT", "/echo//a%2Fb?c=d&e", big)
	require.NoError(t, err)
	require.Equal(t, "PUT/echo//a%2Fb?c=d&e"+big, got)
	for _, want := range []string{"1\n", "2\n"} {
		got, err = send("POST", "/count?key=k", "ignored")
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	got, err = send("GET", "/count?key=k", "")
	require.NoError(t, err)
	require.Equal(t, "2\n", got)
	for _, f := range []Fault{FaultReset, FaultTruncate} {
		for _, n := range []string{"1", "10", "1000000"} {
			got, err = send("GET", "/bytes?n="+n+"&fault="+string(f), "")
			require.Error(t, err, f)
			require.Less(t, len(got), 1000000)
		}
	}
	log, err := b.Log(t.Context())
	require.NoError(t, err)
	require.Equal(t, "/count?key=k", log[1].Key)
	require.Equal(t, "complete", log[1].End)
	require.Equal(t, "failed", log[len(log)-1].End)
}

// Guards against a backend server that does not announce itself, does not send
// the request to drain, or continues to announce after the agent accepted it.
func TestBackendAnnouncesAndDrains(t *testing.T) {
	g := newGroup(t)
	paths := make(chan string, 100)
	agent := serveOnLoopback(t, g, (&announceRecorder{paths}).serve)
	b, _ := startBackend(t, BackendConfig{Service: "permit-desk", Address: "127.0.0.1:1", Agent: "http://" + agent})
	announced, ok := strings.CutPrefix(<-paths, "/v1/announce ")
	require.True(t, ok)
	var a Announcement
	require.NoError(t, json.Unmarshal([]byte(announced), &a))
	require.NotEmpty(t, a.Instance)
	require.Equal(t, `{"service":"permit-desk","address":"127.0.0.1:1","slots":8,"connections":64,"instance":"`+a.Instance+`"}`, announced)
	_, err := b.Control(t.Context(), BackendControl{Drain: true})
	require.NoError(t, err)
	require.Equal(t, "/v1/drain "+announced, <-paths)
	requireEventually(t, func() bool { return b.mustState(t).State == "drained" })
}

// announceRecorder is an agent that sends the path and the body of each request
// to posts.
type announceRecorder struct{ posts chan string }

func (r *announceRecorder) serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		raw, _ := io.ReadAll(req.Body)
		r.posts <- req.URL.Path + " " + string(raw)
	})})
}

// Guards against counting a violation when a client cancels a request and sends
// another before the server has noticed the cancellation. Guards also against a
// backend server that cannot be used in the virtual time of testing/synctest.
func TestOverlapWithCancelledRequestIsNoViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		b := NewBackend(g, BackendConfig{Slots: 1})
		l := NewMemoryListener()
		actor.Go(g, "server", func(ctx context.Context) error { return b.Serve(ctx, l) })
		client := &http.Client{Transport: &http.Transport{DialContext: l.Dial, DisableKeepAlives: true}}
		ctx, cancel := context.WithCancel(t.Context())
		get := func(ctx context.Context, uri string) (int, error) {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://backend"+uri, nil)
			require.NoError(t, err)
			resp, err := client.Do(req)
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, resp.Body.Close()
		}
		long := make(chan error)
		go func() {
			_, err := get(ctx, "/sleep?ms=3600000")
			long <- err
		}()
		synctest.Wait()
		go cancel()
		status, err := get(t.Context(), "/echo")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.ErrorIs(t, <-long, context.Canceled)
		synctest.Wait()
		state := b.mustState(t)
		require.Zero(t, state.SlotViolations)
		require.Zero(t, state.Running)
		require.Equal(t, 1, state.MaxRunning)
		require.Zero(t, state.Connections)
	})
}
