package link

import (
	"io"
	"net"

	"github.com/hashicorp/yamux"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// sessionConn is the socket as a yamux session sees it. It orders the end of a
// session so that no goroutine waits on a stream of a session that is shut down.
//
// A Read or Write of a yamux stream that has to wait returns to the start of its
// wait again and again while the session is shut down and the stream is not
// closed. The session shuts down, closes its socket, waits for its receive loop
// and then closes its streams. Here every end of a session begins in its receive
// loop, whose Read returns its error only after the link's actor has ended the
// waits by a deadline, and Close returns at once. Only when the peer violates the
// protocol of yamux does the session shut down before the waits are ended; no
// call of the socket then lies between its shutdown and the end of its streams.
type sessionConn struct {
	joinedConn
	ended chan struct{} // closed by Close
	// readFailed is called before Read returns an error. Unset: it is not called.
	readFailed *actor.Value[func(error)]
}

// newMux starts a yamux session over sock with yamux.Client or yamux.Server.
// The session does not close sock; see closeSession.
func newMux(sock net.Conn, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	c := &sessionConn{joinedConn: joinedConn{Conn: sock}, ended: make(chan struct{}), readFailed: &actor.Value[func(error)]{}}
	mux, err := start(c, muxConfig())
	return &session{mux, c.readFailed}, err
}

// session is a yamux session over a sessionConn.
type session struct {
	*yamux.Session
	readFailed *actor.Value[func(error)] // of the sessionConn
}

// Read calls readFailed before it returns an error, which ends the session.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		if f := c.readFailed.Get(); f != nil {
			(*f)(err)
		}
	}
	return n, err
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
func closeSession(sock net.Conn, mux *session) error {
	err := sock.Close()
	<-mux.CloseChan()
	if closeErr := mux.Close(); closeErr != nil {
		return closeErr
	}
	return err
}
