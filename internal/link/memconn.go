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
	memBacklog       = 256 // links and streams not yet accepted
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
	case <-c.up:
		return c, nil
	case <-c.ctx.Done():
		return nil, c.ended()
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

// offer is called by the pipe that delivers a connection.
func (l *memListener) offer(c *memConn) {
	if l.ctx.Err() == nil {
		select {
		case l.accepted <- c:
			_ = c.put(packet{kind: packetEstablished})
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

// memConn is one end of a link in memory. Messages are encoded, so that two
// processes in one test share no memory.
type memConn struct {
	local, remote string
	ctx           context.Context
	cancel        context.CancelCauseFunc
	up            chan struct{} // closed when the dial has succeeded
	out           actor.Address[pipeMessage]
	peer          *memConn
	in, sent      *half // control messages
	accept        chan *memStream
	acceptRoom    chan struct{}
}

func newMemPair(ctx context.Context, a, b string) (*memConn, *memConn) {
	ab, ba := newHalf(memControlWindow), newHalf(memControlWindow)
	x, y := newMemConn(ctx, a, b, ba, ab), newMemConn(ctx, b, a, ab, ba)
	x.peer, y.peer = y, x
	return x, y
}

func newMemConn(ctx context.Context, local, remote string, in, sent *half) *memConn {
	c := &memConn{
		local: local, remote: remote, up: make(chan struct{}), in: in, sent: sent,
		accept: make(chan *memStream, memBacklog), acceptRoom: make(chan struct{}, memBacklog),
	}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	return c
}

func (c *memConn) end(why string) {
	c.cancel(fmt.Errorf("link with %s: %w: %s", c.remote, ErrClosed, why))
}

func (c *memConn) ended() error {
	if err := context.Cause(c.ctx); isProtocol(err) || isClosed(err) {
		return err
	}
	return fmt.Errorf("link with %s: %w", c.remote, ErrClosed)
}

// put hands a packet to the pipe. A pipe whose far end has closed takes none;
// the sender learns of that when the hang-up arrives.
func (c *memConn) put(k packet) error {
	if c.ctx.Err() != nil {
		return c.ended()
	}
	if err := c.out.Send(c.ctx, pipeMessage{packet: k}); err != nil && c.ctx.Err() != nil {
		return c.ended()
	}
	return nil
}

// send waits for room in h; done ends the wait.
func (c *memConn) send(h *half, done <-chan struct{}, data []byte) error {
	select {
	case h.window <- struct{}{}:
		return c.put(packet{kind: packetData, half: h, data: data})
	case <-done:
		return ErrClosed
	case <-c.ctx.Done():
		return c.ended()
	}
}

// receive returns what arrived before the link ended first.
func (c *memConn) receive(h *half, done <-chan struct{}) ([]byte, error) {
	select {
	case data, ok := <-h.inbox:
		return h.take(data, ok)
	default:
	}
	select {
	case data, ok := <-h.inbox:
		return h.take(data, ok)
	case <-done:
		return nil, ErrClosed
	case <-c.ctx.Done():
		select { // the pipe delivers before it ends the link
		case data, ok := <-h.inbox:
			return h.take(data, ok)
		default:
			return nil, c.ended()
		}
	}
}

func (h *half) take(data []byte, ok bool) ([]byte, error) {
	if !ok {
		return nil, io.EOF
	}
	<-h.window
	return data[wire.HeaderSize:], nil
}

func (c *memConn) Send(m msg.Control) error {
	data, err := wire.AppendControl(nil, m)
	if err != nil {
		return err
	}
	return c.send(c.sent, nil, data)
}

func (c *memConn) Receive() (msg.Control, error) {
	payload, err := c.receive(c.in, nil)
	if err != nil {
		return nil, err
	}
	return wire.DecodeControl(payload)
}

func (c *memConn) OpenStream(ctx context.Context) (Stream, error) {
	select {
	case c.peer.acceptRoom <- struct{}{}:
	case <-c.ctx.Done():
		return nil, c.ended()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	there, back := newHalf(memWindow), newHalf(memWindow)
	if err := c.put(packet{kind: packetOpen, stream: newMemStream(c.peer, there, back)}); err != nil {
		return nil, err
	}
	return newMemStream(c, back, there), nil
}

func (c *memConn) AcceptStream(ctx context.Context) (Stream, error) {
	select {
	case s := <-c.accept:
		<-c.acceptRoom
		return s, nil
	case <-c.ctx.Done():
		return nil, c.ended()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *memConn) Close() error {
	_ = c.put(packet{kind: packetHangup})
	c.end("closed by this process")
	return nil
}

func (c *memConn) RemoteAddr() string { return c.remote }

// memStream is one end of a stream in memory.
type memStream struct {
	conn     *memConn
	in, sent *half
	ctx      context.Context
	cancel   context.CancelFunc
}

func newMemStream(c *memConn, in, sent *half) *memStream {
	s := &memStream{conn: c, in: in, sent: sent}
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	return s
}

func (s *memStream) Send(f msg.Frame) error {
	head, body, err := wire.AppendFrame(nil, f)
	if err != nil {
		return err
	}
	if s.ctx.Err() != nil {
		return s.ended()
	}
	if err := s.conn.send(s.sent, s.ctx.Done(), append(head, body...)); err != nil {
		return s.ended()
	}
	return nil
}

func (s *memStream) Receive() (msg.Frame, error) {
	payload, err := s.conn.receive(s.in, s.ctx.Done())
	switch {
	case err == io.EOF:
		return nil, err
	case err != nil:
		return nil, s.ended()
	}
	return wire.DecodeFrame(payload)
}

// ended returns why the stream can no longer be used.
func (s *memStream) ended() error {
	if s.conn.ctx.Err() != nil {
		return s.conn.ended()
	}
	return ErrClosed
}

func (s *memStream) Close() error {
	_ = s.conn.put(packet{kind: packetEnd, half: s.sent})
	s.cancel()
	return nil
}
