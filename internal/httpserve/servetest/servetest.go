// Package servetest has in-memory listeners and connections for tests of HTTP servers
// in virtual time.
package servetest

import (
	"context"
	"net"
)

// Listener accepts in-memory connections.
type Listener struct {
	conns  chan net.Conn
	closed context.Context
	close  context.CancelFunc
}

// Listen returns a listener that is open until it is closed or ctx ends.
func Listen(ctx context.Context) *Listener {
	l := &Listener{conns: make(chan net.Conn)}
	l.closed, l.close = context.WithCancel(ctx)
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial returns the client's end of a new connection. The server gets its own end as
// wrap returns it; nil: unchanged.
func (l *Listener) Dial(wrap func(net.Conn) net.Conn) net.Conn {
	here, there := net.Pipe()
	if wrap != nil {
		there = wrap(there)
	}
	l.conns <- there
	return here
}

// HeldConn is a server's connection that passes on what it has read only when it is
// released, as if the reading goroutine had no processor yet.
type HeldConn struct {
	net.Conn
	Hold     chan bool     // holds a value: the next Read is held
	Held     chan struct{} // receives a value when a Read is held
	Released chan struct{} // a value releases the Read
}

// NewHeldConn returns a connection that holds no Read yet.
func NewHeldConn() *HeldConn {
	return &HeldConn{Hold: make(chan bool, 1), Held: make(chan struct{}), Released: make(chan struct{})}
}

// Wrap makes c the connection that is read from. It is a parameter of Listener.Dial.
func (h *HeldConn) Wrap(c net.Conn) net.Conn {
	h.Conn = c
	return h
}

// Read implements net.Conn.
func (h *HeldConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	select {
	case <-h.Hold:
		h.Held <- struct{}{}
		<-h.Released
	default:
	}
	return n, err
}
