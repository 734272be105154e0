// Package link connects two processes: typed control messages in both
// directions and one stream for each request. It does not interpret the
// messages. There are two implementations: yamux over TCP, and an in-memory
// network for tests in virtual time.
package link

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// Errors of connections and streams, to be tested with errors.Is.
// ErrMalformed and ErrVersion end the connection but never the process.
var (
	// ErrClosed means that the link was closed or lost, or that this process
	// closed the stream.
	ErrClosed = errors.New("link is closed")
	// ErrReset means that the peer ended the stream before its orderly end.
	ErrReset     = errors.New("stream was reset")
	ErrMalformed = wire.ErrMalformed
	ErrVersion   = wire.ErrVersion
	// ErrTooLarge is returned by Send for a message above the size limit, of
	// which nothing was sent. The link and the stream stay usable.
	ErrTooLarge = wire.ErrTooLarge
)

// Conn is one side of a link. One goroutine may call Send, another Receive,
// and others OpenStream or AcceptStream; Close and Shutdown may be called by any.
type Conn interface {
	// Send writes a control message. It blocks until the transport accepts
	// the message.
	Send(m msg.Control) error
	// Receive waits for the next control message, in the order sent.
	Receive() (msg.Control, error)
	// OpenStream opens a request stream. Entries open, agents accept.
	OpenStream(ctx context.Context) (Stream, error)
	// AcceptStream waits for the peer to open a stream.
	AcceptStream(ctx context.Context) (Stream, error)
	// Close ends the connection and all of its streams. The peer may lose
	// messages that Send has accepted.
	Close() error
	// Shutdown ends the connection after the peer has received every message
	// that Send has accepted: it sends the end of the control messages, waits
	// until the peer, which then ends the connection, has done so, and calls
	// Close. If ctx ends first, Shutdown calls Close and returns the context's
	// error. Send must not be called from then on.
	Shutdown(ctx context.Context) error
	// RemoteAddr returns the peer's address, for logs.
	RemoteAddr() string
}

// Stream carries the frames of one request. One goroutine may call Send and
// another Receive.
type Stream interface {
	// Send writes a frame. It blocks while the peer's receive window is full.
	Send(f msg.Frame) error
	// Receive returns the next frame. After the peer's Close it returns
	// io.EOF, and after a reset or a lost link another error.
	Receive() (msg.Frame, error)
	// Close ends the stream in both directions. The peer's Receive first
	// returns the frames sent before Close.
	Close() error
}

// Listener accepts connections.
type Listener interface {
	// Accept waits for the next connection. It returns an error only when the
	// listener is closed or ctx is done. A connection whose handshake failed
	// is returned too; its methods return the error of the handshake.
	Accept(ctx context.Context) (Conn, error)
	// Addr returns the address to dial.
	Addr() string
	// Close stops accepting connections. Those returned by Accept stay open.
	Close() error
}

// Dialer connects to listeners.
type Dialer interface {
	// Dial returns a connection whose handshake has succeeded.
	Dial(ctx context.Context, address string) (Conn, error)
}
