package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// handshakeTimeout bounds the time from the start of a dial, or from the
// accept, until the link can be used.
const handshakeTimeout = 5 * time.Second

// Config holds the settings of the TCP links of a process.
type Config struct {
	Keys *Keys // nil: links are not encrypted
}

// NewDialer returns a Dialer for TCP addresses. The links end when g stops.
func NewDialer(g *actor.Group, cfg Config) Dialer { return &tcpDialer{group: g, cfg: cfg} }

type tcpDialer struct {
	group *actor.Group
	cfg   Config
}

func (d *tcpDialer) Dial(ctx context.Context, address string) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	sock, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if sock, err = d.cfg.secure(ctx, sock, tls.Client); err != nil {
		return nil, fmt.Errorf("link to %s: %w", address, err)
	}
	mux, control, err := dialHandshake(ctx, sock)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", address, err)
	}
	return newMuxConn(d.group, sock, mux, control), nil
}

// dialHandshake exchanges preambles, starts the yamux client and opens the
// control stream. It takes ownership of sock and closes it on an error.
func dialHandshake(ctx context.Context, sock net.Conn) (*session, *yamux.Stream, error) {
	if err := exchangePreambles(ctx, sock); err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	mux, err := newMux(sock, yamux.Client)
	if err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	control, err := mux.OpenStream()
	if err != nil {
		_ = closeSession(sock, mux)
		return nil, nil, muxError(err)
	}
	return mux, control, nil
}

// acceptHandshake exchanges preambles, starts the yamux server and accepts the
// control stream. It takes ownership of sock and closes it on an error.
func acceptHandshake(ctx context.Context, sock net.Conn) (*session, *yamux.Stream, error) {
	if err := exchangePreambles(ctx, sock); err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	mux, err := newMux(sock, yamux.Server)
	if err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	control, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = closeSession(sock, mux)
		return nil, nil, muxError(err)
	}
	return mux, control, nil
}

// exchangePreambles sends this process's preamble and checks the peer's.
// Neither side sends more before it has received the other's preamble.
// Therefore no unread bytes remain when the socket is closed after an error,
// and the close does not reset the connection while the preamble is in transit.
func exchangePreambles(ctx context.Context, sock net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = sock.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := sock.Write(wire.Preamble()); err != nil {
		return handshakeError(ctx, err)
	}
	var peer [wire.PreambleSize]byte
	if n, err := io.ReadFull(sock, peer[:]); err != nil {
		if n > 0 && ctx.Err() == nil {
			return wire.CheckPreamble(peer[:n])
		}
		return handshakeError(ctx, err)
	}
	if err := wire.CheckPreamble(peer[:]); err != nil {
		return err
	}
	if !stop() {
		return handshakeError(ctx, context.Cause(ctx))
	}
	return nil
}

// isEOF reports whether a read failed because the peer closed the socket.
func isEOF(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }
