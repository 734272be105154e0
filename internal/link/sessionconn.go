package link

import (
	"io"
	"net"

	"github.com/hashicorp/yamux"
)

// sessionConn is the socket as a yamux session sees it. It makes every end of a
// session begin in the session's receive loop, and lets nothing block between
// the shutdown of the session and the end of its streams.
//
// A Read or Write of a yamux stream that has to wait returns to the start of its
// wait again and again while the session is shut down and the stream is not
// closed. The session shuts down, closes its socket, waits for its receive loop
// and then closes its streams. When the receive loop itself ends the session and
// Close returns at once, the streams are closed without a wait in between.
type sessionConn struct {
	joinedConn
	ended chan struct{} // closed by Close
}

// newMux starts a yamux session over sock with yamux.Client or yamux.Server.
// The session does not close sock; see closeSession.
func newMux(sock net.Conn, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*yamux.Session, error) {
	return start(&sessionConn{joinedConn: joinedConn{Conn: sock}, ended: make(chan struct{})}, muxConfig())
}

// Write closes the socket after an error and returns when the receive loop, whose
// Read then fails, has ended the session. If Write returned earlier, yamux would
// shut the session down and then wait for the receive loop.
func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.joinedConn.Write(b)
	if err != nil {
		_ = c.Conn.Close()
		<-c.ended
	}
	return n, err
}

// Close does not close the socket, which can block. The owner of the socket
// closes it. The session calls Close once, after its shutdown.
func (c *sessionConn) Close() error {
	close(c.ended)
	return nil
}

// closeSession ends a session from outside: it closes the socket, which makes
// the receive loop end the session, and waits until the session has ended.
func closeSession(sock net.Conn, mux *yamux.Session) error {
	err := sock.Close()
	<-mux.CloseChan()
	if closeErr := mux.Close(); closeErr != nil {
		return closeErr
	}
	return err
}
