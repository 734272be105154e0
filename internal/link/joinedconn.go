package link

import (
	"encoding/binary"
	"net"
)

// Layout in bytes of the yamux frame header, which consists of version, type,
// flags, stream and length (see spec.md of yamux).
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0 // value of the type field
)

// joinedConn writes the header of a yamux data frame together with its body.
// yamux writes them separately, from a single goroutine, which costs each
// frame an additional system call and, with TLS, an additional record.
type joinedConn struct {
	net.Conn
	header []byte // header of a data frame whose body is not written yet
}

// Write keeps b if it is the header of a data frame with a body, and otherwise
// writes it behind the kept header. It returns the number of bytes of b that
// were kept or written.
func (c *joinedConn) Write(b []byte) (int, error) {
	switch {
	case len(c.header) == 0 && isDataHeader(b):
		c.header = append(c.header, b...)
		return len(b), nil
	case len(c.header) == 0:
		return c.Conn.Write(b)
	case len(b) > maxJoinedBody:
		buffers := net.Buffers{c.header, b}
		c.header = c.header[:0]
		n, err := buffers.WriteTo(c.Conn)
		return max(int(n)-muxHeaderSize, 0), err
	}
	frame := append(c.header, b...)
	c.header = frame[:0]
	n, err := c.Conn.Write(frame)
	return max(n-muxHeaderSize, 0), err
}

// isDataHeader reports whether b is the header of a data frame with a body.
func isDataHeader(b []byte) bool {
	return len(b) == muxHeaderSize && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
