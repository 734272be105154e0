package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

const (
	acceptBacklog = 256 // streams; far above the credits of one backend server
	// writeTimeout bounds the wait for the socket, not for a stream's window.
	writeTimeout = 4 * time.Second
	// closeTimeout frees a stream that the peer does not close in turn. yamux
	// then resets it and the peer loses what it has not read, so the time has
	// to suffice for a slow caller to read the last window of a response.
	closeTimeout = 5 * time.Minute
)

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// Heartbeats on the control stream detect a silent peer. yamux's own pings
	// shut the session down before the socket is closed, see closeSocket.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = closeTimeout
	c.StreamOpenTimeout = 0 // costs a goroutine per stream; the heartbeats cover it
	c.LogOutput = io.Discard
	return c
}

// muxConn is a Conn over one yamux session. Its actor owns the session and
// with it the socket; the first error becomes the cause of ctx.
type muxConn struct {
	remote  string
	mux     *yamux.Session
	control *yamux.Stream
	in      envelopeReader
	out     envelopeWriter
	group   *actor.Group
	ctx     context.Context
	cancel  context.CancelCauseFunc
	done    <-chan struct{}
}

func newMuxConn(g *actor.Group, sock net.Conn, mux *yamux.Session, control *yamux.Stream) *muxConn {
	c := &muxConn{remote: sock.RemoteAddr().String(), mux: mux, control: control, group: g.Sub()}
	c.in = envelopeReader{src: control, maxPayload: wire.MaxControl, maxBuffer: maxControlBuffer}
	c.out = envelopeWriter{dst: control}
	c.ctx, c.cancel = context.WithCancelCause(c.group.Context())
	c.done = actor.Go(c.group, "link", func(context.Context) error {
		select {
		case <-c.ctx.Done():
		case <-mux.CloseChan():
			_ = c.fail(io.EOF)
		}
		_ = closeSocket(sock, mux)
		c.group.Cancel()
		return nil
	})
	return c
}

// closeSocket ends a session by way of its socket. yamux closes the socket
// after it has told the readers of streams, and these spin until it has closed
// their streams; with the socket closed before, nothing waits in between.
func closeSocket(sock net.Conn, mux *yamux.Session) error {
	err := sock.Close()
	<-mux.CloseChan() // the session's reader has met the closed socket
	if closeErr := mux.Close(); closeErr != nil {
		return closeErr
	}
	return err
}

// fail ends the link for the reason err, unless it has ended already, and
// returns the error with which it ended.
func (c *muxConn) fail(err error) error {
	if c.ctx.Err() != nil {
		return c.endError()
	}
	if c.mux.IsClosed() && !isProtocolError(err) {
		err = shutdownError(c.mux)
	}
	if !isProtocolError(err) && !isClosedError(err) {
		err = fmt.Errorf("%w: %v", ErrClosed, err)
	}
	c.cancel(fmt.Errorf("link with %s: %w", c.remote, err))
	return c.endError()
}

// ended returns the error with which the link ended.
func (c *muxConn) endError() error {
	err := context.Cause(c.ctx)
	if isProtocolError(err) || isClosedError(err) {
		return err
	}
	return fmt.Errorf("link with %s: %w", c.remote, ErrClosed) // the group was stopped
}

func isProtocolError(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrVersion)
}

func isClosedError(err error) bool { return errors.Is(err, ErrClosed) }

// shutdownError returns why a closed session ended. yamux reports it from
// AcceptStream, after the streams that were not accepted.
func shutdownError(mux *yamux.Session) error {
	err := yamux.ErrSessionShutdown
	for range acceptBacklog + 1 {
		if _, acceptErr := mux.AcceptStream(); acceptErr != nil && !errors.Is(acceptErr, yamux.ErrSessionShutdown) {
			return muxError(acceptErr)
		}
	}
	return fmt.Errorf("%w: %v", ErrClosed, err)
}

func muxError(err error) error {
	for _, protocolErr := range []error{
		yamux.ErrInvalidVersion, yamux.ErrInvalidMsgType, yamux.ErrUnexpectedFlag, yamux.ErrRecvWindowExceeded,
		yamux.ErrDuplicateStream,
	} {
		if errors.Is(err, protocolErr) {
			return fmt.Errorf("%w: %v", ErrMalformed, err)
		}
	}
	return fmt.Errorf("%w: %v", ErrClosed, err)
}

func (c *muxConn) Send(m msg.Control) error {
	err := c.out.writeControl(m)
	if err == nil || errors.Is(err, ErrTooLarge) {
		return err
	}
	return c.fail(err)
}

func (c *muxConn) Receive() (msg.Control, error) {
	payload, err := c.in.next()
	if err != nil {
		return nil, c.fail(err)
	}
	m, err := wire.DecodeControl(payload)
	if err != nil {
		return nil, c.fail(err)
	}
	return m, nil
}

// OpenStream runs yamux's OpenStream in an actor of its own, because that
// waits without a context while the peer accepts no streams.
func (c *muxConn) OpenStream(ctx context.Context) (Stream, error) {
	if c.ctx.Err() != nil {
		return nil, c.endError()
	}
	opened := make(chan *yamux.Stream)
	failed := make(chan error, 1)
	actor.Go(c.group, "open-stream", func(context.Context) error {
		s, err := c.mux.OpenStream()
		if err != nil {
			failed <- err
			return nil
		}
		select {
		case opened <- s:
		case <-ctx.Done():
			_ = s.Close()
		}
		return nil
	})
	select {
	case s := <-opened:
		return c.newStream(s), nil
	case err := <-failed:
		return nil, c.fail(err)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *muxConn) AcceptStream(ctx context.Context) (Stream, error) {
	s, err := c.mux.AcceptStreamWithContext(ctx)
	switch {
	case err == nil:
		return c.newStream(s), nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, c.fail(err)
}

func (c *muxConn) Close() error {
	c.cancel(fmt.Errorf("link with %s: %w by this process", c.remote, ErrClosed))
	<-c.done
	return nil
}

func (c *muxConn) RemoteAddr() string { return c.remote }
