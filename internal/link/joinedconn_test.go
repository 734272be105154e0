package link

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// countingConn counts the writes that reach the socket.
type countingConn struct {
	net.Conn
	bytes  bytes.Buffer
	writes int
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.writes++
	return c.bytes.Write(b)
}

// muxHeader returns a yamux frame header.
func muxHeader(kind byte, length int) []byte {
	h := make([]byte, muxHeaderSize)
	h[muxTypeOffset] = kind
	binary.BigEndian.PutUint32(h[muxLengthOffset:], uint32(length))
	return h
}

// Guards against bytes that are lost, reordered or not written, a body that is
// mistaken for a header, and a returned count other than the length of the
// argument.
func TestJoinedConnWritesTheSameBytes(t *testing.T) {
	const ping, window = 2, 1
	body := muxHeader(muxTypeData, 9) // has the form of a header
	long := bytes.Repeat([]byte("x"), maxJoinedBody+1)
	calls := [][]byte{
		muxHeader(ping, 7), muxHeader(window, 4096), muxHeader(muxTypeData, 0),
		muxHeader(muxTypeData, len(body)), body, muxHeader(muxTypeData, len(long)), long, muxHeader(ping, 8),
	}
	sock := &countingConn{}
	c := &joinedConn{Conn: sock}
	var want bytes.Buffer
	for _, b := range calls {
		n, err := c.Write(b)
		require.NoError(t, err)
		require.Equal(t, len(b), n)
		want.Write(b)
	}
	require.Equal(t, want.Bytes(), sock.bytes.Bytes())
	require.Equal(t, 7, sock.writes, "one for a joined frame, two for a long one on a conn without writev")
}

// failingConn accepts only some bytes of each write and returns an error.
type failingConn struct {
	net.Conn
	accepts int
}

func (c failingConn) Write([]byte) (int, error) { return c.accepts, io.ErrClosedPipe }

// Guards against a failed write that reports success, or that counts bytes of
// the body that were not written.
func TestJoinedConnReportsFailure(t *testing.T) {
	for accepts, want := range map[int]int{0: 0, 5: 0, muxHeaderSize + 2: 2} {
		c := &joinedConn{Conn: failingConn{accepts: accepts}}
		_, err := c.Write(muxHeader(muxTypeData, 4))
		require.NoError(t, err)
		n, err := c.Write([]byte("body"))
		require.ErrorIs(t, err, io.ErrClosedPipe)
		require.Equal(t, want, n)
	}
}
