// Package wire encodes the messages of internal/msg for transport between
// processes and decodes them. It does not interpret them.
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

// Version is the protocol version. Processes of different versions reject each
// other's links.
const Version = 1

// Sizes in bytes.
const (
	HeaderSize = 5
	// MaxFrame bounds the payload of a Frame.
	MaxFrame = 1 << 20
	// MaxControl bounds the payload of a Control. One ConfigDelta has to hold
	// the whole configuration of the target size: 6,900 workers with about 300
	// bytes of labels each.
	MaxControl = 4 << 20
	// PreambleSize is the size of the preamble, the first bytes that each side
	// sends on a connection.
	PreambleSize = 8
)

// Errors to be tested with errors.Is. Decoding returns ErrMalformed and
// ErrVersion; encoding returns ErrTooLarge, and ErrMalformed for a message type
// without an encoding.
var (
	ErrMalformed = errors.New("malformed frame")
	ErrVersion   = errors.New("unsupported protocol version")
	ErrTooLarge  = errors.New("message exceeds the size limit")
)

// magic starts the preamble. Version follows as two bytes, big-endian.
const magic = "bamboo"

// Preamble returns the preamble of this process.
func Preamble() []byte {
	return binary.BigEndian.AppendUint16([]byte(magic), Version)
}

// CheckPreamble checks the preamble of a peer. It returns ErrVersion if the
// peer has another version and ErrMalformed if b is not a preamble.
func CheckPreamble(b []byte) error {
	if len(b) != PreambleSize || string(b[:len(magic)]) != magic {
		return fmt.Errorf("%w: connection starts with %q", ErrMalformed, b)
	}
	if v := binary.BigEndian.Uint16(b[len(magic):]); v != Version {
		return fmt.Errorf("%w: peer has version %d, this process %d", ErrVersion, v, Version)
	}
	return nil
}

// PayloadSize returns the payload size in bytes from the header of an envelope.
// It returns ErrVersion for another protocol version, and ErrMalformed for a
// size above limit.
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

// appendEmptyHeader appends a header whose payload size setPayloadSize sets.
func appendEmptyHeader(dst []byte) []byte { return append(dst, Version, 0, 0, 0, 0) }

// setPayloadSize sets the payload size in the header at dst[start:]. The payload
// consists of the rest of dst and extra bytes that follow it on the wire. A
// payload above limit is ErrTooLarge.
func setPayloadSize(dst []byte, start, extra, limit int) error {
	n := len(dst) - start - HeaderSize + extra
	if n > limit {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, n, limit)
	}
	binary.BigEndian.PutUint32(dst[start+1:], uint32(n))
	return nil
}

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}
