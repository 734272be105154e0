package link

import (
	"encoding/binary"
	"net"
)

// yamux frame header: version, type, flags, stream, length (see its spec.md).
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// joinedConn writes the header of a yamux data frame together with its body.
// yamux writes them one after the other from a single goroutine, which costs
// a system call more, and with TLS a record more, for each frame.
type joinedConn struct {
	net.Conn
	header []byte // header of a data frame, without its body
}

// Write closes the socket after an error, because yamux would shut its session
// down first; see closeSocket.
func (c *joinedConn) Write(b []byte) (int, error) {
	n, err := c.join(b)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

func (c *joinedConn) join(b []byte) (int, error) {
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

func isDataHeader(b []byte) bool {
	return len(b) == muxHeaderSize && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
