package agent

import (
	"context"
	"io"
)

// body is a request body that one goroutine writes with push and the HTTP
// transport reads. Chunks pass through a channel, so the two share no state.
type body struct {
	ctx     context.Context
	chunks  chan []byte // closed at the end
	pushErr chan error  // error passed to fail; buffers one
	unread  []byte      // rest of the current chunk; used by Read
	readErr error       // returned by every later Read; used by Read
	closed  bool        // the writer has ended the body; used by the writer
}

func newBody(ctx context.Context) *body {
	return &body{ctx: ctx, chunks: make(chan []byte, 1), pushErr: make(chan error, 1)}
}

// push sends a copy of data to the reader. It blocks while the reader has not
// received the previous chunk.
func (b *body) push(ctx context.Context, data []byte) error {
	chunk := append([]byte(nil), data...)
	select {
	case b.chunks <- chunk:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finish ends the body; the reader gets io.EOF.
func (b *body) finish() {
	if !b.closed {
		b.closed = true
		close(b.chunks)
	}
}

// fail ends the body with an error, unless it has ended already.
func (b *body) fail(err error) {
	if !b.closed {
		b.pushErr <- err
		b.finish()
	}
}

// Read implements io.Reader for the transport.
func (b *body) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.readErr != nil {
			return 0, b.readErr
		}
		select {
		case chunk, ok := <-b.chunks:
			if ok {
				b.unread = chunk
				continue
			}
			b.readErr = io.EOF
			select {
			case b.readErr = <-b.pushErr:
			default:
			}
		case <-b.ctx.Done():
			b.readErr = b.ctx.Err()
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }
