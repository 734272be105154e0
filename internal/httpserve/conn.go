package httpserve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server   *Server
	accepted int // connections that were accepted while the listener ends
}

// deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface {
	SetDeadline(time.Time) error
}

const (
	// lastAcceptTime is how long a listener that ends waits for one more connection.
	lastAcceptTime = time.Millisecond
	// maxLastAccepts bounds the connections that a listener accepts while it ends, so
	// that callers who connect again at once do not keep it open.
	maxLastAccepts = 512
)

// acceptWaiting accepts a connection that was opened before the listener ends, and
// closes the listener if none waits. A listener that is closed resets the connections
// that wait. Their callers may have sent requests while this process had no processor.
func (l *listener) acceptWaiting() (net.Conn, error) {
	d, ok := l.Listener.(deadlineListener)
	// The deadline that EndIdle sets at the same time can end one attempt.
	for attempts := 2; ok && attempts > 0 && l.accepted < maxLastAccepts && d.SetDeadline(time.Now().Add(lastAcceptTime)) == nil; attempts-- {
		c, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			l.accepted++
			return c, err
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// accept accepts connections until EndIdle, and then those that wait.
func (l *listener) accept() (net.Conn, error) {
	if l.server.closing.Err() != nil {
		return l.acceptWaiting()
	}
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptWaiting()
	}
	return c, err
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	l.server.open.Add(1)
	wrapped := &conn{Conn: c, server: l.server}
	wrapped.awaiting.Set(true)
	wrapped.forgetEnd = context.AfterFunc(l.server.closing, wrapped.interrupt)
	return wrapped, nil
}

// conn is a connection of a caller. It is used by the goroutine of net/http that
// serves the connection and by the background reader that this goroutine starts,
// which may still run when the connection is closed.
type conn struct {
	net.Conn
	server    *Server
	forgetEnd func() bool            // undoes the registration of interrupt
	wanted    actor.Value[time.Time] // the read deadline that net/http has set
	lastRead  time.Time              // when the last read of an idle connection ends; zero: not begun

	awaiting actor.Flag // no byte of the next request has been read
	handled  actor.Flag // the handler of the current request has returned
	gone     actor.Flag // the caller closed the connection during the request
	failed   actor.Flag // the answer could not be written to the connection, which this process had closed
}

// lastReadTime is how long an idle connection is read once more before it ends.
// A request that has arrived by then is answered.
const lastReadTime = 50 * time.Millisecond

// Read implements net.Conn. It reports the end of the connection to net/http when
// the server closes and no request has begun.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if c.awaiting.Get() && c.server.closing.Err() != nil {
			if c.lastRead.IsZero() {
				c.lastRead = time.Now().Add(lastReadTime)
			}
			// Set before each read, because interrupt may come after the first.
			_ = c.Conn.SetReadDeadline(c.lastRead)
		}
		n, err := c.Conn.Read(p)
		switch {
		case n > 0:
			c.begin()
		case errors.Is(err, os.ErrDeadlineExceeded) && c.interrupted():
			if c.awaiting.Get() && !c.lastRead.IsZero() && !time.Now().Before(c.lastRead) {
				c.hangUp()
				return 0, io.EOF
			}
			c.restoreDeadline()
			continue
		}
		// A caller that closes after the answer is not gone.
		if err != nil && !c.awaiting.Get() && !c.handled.Get() && !errors.Is(err, os.ErrDeadlineExceeded) && !closedHere(err) {
			c.gone.Set(true)
		}
		return n, err
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.wanted.Set(&t)
	return c.Conn.SetReadDeadline(t)
}

// interrupt ends the current Read of the connection, which then decides whether
// the connection is idle. Only the reader knows that: a check here could
// interrupt a request whose first byte has just been read.
func (c *conn) interrupt() {
	_ = c.Conn.SetReadDeadline(time.Now())
}

// interrupted reports whether a deadline that has passed is that of interrupt or
// of the last read, and not one of net/http.
func (c *conn) interrupted() bool {
	wanted := c.wanted.Get()
	return c.server.closing.Err() != nil && (wanted == nil || wanted.IsZero() || time.Now().Before(*wanted))
}

// restoreDeadline sets the deadline of net/http again. net/http may set another
// one at the same time, so the newest is set until none is newer.
func (c *conn) restoreDeadline() {
	for {
		wanted := c.wanted.Get()
		var t time.Time
		if wanted != nil {
			t = *wanted
		}
		_ = c.Conn.SetReadDeadline(t)
		if c.wanted.Get() == wanted {
			return
		}
	}
}

// hangUpTime bounds the wait for the caller to close its end.
const hangUpTime = 100 * time.Millisecond

// hangUp closes the sending half of an idle connection and discards what still
// arrives until the caller closes its half. A socket that is closed with unread
// bytes is reset, and the caller could not tell that from a lost answer.
func (c *conn) hangUp() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(hangUpTime))
	n, _ := io.Copy(io.Discard, c.Conn) // the deadline ends it if the caller does not
	if n > 0 {
		c.server.discarded.Add(1)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	switch {
	case err == nil:
	case closedHere(err):
		c.failed.Set(true)
	default:
		c.gone.Set(true)
	}
	return n, err
}

// closedHere reports whether an error means that this process has closed the
// connection. io.ErrClosedPipe is that of net.Pipe.
func closedHere(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe)
}

// begin counts a request when its first byte has been read.
func (c *conn) begin() {
	if c.awaiting.Get() {
		c.awaiting.Set(false)
		c.handled.Set(false)
		c.server.inFlight.Add(1)
	}
}

// settle counts the end of a request. By then net/http has written the whole
// answer, or has failed to.
func (c *conn) settle() {
	if c.awaiting.Get() {
		return
	}
	c.awaiting.Set(true)
	switch {
	case c.gone.Get():
		c.server.gone.Add(1)
	case c.failed.Get(), !c.handled.Get():
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
		c.forgetEnd()
		c.server.open.Add(-1)
		c.server.notifySettled()
	}
}
