package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	chunkBytes = 32 << 10 // read from the caller at once
	// maxReplayBytes bounds the part of a request body that is kept so that
	// another offer can send it again.
	maxReplayBytes = 64 << 10
)

var errBodyTooLarge = errors.New("request body is too large")

// requestBody reads a caller's body and sends it to one attempt after another.
// The sender of the current attempt owns its fields while the attempt runs, the
// request's actor between attempts.
type requestBody struct {
	empty            bool
	chunkRequests    chan struct{} // requests the next chunk from the reader
	chunks           chan chunk    // from the reader
	readErr          chan error    // error of the reader, to the request's actor; buffers one
	chunkRequested   bool          // a chunk was requested and has not been received
	replay           []byte        // the body so far, up to maxReplayBytes
	replayIncomplete bool          // the body so far exceeds maxReplayBytes
	total            int64         // bytes received from the reader
	ended            bool          // the last chunk has been received
}

// chunk is a part of a request body.
type chunk struct {
	data []byte // valid until the next chunk is requested
	last bool
}

// newRequestBody starts the reader of r's body in g.
func newRequestBody(g *actor.Group, r *http.Request, limit int64) *requestBody {
	b := &requestBody{readErr: make(chan error, 1)}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.empty, b.ended = true, true
		return b
	}
	b.chunkRequests, b.chunks = make(chan struct{}, 1), make(chan chunk)
	actor.Go(g, "request body reader", func(ctx context.Context) error { return b.read(ctx, r.Body, limit) })
	return b
}

// read reads a chunk for each request on chunkRequests, until the end of the body
// or an error. A body of more than limit bytes is an error.
func (b *requestBody) read(ctx context.Context, from io.Reader, limit int64) error {
	buf := make([]byte, chunkBytes)
	var total int64
	for {
		select {
		case <-b.chunkRequests:
		case <-ctx.Done():
			return nil
		}
		n, err := readNonEmpty(from, buf)
		total += int64(n)
		if total > limit {
			err = errBodyTooLarge
		}
		if err != nil && err != io.EOF {
			b.readErr <- err
			return err
		}
		select {
		case b.chunks <- chunk{data: buf[:n], last: err == io.EOF}:
		case <-ctx.Done():
			return nil
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readNonEmpty reads until it has at least one byte or an error.
func readNonEmpty(from io.Reader, buf []byte) (int, error) {
	for {
		if n, err := from.Read(buf); n > 0 || err != nil {
			return n, err
		}
	}
}

// sendTo sends the body from its beginning: the buffered part, then the chunks
// that the caller has yet to send.
func (b *requestBody) sendTo(ctx context.Context, s link.Stream) error {
	if len(b.replay) > 0 {
		if err := s.Send(&msg.BodyChunk{Data: b.replay}); err != nil {
			return err
		}
	}
	for !b.ended {
		c, err := b.receive(ctx)
		if err != nil {
			return err
		}
		if len(c.data) > 0 {
			if err := s.Send(&msg.BodyChunk{Data: c.data}); err != nil {
				return err
			}
		}
	}
	return s.Send(&msg.BodyEnd{Total: b.total})
}

// receive returns the next chunk from the reader and buffers it for a replay.
func (b *requestBody) receive(ctx context.Context) (chunk, error) {
	if !b.chunkRequested {
		b.chunkRequested = true
		b.chunkRequests <- struct{}{}
	}
	select {
	case c := <-b.chunks:
		b.chunkRequested = false
		b.total += int64(len(c.data))
		b.ended = c.last
		b.bufferForReplay(c.data)
		return c, nil
	case <-ctx.Done():
		return chunk{}, ctx.Err()
	}
}

// bufferForReplay appends data to the replay buffer, or drops the buffer when it
// would exceed maxReplayBytes.
func (b *requestBody) bufferForReplay(data []byte) {
	if b.replayIncomplete || len(b.replay)+len(data) > maxReplayBytes {
		b.replay, b.replayIncomplete = nil, b.replayIncomplete || len(data) > 0
		return
	}
	b.replay = append(b.replay, data...)
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return !b.replayIncomplete }
