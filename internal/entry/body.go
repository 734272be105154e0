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
	chunkBytes = 32 << 10
	// replayBytes of a request body are kept for another offer.
	replayBytes = 64 << 10
)

var errBodyTooLarge = errors.New("request body is too large")

// requestBody reads a caller's body and sends it to one attempt after the
// other. Its fields belong to the sender of the current attempt while one
// runs, and to the request's actor between attempts.
type requestBody struct {
	empty   bool
	want    chan struct{} // asks the reader for a chunk
	chunks  chan chunk    // from the reader
	failed  chan error    // to the request's actor; has room for one
	asked   bool          // a chunk was asked for and has not come
	replay  []byte        // the body so far, while it fits
	dropped bool          // replay does not hold the whole body so far
	total   int64
	ended   bool
}

type chunk struct {
	data  []byte // valid until the next want
	ended bool
}

// newRequestBody starts the reader of r's body in g.
func newRequestBody(g *actor.Group, r *http.Request, limit int64) *requestBody {
	b := &requestBody{failed: make(chan error, 1)}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.empty, b.ended = true, true
		return b
	}
	b.want, b.chunks = make(chan struct{}, 1), make(chan chunk)
	actor.Go(g, "request body reader", func(ctx context.Context) error { return b.read(ctx, r.Body, limit) })
	return b
}

func (b *requestBody) read(ctx context.Context, from io.Reader, limit int64) error {
	buf := make([]byte, chunkBytes)
	var total int64
	for {
		select {
		case <-b.want:
		case <-ctx.Done():
			return nil
		}
		n, err := readSome(from, buf)
		total += int64(n)
		if total > limit {
			err = errBodyTooLarge
		}
		if err != nil && err != io.EOF {
			b.failed <- err
			return err
		}
		select {
		case b.chunks <- chunk{data: buf[:n], ended: err == io.EOF}:
		case <-ctx.Done():
			return nil
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readSome reads until there is at least one byte, or an error.
func readSome(from io.Reader, buf []byte) (int, error) {
	for {
		if n, err := from.Read(buf); n > 0 || err != nil {
			return n, err
		}
	}
}

// sendTo sends the body from its beginning: the kept part, then what the
// caller still sends.
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

// receive gets the next chunk from the reader and keeps it for a replay.
func (b *requestBody) receive(ctx context.Context) (chunk, error) {
	if !b.asked {
		b.asked = true
		b.want <- struct{}{}
	}
	select {
	case c := <-b.chunks:
		b.asked = false
		b.total += int64(len(c.data))
		b.ended = c.ended
		b.keep(c.data)
		return c, nil
	case <-ctx.Done():
		return chunk{}, ctx.Err()
	}
}

func (b *requestBody) keep(data []byte) {
	if b.dropped || len(b.replay)+len(data) > replayBytes {
		b.replay, b.dropped = nil, b.dropped || len(data) > 0
		return
	}
	b.replay = append(b.replay, data...)
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return !b.dropped }
