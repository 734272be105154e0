package agent

import (
	"context"
	"io"
)

// body is a request body that one goroutine pushes and the HTTP transport
// reads. Chunks pass through a channel, so no state is shared.
type body struct {
	ctx    context.Context
	chunks chan []byte // closed at the end
	failed chan error  // has room for the one failure
	rest   []byte      // unread part of the current chunk
	err    error       // seen by the reader
	ended  bool        // seen by the writer
}

func newBody(ctx context.Context) *body {
	return &body{ctx: ctx, chunks: make(chan []byte, 1), failed: make(chan error, 1)}
}

// push hands over a copy of data, waiting for the reader.
func (b *body) push(ctx context.Context, data []byte) error {
	chunk := append([]byte(nil), data...)
	select {
	case b.chunks <- chunk:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finish ends the body in order.
func (b *body) finish() {
	if !b.ended {
		b.ended = true
		close(b.chunks)
	}
}

// fail ends the body with an error, unless it has ended.
func (b *body) fail(err error) {
	if !b.ended {
		b.failed <- err
		b.finish()
	}
}

// Read implements io.Reader for the transport.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		select {
		case chunk, ok := <-b.chunks:
			if ok {
				b.rest = chunk
				continue
			}
			b.err = io.EOF
			select {
			case b.err = <-b.failed:
			default:
			}
		case <-b.ctx.Done():
			b.err = b.ctx.Err()
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }
