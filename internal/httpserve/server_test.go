package httpserve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// pipeListener accepts in-memory connections, which work in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection; the server reads through
// wrap.
func (l *pipeListener) dial(wrap func(net.Conn) net.Conn) *caller {
	here, there := net.Pipe()
	l.conns <- wrap(there)
	return &caller{conn: here, in: bufio.NewReader(here)}
}

func unwrapped(c net.Conn) net.Conn { return c }

// caller is the caller's end of a connection.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

func (c *caller) send() error {
	_, err := io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	return err
}

// answer reads an answer to its end.
func (c *caller) answer() (*http.Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

func start(t *testing.T, l net.Listener, h http.Handler) *Server {
	g := actor.NewGroup(t.Context(), nil)
	t.Cleanup(g.Stop)
	return Start(g, l, Config{Name: "callers", Handler: h, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, MaxHeaderBytes: 16 << 10})
}

// Guards against counts that do not show a request which the server cut.
func TestCountsTellAnsweredCutAndAbandonedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		arrived, proceed := make(chan struct{}), make(chan struct{})
		s := start(t, l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.ContentLength == 2 {
				arrived <- struct{}{}
				<-proceed
			}
		}))
		c := l.dial(unwrapped)
		require.NoError(t, c.send())
		<-arrived
		require.Equal(t, Counts{Open: 1, InFlight: 1}, s.Counts())
		proceed <- struct{}{}
		_, err := c.answer()
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, Counts{Open: 1, Answered: 1}, s.Counts())

		require.NoError(t, c.send())
		<-arrived
		require.NoError(t, c.conn.Close())
		synctest.Wait()
		proceed <- struct{}{}
		synctest.Wait()
		require.Equal(t, Counts{Answered: 1, Gone: 1}, s.Counts())

		c = l.dial(unwrapped)
		require.NoError(t, c.send())
		<-arrived
		require.NoError(t, s.http.Close())
		proceed <- struct{}{}
		synctest.Wait()
		require.Equal(t, Counts{Answered: 1, Gone: 1, Cut: 1}, s.Counts())
	})
}
