package link

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// blockingCloseConn is a socket whose Close blocks until release is closed, as
// it can in a busy process, and whose writes can be made to fail.
type blockingCloseConn struct {
	net.Conn
	closing    chan struct{} // receives a value when Close is called
	release    chan struct{}
	failWrites chan struct{} // when closed, writes fail
}

func newBlockingCloseConn(sock net.Conn) *blockingCloseConn {
	return &blockingCloseConn{sock, make(chan struct{}, 8), make(chan struct{}), make(chan struct{})}
}

func (c *blockingCloseConn) Close() error {
	c.closing <- struct{}{}
	<-c.release
	return c.Conn.Close()
}

func (c *blockingCloseConn) Write(b []byte) (int, error) {
	select {
	case <-c.failWrites:
		return 0, errors.New("broken pipe")
	default:
		return c.Conn.Write(b)
	}
}

// blockingCloseLink returns a link over a blockingCloseConn to a peer that only
// reads.
func blockingCloseLink(t *testing.T) (*muxConn, *blockingCloseConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	near := rawDial(t, l.Addr().String())
	far, err := l.Accept()
	require.NoError(t, err)
	g := actor.NewGroup(t.Context(), nil)
	t.Cleanup(g.Stop)
	sock := newBlockingCloseConn(near)
	accepted := make(chan error, 1)
	go func() {
		mux, control, err := acceptHandshake(context.WithoutCancel(t.Context()), far)
		if err == nil {
			t.Cleanup(func() { _ = closeSession(far, mux) })
			_, err = control.Read(make([]byte, 1))
		}
		accepted <- err
	}()
	mux, control, err := dialHandshake(t.Context(), sock)
	require.NoError(t, err)
	t.Cleanup(func() { <-accepted })
	return newMuxConn(g, sock, mux, control), sock
}

// Guards against a yamux session that is shut down before its socket is closed.
// A reader of yamux busy-waits from the shutdown of the session until its
// streams are closed, which happens after the close of the socket. In trouble-2
// and trouble-3 of nilegate-permits an entry used minutes of processor time for
// this.
func TestSocketIsClosedBeforeTheSessionIsShutDown(t *testing.T) {
	c, sock := blockingCloseLink(t)
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	<-sock.closing
	require.False(t, c.mux.IsClosed())
	close(sock.release)
	require.NoError(t, <-closed)
	require.True(t, c.mux.IsClosed())
}

// Guards against a failed write after which yamux shuts the session down before
// the socket is closed, so that readers busy-wait as in the test above.
func TestSocketIsClosedBeforeAFailedWriteShutsTheSessionDown(t *testing.T) {
	c, sock := blockingCloseLink(t)
	close(sock.failWrites)
	sent := make(chan error, 1)
	go func() { sent <- c.Send(&msg.Heartbeat{}) }()
	<-sock.closing
	require.False(t, c.mux.IsClosed())
	close(sock.release)
	require.ErrorIs(t, <-sent, ErrClosed)
	require.NoError(t, c.Close())
}
