package httpserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// lateListener accepts no connection before it is released, like that of a process that
// gets no processor.
type lateListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// Guards against requests that a stopping entry resets: it got no processor for 2.3 s,
// closed its listener as soon as it ran again, and had not accepted the connections
// that were opened meanwhile.
func TestWaitingConnectionsAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	const callers = 40
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	late := lateListener{l.(*net.TCPListener), make(chan struct{})}
	g := actor.NewGroup(t.Context(), nil)
	defer g.Stop()
	s := Start(g, late, Config{Name: "test", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hi")
	}), IdleTimeout: time.Minute})
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	s.EndIdle()
	close(late.release)
	for i, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "caller %d", i)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
	require.NoError(t, s.Close(t.Context()))
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err, "the listener is closed")
	require.EqualValues(t, callers, s.Counts().Answered)
}

// Guards against a listener that callers keep open for the whole drain because they
// connect again as soon as they were answered.
func TestCallersThatConnectAgainDoNotKeepTheListenerOpen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := actor.NewGroup(t.Context(), nil)
	defer g.Stop()
	s := Start(g, l, Config{Name: "test", Handler: http.NotFoundHandler(), IdleTimeout: time.Minute})
	for range 8 {
		actor.Go(g, "caller", func(ctx context.Context) error {
			for ctx.Err() == nil {
				if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
					_ = conn.Close()
				} else {
					actor.Sleep(ctx, time.Millisecond)
				}
			}
			return nil
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.EndIdle()
	require.Eventually(t, s.accepted.Get, 2*time.Second, time.Millisecond)
}
