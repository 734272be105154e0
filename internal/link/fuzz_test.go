package link

import (
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// Guards against received bytes that cause a panic or an untyped error, and
// against frames that cannot be decoded again after they are re-encoded.
func FuzzStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, stream []byte) {
		in := envelopeReader{src: bytes.NewReader(stream), maxPayload: wire.MaxFrame}
		var reencoded bytes.Buffer
		out := envelopeWriter{dst: &reencoded}
		var frames int
		for {
			payload, err := in.next()
			if err == nil {
				var frame msg.Frame
				if frame, err = wire.DecodeFrame(payload); err == nil {
					require.NoError(t, out.writeFrame(frame))
					frames++
					continue
				}
			}
			require.True(t, errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, ErrMalformed, ErrVersion), "%v", err)
			break
		}
		in = envelopeReader{src: &reencoded, maxPayload: wire.MaxFrame}
		for range frames {
			payload, err := in.next()
			require.NoError(t, err)
			_, err = wire.DecodeFrame(payload)
			require.NoError(t, err)
		}
		_, err := in.next()
		require.Equal(t, io.EOF, err)
	})
}
