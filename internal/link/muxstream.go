package link

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// muxStream is a Stream over one yamux stream.
type muxStream struct {
	conn *muxConn
	raw  *yamux.Stream
	in   envelopeReader
	out  envelopeWriter
}

func (c *muxConn) newStream(raw *yamux.Stream) *muxStream {
	c.opened(raw)
	return &muxStream{conn: c, raw: raw, in: envelopeReader{src: raw, maxPayload: wire.MaxFrame}, out: envelopeWriter{dst: raw}}
}

func (s *muxStream) Send(f msg.Frame) error {
	err := s.out.writeFrame(f)
	if err == nil || errors.Is(err, ErrTooLarge) {
		return err
	}
	return s.mapError(err)
}

func (s *muxStream) Receive() (msg.Frame, error) {
	payload, err := s.in.next()
	switch {
	case isProtocolError(err):
		return nil, s.conn.fail(err)
	case err != nil:
		return nil, s.mapError(err)
	}
	f, err := wire.DecodeFrame(payload)
	if err != nil {
		return nil, s.conn.fail(err)
	}
	return f, nil
}

// mapError maps an error of the yamux stream to an error of this package.
// yamux returns io.EOF or ErrTimeout from all streams of a lost session; this must
// not be mistaken for an orderly end.
func (s *muxStream) mapError(err error) error {
	switch {
	case s.conn.mux.IsClosed(), s.conn.ctx.Err() != nil:
		return s.conn.fail(err)
	case errors.Is(err, yamux.ErrConnectionWriteTimeout):
		// yamux may still write the bytes later, so the two sides may no
		// longer agree on the stream's state.
		return s.conn.fail(err)
	case errors.Is(err, yamux.ErrConnectionReset), errors.Is(err, io.ErrUnexpectedEOF):
		return ErrReset
	case errors.Is(err, yamux.ErrTimeout), errors.Is(err, yamux.ErrStreamClosed):
		return ErrClosed // after Close in this process
	}
	return err
}

// Close ends both directions. The deadline in the past makes a blocked Send or
// Receive return ErrClosed; Close of yamux wakes neither while the socket
// accepts no bytes.
func (s *muxStream) Close() error {
	endWaits(s.raw)
	s.conn.closed(s.raw)
	return s.raw.Close()
}
