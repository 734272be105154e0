package standin

import (
	"context"
	"net"
)

// MemoryListener connects clients and servers inside one process without
// sockets, so that a simulator's HTTP interface can be used in testing/synctest.
type MemoryListener struct {
	conns chan net.Conn
	done  chan struct{}
	open  chan struct{} // contains one token until the first Close
}

// NewMemoryListener returns a listener that accepts the connections of Dial.
func NewMemoryListener() *MemoryListener {
	l := &MemoryListener{make(chan net.Conn), make(chan struct{}), make(chan struct{}, 1)}
	l.open <- struct{}{}
	return l
}

// Dial opens a connection. It has the signature of DialContext in
// http.Transport, and ignores the network and the address.
func (l *MemoryListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
	}
}

// Accept implements net.Listener.
func (l *MemoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, &net.OpError{Op: "accept", Net: "memory", Err: net.ErrClosed}
	}
}

// Close implements net.Listener. Accepted connections stay open.
func (l *MemoryListener) Close() error {
	select {
	case <-l.open:
		close(l.done)
	default:
	}
	return nil
}

// Addr implements net.Listener.
func (l *MemoryListener) Addr() net.Addr { return memoryAddr{} }

type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "memory" }
