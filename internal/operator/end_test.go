package operator

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
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/model"
)

// oneConn is a listener that accepts one in-memory connection.
type oneConn struct {
	conns  chan net.Conn
	closed context.Context
	close  context.CancelFunc
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
}

func (l *oneConn) Close() error   { l.close(); return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// heldConn passes on what it has read only when it is released, as if the reading
// goroutine had no processor yet.
type heldConn struct {
	net.Conn
	hold     chan bool // holds a value: the next Read is held
	held     chan struct{}
	released chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.hold:
		c.held <- struct{}{}
		<-c.released
	default:
	}
	return n, err
}

// operatorConn is an operator's connection to the API of a fixture.
type operatorConn struct {
	here   net.Conn
	in     *bufio.Reader
	server *heldConn
}

func (f *fixture) serveOne() *operatorConn {
	l := &oneConn{conns: make(chan net.Conn)}
	l.closed, l.close = context.WithCancel(f.t.Context())
	f.api.Serve(f.group, l)
	here, there := net.Pipe()
	c := &operatorConn{here: here, in: bufio.NewReader(here), server: &heldConn{
		Conn: there, hold: make(chan bool, 1), held: make(chan struct{}), released: make(chan struct{}),
	}}
	l.conns <- c.server
	return c
}

func (c *operatorConn) send(path string) error {
	_, err := io.WriteString(c.here, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// status reads an answer to its end and returns its status, or 0.
func (c *operatorConn) status() int {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// closeTimeout is the limit of Close in these tests.
const closeTimeout = time.Minute

func (f *fixture) closeAPI() actor.Reply[error] {
	closed := actor.NewReply[error]()
	go func() {
		ctx, cancel := context.WithTimeout(f.t.Context(), closeTimeout)
		defer cancel()
		closed.Put(f.api.Close(ctx))
	}()
	return closed
}

// Guards against an operator's request that is read from an idle connection and
// not answered because the entry ends at that moment: Shutdown of net/http closes
// connections that it takes for idle.
func TestEndOfTheAPIAnswersARequestThatWasJustRead(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		c := f.serveOne()
		require.NoError(f.t, c.send("/healthz"))
		require.Equal(f.t, 200, c.status())
		c.server.hold <- true
		sent := actor.NewReply[error]()
		go func() { sent.Put(c.send("/healthz")) }()
		<-c.server.held // the server has the request, and net/http does not know it yet
		closed := f.closeAPI()
		synctest.Wait()
		c.server.released <- struct{}{}
		require.Equal(f.t, 200, c.status())
		require.NoError(f.t, <-sent.C())
		require.NoError(f.t, <-closed.C())
	})
}

// Guards against a wait for a configuration that holds up the end of the entry,
// and against one that is cut without an answer.
func TestEndOfTheAPIAnswersAWaitForAConfiguration(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		f.store.status = configstore.Status{Version: 3, Daemons: []model.AppliedVersion{{Daemon: "w1", Version: 2}}}
		c := f.serveOne()
		require.NoError(f.t, c.send("/v1/config/status?wait=50s"))
		synctest.Wait()
		started, closed := time.Now(), f.closeAPI()
		require.NotZero(f.t, c.status())
		require.NoError(f.t, <-closed.C())
		require.LessOrEqual(f.t, time.Since(started), answerTime+time.Second)
	})
}
