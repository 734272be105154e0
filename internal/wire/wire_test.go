package wire

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against a process that accepts a peer of another version or of another
// protocol, or that mistakes one for the other.
func TestCheckPreambleDistinguishesVersionFromProtocol(t *testing.T) {
	require.Len(t, Preamble(), PreambleSize)
	require.NoError(t, CheckPreamble(Preamble()))
	other := Preamble()
	other[PreambleSize-1]++
	require.ErrorIs(t, CheckPreamble(other), ErrVersion)
	require.ErrorIs(t, CheckPreamble([]byte("GET / HT")), ErrMalformed)
	require.ErrorIs(t, CheckPreamble(nil), ErrMalformed)
}

// Guards against an allocation of unbounded size, as given in a peer's header,
// and against sending a frame that the peer would reject.
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

// Guards against encoding or decoding that copies the data of a body chunk.
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

// Guards against a request that cannot be sent because its header or tenant is
// not valid UTF-8, which protobuf strings require.
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

// Guards against an unknown state or reason that the receiver truncates to a
// known one, and against a message of unknown kind that is accepted.
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

// Guards against a link that ends during a rolling restart because an owner of the
// former program marks a message as holding all phases (field 2).
func TestPhasesOfTheFormerProgramAreDecoded(t *testing.T) {
	const fieldOfPhases, bytesType = 44, 2
	raw := binary.AppendUvarint(nil, fieldOfPhases<<3|bytesType)
	raw = append(raw, 4, 1<<3, 7, 2<<3, 1)
	m, err := DecodeControl(raw)
	require.NoError(t, err)
	require.Equal(t, &msg.JobPhases{Epoch: 7}, m)
}
