package httpserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/httpserve/servetest"
)

// dial returns the caller's end of a new connection, see servetest.Listener.Dial.
func dial(l *servetest.Listener, wrap func(net.Conn) net.Conn) *caller {
	here := l.Dial(wrap)
	return &caller{conn: here, in: bufio.NewReader(here)}
}

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

func echo() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = w.Write(body)
		}
	})
}

func start(t *testing.T, l net.Listener, h http.Handler) *Server {
	g := actor.NewGroup(t.Context(), nil)
	t.Cleanup(g.Stop)
	return Start(g, l, Config{Name: "callers", Handler: h, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, MaxHeaderBytes: 16 << 10})
}

const closeTimeout = 2 * time.Second

// Guards against a request that is read from an idle connection and not
// answered because the server closes idle connections at that moment.
func TestCloseAnswersARequestThatWasJustRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := servetest.Listen(t.Context())
		s := start(t, l, echo())
		held := servetest.NewHeldConn()
		c := dial(l, held.Wrap)
		require.NoError(t, c.send())
		_, err := c.answer()
		require.NoError(t, err)

		held.Hold <- true
		sent := actor.NewReply[error]()
		go func() { sent.Put(c.send()) }()
		<-held.Held // the server has the request, and net/http does not know it yet
		closed := actor.NewReply[error]()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			closed.Put(s.Close(ctx))
		}()
		synctest.Wait()
		held.Released <- struct{}{}
		_, err = c.answer()
		require.NoError(t, err)
		require.NoError(t, <-closed.C())
		require.NoError(t, <-sent.C())
		require.Equal(t, Counts{Answered: 2}, s.Counts())
	})
}

// Guards against counts that do not show a request which the server cut.
func TestCountsTellAnsweredCutAndAbandonedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := servetest.Listen(t.Context())
		arrived, proceed := make(chan struct{}), make(chan struct{})
		s := start(t, l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			// net/http notices the end of the caller only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			arrived <- struct{}{}
			<-proceed
		}))
		c := dial(l, nil)
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

		c = dial(l, nil)
		require.NoError(t, c.send())
		<-arrived
		require.NoError(t, s.http.Close())
		proceed <- struct{}{}
		synctest.Wait()
		require.Equal(t, Counts{Answered: 1, Gone: 1, Cut: 1}, s.Counts())
	})
}

// Guards against a body that is cut because its connection is interrupted
// between the first and the last byte of the request.
func TestCloseWaitsForTheRestOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := servetest.Listen(t.Context())
		s := start(t, l, echo())
		for _, first := range []string{"P", "POST / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh"} {
			whole := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
			c := dial(l, nil)
			_, err := io.WriteString(c.conn, first)
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.conn.Close() })
			defer func() {
				_, err := io.WriteString(c.conn, whole[len(first):])
				require.NoError(t, err)
				resp, err := c.answer()
				require.NoError(t, err, first)
				require.True(t, resp.Close)
			}()
		}
		synctest.Wait()
		go func() { _ = s.Close(t.Context()) }()
		time.Sleep(10 * lastReadTime)
	})
}

// Guards against an idle connection that is reset although its caller has sent
// a request: the request is answered if it was sent before the close, and the
// callers of the other connections see their end and no reset.
func TestIdleConnectionsEndWithoutAReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := start(t, l, echo())
	callers := make([]*caller, 20)
	for i := range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		callers[i] = &caller{conn: conn, in: bufio.NewReader(conn)}
		require.NoError(t, callers[i].send())
		_, err = callers[i].answer()
		require.NoError(t, err)
	}
	for _, c := range callers[:10] {
		require.NoError(t, c.send())
	}
	closed := actor.NewReply[error]()
	go func() { closed.Put(s.Close(context.Background())) }()
	for _, c := range callers[:10] {
		_, err := c.answer()
		require.NoError(t, err)
	}
	for _, c := range callers {
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, c.conn.Close())
	}
	require.NoError(t, <-closed.C())
	require.Equal(t, Counts{Answered: 30}, s.Counts())
}

// Guards against a handler that holds a request beyond the end of the process:
// it learns that its time is up, and its answer is still sent.
func TestCancelledRequestsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, arrived := servetest.Listen(t.Context()), make(chan struct{})
		s := start(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			w.WriteHeader(http.StatusGatewayTimeout)
		}))
		c := dial(l, nil)
		require.NoError(t, c.send())
		<-arrived
		go func() { _ = s.Close(t.Context()) }()
		synctest.Wait()
		s.CancelRequests()
		resp, err := c.answer()
		require.NoError(t, err)
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
		require.True(t, resp.Close) // although the request began before the close
	})
}

// Guards against a request that is discarded because the interruption of its
// connection comes after the reader has begun the last read: a read with a
// deadline that has passed fails without trying the socket.
func TestLateInterruptionDoesNotDiscardARequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	far, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	near, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	closing, cancel := context.WithCancel(t.Context())
	cancel()
	c := &conn{Conn: near, server: &Server{closing: closing}, lastRead: time.Now().Add(time.Minute)}
	c.awaiting.Set(true)
	_, err = io.WriteString(far, "GET")
	require.NoError(t, err)
	c.interrupt()
	n, err := c.Read(make([]byte, 8))
	require.NoError(t, err)
	require.Equal(t, 3, n)
}

// slowListener delays connections between their acceptance and the return of Accept.
type slowListener struct {
	*servetest.Listener
	delay time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return c, err
}

// Guards against a request that is cut because its connection was accepted just before
// the server closed: no connection was open at that moment, and the process ended while
// it was read.
func TestCloseWaitsForAConnectionThatWasJustAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowListener{servetest.Listen(t.Context()), 100 * time.Millisecond}
		s := start(t, l, echo())
		c := dial(l.Listener, nil)
		closed := actor.NewReply[error]()
		go func() { closed.Put(s.Close(context.Background())) }()
		sent := actor.NewReply[error]()
		go func() { sent.Put(c.send()) }()
		time.Sleep(50 * time.Millisecond)
		require.False(t, s.Quiet())
		resp, err := c.answer()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, c.conn.Close())
		require.NoError(t, <-closed.C())
		require.NoError(t, <-sent.C())
		require.Equal(t, Counts{Answered: 1}, s.Counts())
	})
}
