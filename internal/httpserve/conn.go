package httpserve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.open.Add(1)
	return &conn{Conn: c, server: l.server, awaiting: true}, nil
}

// conn is a connection of a caller. Its fields are used by the goroutine of
// net/http that serves the connection, and by the reader that this goroutine
// starts and awaits.
type conn struct {
	net.Conn
	server   *Server
	awaiting bool // no byte of the next request has been read
	handled  bool // the handler of the current request has returned
	gone     bool // the caller closed the connection during the request
	failed   bool // the answer could not be written to the connection, which this process had closed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begin()
	}
	if err != nil && !c.awaiting && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.gone = true
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	switch {
	case err == nil:
	case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		c.failed = true
	default:
		c.gone = true
	}
	return n, err
}

// begin counts a request when its first byte has been read.
func (c *conn) begin() {
	if c.awaiting {
		c.awaiting, c.handled, c.gone, c.failed = false, false, false, false
		c.server.inFlight.Add(1)
	}
}

// settle counts the end of a request. By then net/http has written the whole
// answer, or has failed to.
func (c *conn) settle() {
	if c.awaiting {
		return
	}
	c.awaiting = true
	switch {
	case c.gone:
		c.server.gone.Add(1)
	case c.failed, !c.handled:
		c.server.cut.Add(1)
	default:
		c.server.answered.Add(1)
	}
	c.server.inFlight.Add(-1)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState implements http.Server.ConnState. net/http calls it on the
// goroutine that serves the connection.
func connState(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	switch state {
	case http.StateIdle:
		c.settle()
	case http.StateClosed:
		c.settle()
		c.server.open.Add(-1)
	}
}
