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
	// acceptBacklog bounds the streams that the peer has opened and this
	// process has not accepted. The credits of one backend server are far
	// fewer.
	acceptBacklog = 256
	// writeTimeout bounds the wait for the socket, not for a stream's window.
	writeTimeout = 4 * time.Second
	// closeTimeout bounds the wait for the peer to close a stream that this
	// process has closed. When it expires, yamux resets the stream and the peer
	// loses what it has not read, so the time has to suffice for a slow caller to read
	// the last window of a response.
	closeTimeout = 5 * time.Minute
)

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// Heartbeats on the control stream detect a silent peer. After a missed
	// ping yamux would end the session outside its receive loop; see
	// sessionConn.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = closeTimeout
	c.StreamOpenTimeout = 0 // costs a goroutine per stream; heartbeats detect a silent peer
	c.LogOutput = io.Discard
	return c
}

// muxConn is a Conn over one yamux session. Its actor owns the session and the
// socket. ctx ends with the link; its cause is the first error of the link.
type muxConn struct {
	remote  string
	mux     *session
	control *yamux.Stream
	in      envelopeReader // of the control stream
	out     envelopeWriter // of the control stream
	group   *actor.Group
	ctx     context.Context
	cancel  context.CancelCauseFunc
	streams chan streamChange
	done    <-chan struct{} // closed when the link's actor has ended
}

// newMuxConn starts the actor of a link in g. The actor takes ownership of sock
// and mux.
func newMuxConn(g *actor.Group, sock net.Conn, mux *session, control *yamux.Stream) *muxConn {
	c := &muxConn{remote: sock.RemoteAddr().String(), mux: mux, control: control, group: g.Sub()}
	c.in = envelopeReader{src: control, maxPayload: wire.MaxControl, maxBuffer: maxControlBuffer}
	c.out = envelopeWriter{dst: control}
	c.ctx, c.cancel = context.WithCancelCause(c.group.Context())
	c.streams = make(chan streamChange, streamChanges)
	readFailed, waitsEnded := make(chan error, 1), make(chan struct{})
	c.done = actor.Go(c.group, "link", func(context.Context) error {
		streams := c.trackStreams(readFailed)
		for raw := range streams {
			endWaits(raw)
		}
		close(waitsEnded)
		_ = closeSession(sock, mux)
		c.group.Cancel()
		return nil
	})
	// The session is shut down only after the waits of its streams have been
	// ended.
	holdShutdown := func(err error) {
		readFailed <- err // does not block: a session has one failed read
		select {
		case <-waitsEnded:
		case <-c.done:
		}
	}
	mux.readFailed.Set(&holdShutdown)
	return c
}

// fail ends the link with err, unless it has ended already, and returns the
// error with which it ended.
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

// endError returns the error with which the link ended.
func (c *muxConn) endError() error {
	err := context.Cause(c.ctx)
	if isProtocolError(err) || isClosedError(err) {
		return err
	}
	return fmt.Errorf("link with %s: %w", c.remote, ErrClosed) // the group was stopped
}

// isProtocolError reports whether the peer violated the protocol.
func isProtocolError(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrVersion)
}

func isClosedError(err error) bool { return errors.Is(err, ErrClosed) }

// shutdownError returns the error with which a closed session ended.
// AcceptStream of yamux returns it, but may first return streams that were not
// accepted.
func shutdownError(mux *session) error {
	err := yamux.ErrSessionShutdown
	for range acceptBacklog + 1 {
		if _, acceptErr := mux.AcceptStream(); acceptErr != nil && !errors.Is(acceptErr, yamux.ErrSessionShutdown) {
			return muxError(acceptErr)
		}
	}
	return fmt.Errorf("%w: %v", ErrClosed, err)
}

// muxError wraps an error of yamux in ErrMalformed if the peer violated the
// protocol of yamux, and in ErrClosed otherwise.
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
	if c.ctx.Err() != nil { // the link's actor may not have closed the socket yet
		return c.endError()
	}
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

// OpenStream calls OpenStream of yamux in a separate actor, because that call
// takes no context and blocks while the peer accepts no streams.
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

// Shutdown closes the control stream, whose end the peer receives after all
// messages. Meanwhile the session goes on to read the socket: a socket that is
// closed with unread bytes is reset, and the peer then loses what it has not read.
// Close of yamux can wait for the socket, so an actor calls it.
func (c *muxConn) Shutdown(ctx context.Context) error {
	actor.Go(c.group, "half-close", func(context.Context) error {
		_ = c.control.Close() // fails only if the link has ended
		return nil
	})
	var err error
	select {
	case <-c.ctx.Done():
	case <-ctx.Done():
		err = ctx.Err()
	}
	_ = c.Close()
	return err
}

func (c *muxConn) RemoteAddr() string { return c.remote }
