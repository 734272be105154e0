package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	// maxHandshakes bounds the accepted sockets whose handshake is unfinished
	// or whose link Accept has not returned yet. Further sockets wait in the
	// kernel's accept queue.
	maxHandshakes = 256
	// acceptRetry is the pause after a failed accept, for example because the
	// process has no free file descriptors.
	acceptRetry = 50 * time.Millisecond
)

// Listen listens on a TCP address. The listener and its links end when g stops.
func Listen(g *actor.Group, address string, cfg Config) (Listener, error) {
	sock, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &tcpListener{
		links: g, group: g.Sub(), cfg: cfg, sock: sock,
		accepted: make(chan Conn), handshakeSlots: make(chan struct{}, maxHandshakes),
	}
	actor.Go(l.group, "link-closer", func(ctx context.Context) error {
		<-ctx.Done()
		_ = sock.Close()
		return nil
	})
	actor.Go(l.group, "link-acceptor", l.acceptSockets)
	return l, nil
}

// tcpListener is a Listener on a TCP socket. Its acceptor owns the listening
// socket; each accepted socket has an actor of its own for its handshake.
type tcpListener struct {
	links          *actor.Group // parent of the links, which outlive the listener
	group          *actor.Group
	cfg            Config
	sock           net.Listener
	accepted       chan Conn
	handshakeSlots chan struct{} // semaphore of maxHandshakes
}

// acceptSockets accepts sockets while handshake slots are free, and starts their
// handshakes.
func (l *tcpListener) acceptSockets(ctx context.Context) error {
	for {
		select {
		case l.handshakeSlots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		sock, err := l.sock.Accept()
		if err != nil {
			<-l.handshakeSlots
			if ctx.Err() != nil || !actor.Sleep(ctx, acceptRetry) {
				return nil
			}
			continue
		}
		actor.Go(l.group, "link-handshake", func(ctx context.Context) error {
			defer func() { <-l.handshakeSlots }()
			l.handshake(ctx, sock)
			return nil
		})
	}
}

// handshake performs the handshake over sock and passes the link to Accept, or a
// failedConn if the handshake failed.
func (l *tcpListener) handshake(ctx context.Context, sock net.Conn) {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c, err := l.newLink(handshakeCtx, sock)
	if err != nil {
		remote := sock.RemoteAddr().String()
		c = failedConn{remote: remote, err: fmt.Errorf("link from %s: %w", remote, err)}
	}
	select {
	case l.accepted <- c:
	case <-ctx.Done():
		_ = c.Close()
	}
}

// newLink performs the accepting side of the handshake over sock. It takes
// ownership of sock and closes it on an error.
func (l *tcpListener) newLink(ctx context.Context, sock net.Conn) (Conn, error) {
	sock, err := l.cfg.secure(ctx, sock, tls.Server)
	if err != nil {
		return nil, err
	}
	mux, control, err := acceptHandshake(ctx, sock)
	if err != nil {
		return nil, err
	}
	return newMuxConn(l.links, sock, mux, control), nil
}

func (l *tcpListener) Accept(ctx context.Context) (Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.group.Context().Done():
		return nil, errors.Wrapf(ErrClosed, "listener %s", l.Addr())
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *tcpListener) Addr() string { return l.sock.Addr().String() }

func (l *tcpListener) Close() error {
	l.group.Stop()
	return nil
}

// failedConn is the Conn that Accept returns for a failed handshake.
type failedConn struct {
	remote string
	err    error
}

func (c failedConn) Send(msg.Control) error                       { return c.err }
func (c failedConn) Receive() (msg.Control, error)                { return nil, c.err }
func (c failedConn) OpenStream(context.Context) (Stream, error)   { return nil, c.err }
func (c failedConn) AcceptStream(context.Context) (Stream, error) { return nil, c.err }
func (c failedConn) Close() error                                 { return nil }
func (c failedConn) Shutdown(context.Context) error               { return nil }
func (c failedConn) RemoteAddr() string                           { return c.remote }
