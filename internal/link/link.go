// Package link connects two processes: typed control messages in both
// directions and one stream for each request. It does not know what the
// messages mean. Implementations: yamux over TCP, and in memory for tests in
// virtual time.
package link

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// Errors of connections and streams. ErrMalformed and ErrVersion end the
// connection but never the process. Test with errors.Is.
var (
	ErrClosed    = errors.New("link is closed")
	ErrReset     = errors.New("stream was reset")
	ErrMalformed = wire.ErrMalformed
	ErrVersion   = wire.ErrVersion
	// ErrTooLarge is returned by Send, which then has sent nothing.
	ErrTooLarge = wire.ErrTooLarge
)

// Conn is one side of a link. One goroutine may call Send, another Receive,
// and others OpenStream or AcceptStream; Close may be called by any.
type Conn interface {
	// Send writes a control message. It waits for the transport to accept it.
	Send(m msg.Control) error
	// Receive waits for the next control message, in the order sent.
	Receive() (msg.Control, error)
	// OpenStream opens a request stream. Entries open, agents accept.
	OpenStream(ctx context.Context) (Stream, error)
	// AcceptStream waits for the peer to open a stream.
	AcceptStream(ctx context.Context) (Stream, error)
	// Close ends the connection and every stream of it.
	Close() error
	// RemoteAddr is for logs.
	RemoteAddr() string
}

// Stream carries the frames of one request. One goroutine may call Send and
// another Receive.
type Stream interface {
	// Send writes a frame, waiting while the peer's window is full.
	Send(f msg.Frame) error
	// Receive returns the next frame, io.EOF after the peer closed its side
	// in order, or another error after a reset.
	Receive() (msg.Frame, error)
	// Close ends the stream in both directions. The peer's Receive returns
	// what was sent before.
	Close() error
}

// Listener accepts connections from agents. Close leaves the accepted
// connections open.
type Listener interface {
	// Accept waits for the next connection. It returns an error only when the
	// listener or ctx has ended: a connection whose handshake failed is
	// returned too, and its methods return the typed error.
	Accept(ctx context.Context) (Conn, error)
	Addr() string
	Close() error
}

// Dialer connects an agent to an entry.
type Dialer interface {
	Dial(ctx context.Context, address string) (Conn, error)
}
