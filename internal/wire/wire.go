// Package wire encodes the messages of internal/msg for transport between
// processes and decodes them. It does not know what they mean.
//
// An envelope is a header of HeaderSize bytes, which holds the protocol
// version and the length of the payload (big-endian), and a payload: a
// protobuf Control or Frame of proto/wire.proto.
package wire

import (
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Version is the protocol version. Processes of different versions refuse
// each other's links.
const Version = 1

// Sizes in bytes.
const (
	HeaderSize = 5
	// MaxFrame bounds the payload of a Frame.
	MaxFrame = 1 << 20
	// MaxControl bounds the payload of a Control. The whole configuration of
	// the target size, 6,900 workers with about 300 bytes of labels each, has
	// to fit into one ConfigDelta.
	MaxControl = 4 << 20
	// PreambleSize is the length of a connection's first bytes.
	PreambleSize = 8
)

// Errors of decoding, and ErrTooLarge of encoding.
var (
	ErrMalformed = errors.New("malformed frame")
	ErrVersion   = errors.New("unsupported protocol version")
	ErrTooLarge  = errors.New("message exceeds the size limit")
)

// magic starts the preamble. Version follows it as two bytes.
const magic = "bamboo"

// Preamble returns the first bytes that each side sends on a connection.
func Preamble() []byte {
	return binary.BigEndian.AppendUint16([]byte(magic), Version)
}

// CheckPreamble checks the first bytes received on a connection. It returns
// ErrVersion for a peer of another version and ErrMalformed for anything else.
func CheckPreamble(b []byte) error {
	if len(b) != PreambleSize || string(b[:len(magic)]) != magic {
		return fmt.Errorf("%w: connection starts with %q", ErrMalformed, b)
	}
	if v := binary.BigEndian.Uint16(b[len(magic):]); v != Version {
		return fmt.Errorf("%w: peer has version %d, this process %d", ErrVersion, v, Version)
	}
	return nil
}

// PayloadSize reads an envelope's header and returns the number of bytes that
// follow it. A size above limit is ErrMalformed.
func PayloadSize(header []byte, limit int) (int, error) {
	if len(header) != HeaderSize {
		return 0, fmt.Errorf("%w: header of %d bytes", ErrMalformed, len(header))
	}
	if header[0] != Version {
		return 0, fmt.Errorf("%w: envelope has version %d, this process %d", ErrVersion, header[0], Version)
	}
	n := binary.BigEndian.Uint32(header[1:])
	if uint64(n) > uint64(limit) {
		return 0, fmt.Errorf("%w: payload of %d bytes exceeds the limit of %d", ErrMalformed, n, limit)
	}
	return int(n), nil
}

// beginEnvelope appends a header whose length finishEnvelope sets.
func appendEmptyHeader(dst []byte) []byte { return append(dst, Version, 0, 0, 0, 0) }

// finishEnvelope sets the length in the header at dst[start:]. The payload
// continues with extra bytes that are not in dst.
func setPayloadSize(dst []byte, start, extra, limit int) error {
	n := len(dst) - start - HeaderSize + extra
	if n > limit {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, n, limit)
	}
	binary.BigEndian.PutUint32(dst[start+1:], uint32(n))
	return nil
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}
