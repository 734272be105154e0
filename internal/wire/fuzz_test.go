package wire

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against bytes of a peer that cause a panic, or that decode into a
// message that differs after it is encoded and decoded again.
func FuzzDecodeControl(f *testing.F) {
	f.Fuzz(func(t *testing.T, payload []byte) {
		m, err := DecodeControl(payload)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		if !hasNaN(m) {
			require.Equal(t, m, roundTrip(t, m))
		}
	})
}

// hasNaN reports whether m is a UsageReport with NaN in Busy. NaN is not equal to
// itself, so such a message cannot be compared.
func hasNaN(m msg.Control) bool {
	u, ok := m.(*msg.UsageReport)
	if !ok {
		return false
	}
	for _, s := range u.Services {
		if math.IsNaN(s.Busy) {
			return true
		}
	}
	return false
}

// Guards against frames that cause a panic, or that differ after they are
// encoded and decoded again.
func FuzzDecodeFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, payload []byte) {
		m, err := DecodeFrame(payload)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		if c, ok := m.(*msg.BodyChunk); ok && len(c.Data) == 0 {
			c.Data = nil
		}
		require.Equal(t, m, roundTrip(t, m))
	})
}

// Guards against a header or preamble that causes a panic, and against an
// accepted payload size above the limit.
func FuzzHeaders(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte, limit uint16) {
		if n, err := PayloadSize(b, int(limit)); err == nil {
			require.LessOrEqual(t, n, int(limit))
			require.Equal(t, byte(Version), b[0])
		}
		if CheckPreamble(b) == nil {
			require.Equal(t, Preamble(), b)
		}
	})
}
