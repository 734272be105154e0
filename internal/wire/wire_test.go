package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against a process that talks to one of another version, or that
// takes another protocol for its own.
func TestCheckPreambleDistinguishesVersionFromProtocol(t *testing.T) {
	require.Len(t, Preamble(), PreambleSize)
	require.NoError(t, CheckPreamble(Preamble()))
	other := Preamble()
	other[PreambleSize-1]++
	require.ErrorIs(t, CheckPreamble(other), ErrVersion)
	require.ErrorIs(t, CheckPreamble([]byte("GET / HT")), ErrMalformed)
	require.ErrorIs(t, CheckPreamble(nil), ErrMalformed)
}

// Guards against an allocation of the size that a peer claims.
func TestPayloadSizeIsBounded(t *testing.T) {
	_, err := PayloadSize([]byte{Version, 0, 16, 0, 1}, MaxFrame)
	require.ErrorIs(t, err, ErrMalformed)
	n, err := PayloadSize([]byte{Version, 0, 16, 0, 0}, MaxFrame)
	require.NoError(t, err)
	require.Equal(t, MaxFrame, n)
	_, err = PayloadSize([]byte{Version + 1, 0, 0, 0, 0}, MaxFrame)
	require.ErrorIs(t, err, ErrVersion)
	_, _, err = AppendFrame(nil, &msg.BodyChunk{Data: make([]byte, MaxFrame)})
	require.ErrorIs(t, err, ErrTooLarge)
}

// Guards against body bytes that are copied by encoding or decoding.
func TestBodyChunkIsNotCopied(t *testing.T) {
	data := []byte("consent slip")
	head, body, err := AppendFrame(nil, &msg.BodyChunk{Data: data})
	require.NoError(t, err)
	require.Same(t, &data[0], &body[0])
	payload := append(head[HeaderSize:], body...)
	f, err := DecodeFrame(payload)
	require.NoError(t, err)
	got := f.(*msg.BodyChunk).Data
	require.Equal(t, data, got)
	require.Same(t, &payload[len(payload)-len(data)], &got[0])
}

// Guards against a header value or tenant of a caller that is not UTF-8 and
// therefore cannot be sent.
func TestCallerTextMayBeInvalidUTF8(t *testing.T) {
	want := &msg.RequestHead{
		ID: model.RequestID{Entry: "e", Boot: 1, Seq: 2}, Tenant: "\xff", Method: "POST", URI: "/\x80",
		Header: []msg.Field{{Name: "X", Value: "caf\xe9"}}, ContentLength: -1, Deadline: time.Second,
	}
	b, _, err := AppendFrame(nil, want)
	require.NoError(t, err)
	n, err := PayloadSize(b[:HeaderSize], MaxFrame)
	require.NoError(t, err)
	got, err := DecodeFrame(b[HeaderSize : HeaderSize+n])
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a state or reason that the receiver would truncate into
// another one.
func TestUnknownValuesAreMalformed(t *testing.T) {
	_, body, err := AppendFrame(nil, &msg.Refused{Reason: 200})
	require.NoError(t, err)
	require.Nil(t, body)
	b, _, _ := AppendFrame(nil, &msg.Refused{Reason: 200})
	_, err = DecodeFrame(b[HeaderSize:])
	require.ErrorIs(t, err, ErrMalformed)
	b, err = AppendControl(nil, &msg.OutcomeReply{State: 9})
	require.NoError(t, err)
	_, err = DecodeControl(b[HeaderSize:])
	require.ErrorIs(t, err, ErrMalformed)
	_, err = DecodeControl(nil)
	require.ErrorIs(t, err, ErrMalformed)
	_, err = DecodeFrame([]byte{0xff})
	require.ErrorIs(t, err, ErrMalformed)
}
