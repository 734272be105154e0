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

// handshakeTimeout bounds the time until a new link can be used.
const handshakeTimeout = 5 * time.Second

// Config holds the settings of the TCP links of a process.
type Config struct {
	Keys *Keys // nil: links are not encrypted
}

// NewDialer returns a Dialer for TCP addresses. The links end with g.
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

// dialHandshake owns sock: on an error it has closed it.
func dialHandshake(ctx context.Context, sock net.Conn) (*yamux.Session, *yamux.Stream, error) {
	if err := exchangePreambles(ctx, sock); err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	mux, err := yamux.Client(&joinedConn{Conn: sock}, muxConfig())
	if err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	control, err := mux.OpenStream()
	if err != nil {
		_ = mux.Close()
		return nil, nil, muxError(err)
	}
	return mux, control, nil
}

// acceptHandshake owns sock: on an error it has closed it.
func acceptHandshake(ctx context.Context, sock net.Conn) (*yamux.Session, *yamux.Stream, error) {
	if err := exchangePreambles(ctx, sock); err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	mux, err := yamux.Server(&joinedConn{Conn: sock}, muxConfig())
	if err != nil {
		_ = sock.Close()
		return nil, nil, err
	}
	control, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = mux.Close()
		return nil, nil, muxError(err)
	}
	return mux, control, nil
}

// exchangePreambles sends this process's preamble and checks the peer's.
// Neither side sends more before it has the other's, so closing the socket
// after an error does not reset it while the preamble is on its way.
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

// isEnd reports whether a read ended because the peer closed the socket.
func isEOF(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }
