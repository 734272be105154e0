package link

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// Guards against control streams that keep a buffer of the size of their
// largest message until the link ends.
func TestControlStreamsKeepNoLargeBuffer(t *testing.T) {
	large := &msg.ConfigDelta{Full: true, To: 1}
	for range 1000 {
		large.Changes = append(large.Changes, model.ConfigChange{Version: 1, Key: model.ConfigKey{Kind: model.KindWorker, Name: "w"}})
	}
	var stream bytes.Buffer
	w, r := envelopeWriter{dst: &stream}, envelopeReader{src: &stream, maxPayload: wire.MaxControl, maxBuffer: maxControlBuffer}
	for _, m := range []msg.Control{large, &msg.Heartbeat{}, large, &msg.Heartbeat{}} {
		require.NoError(t, w.writeControl(m))
		payload, err := r.next()
		require.NoError(t, err)
		got, err := wire.DecodeControl(payload)
		require.NoError(t, err)
		require.Equal(t, m, got)
		require.LessOrEqual(t, cap(w.buf), maxControlBuffer)
		if m != msg.Control(large) {
			require.LessOrEqual(t, cap(r.buf), maxControlBuffer)
		}
	}
}
