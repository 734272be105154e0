package link

import (
	"context"
	"fmt"
	"io"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

const (
	memBacklog       = 256 // links of a listener, or streams of a link, that are not yet accepted
	memWindow        = 32  // frames of one stream and direction in transit
	memControlWindow = 256 // control messages of one direction in transit
)

type memDialer struct {
	net  *Memory
	name string
}

func (d memDialer) Dial(ctx context.Context, address string) (Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	reply := actor.NewReply[*memConn]()
	if err := d.net.ask(dialLink{path{d.name, address}, reply}); err != nil {
		return nil, err
	}
	c, err := reply.Get(ctx)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.established:
		return c, nil
	case <-c.ctx.Done():
		return nil, c.endError()
	case <-ctx.Done():
		_ = c.Close()
		return nil, ctx.Err()
	}
}

type memListener struct {
	name     string
	accepted chan *memConn
	ctx      context.Context
	cancel   context.CancelFunc
}

// offer adds the accepting end of a link to the accept queue, or closes it if
// the listener is closed or the queue is full. Only the pipe that delivers the
// connection calls it.
func (l *memListener) offer(c *memConn) {
	if l.ctx.Err() == nil {
		select {
		case l.accepted <- c:
			_ = c.enqueue(packet{kind: packetEstablished})
			return
		default:
		}
	}
	_ = c.Close()
}

func (l *memListener) Accept(ctx context.Context) (Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.ctx.Done():
		return nil, fmt.Errorf("listener %s: %w", l.name, ErrClosed)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memListener) Addr() string { return l.name }

func (l *memListener) Close() error {
	l.cancel()
	for {
		select {
		case c := <-l.accepted:
			_ = c.Close()
		default:
			return nil
		}
	}
}

// memConn is one end of an in-memory link. Messages are encoded, so that the
// processes of a test share no memory.
type memConn struct {
	local, remote      string
	ctx                context.Context
	cancel             context.CancelCauseFunc
	established        chan struct{} // closed when the dial has succeeded
	pipe               actor.Address[pipeMessage]
	peer               *memConn
	incoming, outgoing *direction // control messages
	accept             chan *memStream
	acceptWindow       chan struct{} // semaphore: the peer acquires a slot for each stream it opens
}

// newMemPair returns the two ends of a link between processes a and b.
func newMemPair(ctx context.Context, a, b string) (*memConn, *memConn) {
	ab, ba := newDirection(memControlWindow), newDirection(memControlWindow)
	connA, connB := newMemConn(ctx, a, b, ba, ab), newMemConn(ctx, b, a, ab, ba)
	connA.peer, connB.peer = connB, connA
	return connA, connB
}

func newMemConn(ctx context.Context, local, remote string, incoming, outgoing *direction) *memConn {
	c := &memConn{
		local: local, remote: remote, established: make(chan struct{}), incoming: incoming, outgoing: outgoing,
		accept: make(chan *memStream, memBacklog), acceptWindow: make(chan struct{}, memBacklog),
	}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	return c
}

// end ends this end of the link for the given reason.
func (c *memConn) end(reason string) {
	c.cancel(fmt.Errorf("link with %s: %w: %s", c.remote, ErrClosed, reason))
}

// endError returns the error with which this end of the link ended.
func (c *memConn) endError() error {
	if err := context.Cause(c.ctx); isProtocolError(err) || isClosedError(err) {
		return err
	}
	return fmt.Errorf("link with %s: %w", c.remote, ErrClosed)
}

// enqueue sends a packet to the pipe. If the far end has ended, the pipe drops
// the packet without an error; this end learns of that when the hangup packet
// arrives.
func (c *memConn) enqueue(p packet) error {
	if c.ctx.Err() != nil {
		return c.endError()
	}
	if err := c.pipe.Send(c.ctx, pipeMessage{packet: p}); err != nil && c.ctx.Err() != nil {
		return c.endError()
	}
	return nil
}

// send waits for a slot in the window of dir; done ends the wait.
func (c *memConn) send(dir *direction, done <-chan struct{}, data []byte) error {
	select {
	case dir.window <- struct{}{}:
		return c.enqueue(packet{kind: packetData, direction: dir, data: data})
	case <-done:
		return ErrClosed
	case <-c.ctx.Done():
		return c.endError()
	}
}

// receive returns the next payload. Payloads that arrived before the end of
// the link are returned before its error; done ends the wait.
func (c *memConn) receive(dir *direction, done <-chan struct{}) ([]byte, error) {
	select {
	case data, ok := <-dir.inbox:
		return dir.consume(data, ok)
	default:
	}
	select {
	case data, ok := <-dir.inbox:
		return dir.consume(data, ok)
	case <-done:
		return nil, ErrClosed
	case <-c.ctx.Done():
		select { // the pipe delivers earlier packets before it ends the link
		case data, ok := <-dir.inbox:
			return dir.consume(data, ok)
		default:
			return nil, c.endError()
		}
	}
}

// consume releases the slot of a message in the window and returns its
// payload, or io.EOF if the inbox is closed.
func (d *direction) consume(data []byte, ok bool) ([]byte, error) {
	if !ok {
		return nil, io.EOF
	}
	<-d.window
	return data[wire.HeaderSize:], nil
}

func (c *memConn) Send(m msg.Control) error {
	data, err := wire.AppendControl(nil, m)
	if err != nil {
		return err
	}
	return c.send(c.outgoing, nil, data)
}

func (c *memConn) Receive() (msg.Control, error) {
	payload, err := c.receive(c.incoming, nil)
	if err == io.EOF { // the peer shuts the link down
		_ = c.Close()
		return nil, c.endError()
	}
	if err != nil {
		return nil, err
	}
	return wire.DecodeControl(payload)
}

func (c *memConn) OpenStream(ctx context.Context) (Stream, error) {
	select {
	case c.peer.acceptWindow <- struct{}{}:
	case <-c.ctx.Done():
		return nil, c.endError()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	toPeer, fromPeer := newDirection(memWindow), newDirection(memWindow)
	if err := c.enqueue(packet{kind: packetOpen, stream: newMemStream(c.peer, toPeer, fromPeer)}); err != nil {
		return nil, err
	}
	return newMemStream(c, fromPeer, toPeer), nil
}

func (c *memConn) AcceptStream(ctx context.Context) (Stream, error) {
	select {
	case s := <-c.accept:
		<-c.acceptWindow
		return s, nil
	case <-c.ctx.Done():
		return nil, c.endError()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *memConn) Close() error {
	_ = c.enqueue(packet{kind: packetHangup})
	c.end("closed by this process")
	return nil
}

// Shutdown implements Conn. The far end closes the link when its Receive finds the
// end of the messages.
func (c *memConn) Shutdown(ctx context.Context) error {
	_ = c.enqueue(packet{kind: packetEnd, direction: c.outgoing}) // fails only if the link has ended
	var err error
	select {
	case <-c.ctx.Done():
	case <-ctx.Done():
		err = ctx.Err()
	}
	_ = c.Close()
	return err
}

func (c *memConn) RemoteAddr() string { return c.remote }

// memStream is one end of an in-memory stream.
type memStream struct {
	conn               *memConn
	incoming, outgoing *direction
	ctx                context.Context
	cancel             context.CancelFunc
}

func newMemStream(c *memConn, incoming, outgoing *direction) *memStream {
	s := &memStream{conn: c, incoming: incoming, outgoing: outgoing}
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	return s
}

func (s *memStream) Send(f msg.Frame) error {
	head, body, err := wire.AppendFrame(nil, f)
	if err != nil {
		return err
	}
	if s.ctx.Err() != nil {
		return s.endError()
	}
	if err := s.conn.send(s.outgoing, s.ctx.Done(), append(head, body...)); err != nil {
		return s.endError()
	}
	return nil
}

func (s *memStream) Receive() (msg.Frame, error) {
	payload, err := s.conn.receive(s.incoming, s.ctx.Done())
	switch {
	case err == io.EOF:
		return nil, err
	case err != nil:
		return nil, s.endError()
	}
	return wire.DecodeFrame(payload)
}

// endError returns the error of the link if the link has ended, and ErrClosed
// otherwise.
func (s *memStream) endError() error {
	if s.conn.ctx.Err() != nil {
		return s.conn.endError()
	}
	return ErrClosed
}

func (s *memStream) Close() error {
	_ = s.conn.enqueue(packet{kind: packetEnd, direction: s.outgoing})
	s.cancel()
	return nil
}
