package faultproxy

import (
	"context"
	"net"

	"golang.org/x/sys/unix"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// connCommand is a command to a connection. Exactly one of set, reset and
// halfOpen is given.
type connCommand struct {
	set      *setFaults
	reset    bool
	halfOpen *Side
	reply    actor.Reply[struct{}]
}

// conn is the state of the actor of a connection, which owns both sockets. Its
// group contains the actors of the two directions.
type conn struct {
	group          *actor.Group
	upstream       string
	faults         [directions]Faults
	sockets        [2]*net.TCPConn // by Side; the server's is nil until it is connected
	dialling       bool
	dialled        chan *net.TCPConn // result of the dial; nil: it failed
	injectors      [directions]actor.Address[setFaults]
	ended          chan endReason
	openDirections int // directions in which the end of the stream has not passed
}

// endReason is the reason why a direction ended.
type endReason uint8

const (
	endedByEOF   endReason = iota // the end of the stream has passed
	endedByReset                  // a side reset the connection, or a write failed
	endedByTruncation
)

func newConn(g *actor.Group, client *net.TCPConn, upstream string, faults [directions]Faults) *conn {
	return &conn{
		group: g, upstream: upstream, faults: faults, sockets: [2]*net.TCPConn{Client: client},
		dialled: make(chan *net.TCPConn, 1), ended: make(chan endReason, directions), openDirections: int(directions),
	}
}

// run handles commands and events until the connection or ctx ends.
func (c *conn) run(ctx context.Context, in <-chan connCommand) error {
	defer c.close()
	c.dial()
	for {
		select {
		case m := <-in:
			open := c.handle(ctx, m)
			m.reply.Put(struct{}{})
			if !open {
				return nil
			}
		case server := <-c.dialled:
			if !c.connect(server) {
				return nil
			}
		case reason := <-c.ended:
			if !c.directionEnded(reason) {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// close closes the sockets and then waits for the actors of the group. Readers
// and writers return only when their sockets are closed.
func (c *conn) close() {
	c.group.Cancel()
	for _, s := range c.sockets {
		if s != nil {
			_ = s.Close()
		}
	}
	c.group.Wait()
	select {
	case server := <-c.dialled:
		if server != nil {
			_ = server.Close()
		}
	default:
	}
}

// dial starts to connect to the server, unless a direction is blackholed. Across
// such a fault a TCP handshake would not complete.
func (c *conn) dial() {
	if c.dialling || c.group.Context().Err() != nil || c.faults[ToServer].Blackhole || c.faults[ToClient].Blackhole {
		return
	}
	c.dialling = true
	actor.Go(c.group, "fault-proxy-dial", func(ctx context.Context) error {
		var d net.Dialer
		s, err := d.DialContext(ctx, "tcp", c.upstream)
		if err != nil {
			c.dialled <- nil
			return nil
		}
		c.dialled <- s.(*net.TCPConn)
		return nil
	})
}

// connect starts both directions. It reports whether the connection continues:
// when the dial failed, it resets the connection to the client.
func (c *conn) connect(server *net.TCPConn) bool {
	if server == nil {
		c.abort(Client)
		return false
	}
	c.sockets[Server] = server
	c.injectors[ToServer] = pump(c.group, c.sockets[Client], server, c.faults[ToServer], c.ended)
	c.injectors[ToClient] = pump(c.group, server, c.sockets[Client], c.faults[ToClient], c.ended)
	return true
}

// awaitDial waits for a dial in progress, so that a command applies to both
// sockets. It reports whether the connection continues.
func (c *conn) awaitDial() bool {
	if !c.dialling || c.sockets[Server] != nil {
		return true
	}
	return c.connect(<-c.dialled)
}

// handle executes a command. It reports whether the connection continues.
func (c *conn) handle(ctx context.Context, m connCommand) bool {
	switch {
	case !c.awaitDial():
		return false
	case m.reset:
		c.abort(Client)
		c.abort(Server)
		return false
	case m.halfOpen != nil:
		c.group.Cancel() // the directions end; the other side is not notified
		c.abort(*m.halfOpen)
		return c.sockets[1-*m.halfOpen] != nil
	case m.set != nil:
		c.faults[m.set.direction] = m.set.faults
		if !c.dialling && clientEnded(c.sockets[Client]) {
			return false
		}
		c.dial()
		_, _ = actor.Ask(ctx, c.injectors[m.set.direction], func(r actor.Reply[struct{}]) setFaults {
			return setFaults{m.set.direction, m.set.faults, r}
		})
	}
	return true
}

// clientEnded reports whether the client has closed its connection. If that happens
// before the server is dialled, the server never hears of the connection, as of a TCP
// handshake that the client has given up.
func clientEnded(s *net.TCPConn) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return ended || err != nil
}

// abort resets the connection to one side by closing the socket without linger.
func (c *conn) abort(side Side) {
	if s := c.sockets[side]; s != nil {
		_ = s.SetLinger(0)
		_ = s.Close()
	}
}

// directionEnded handles the end of a direction. It reports whether the
// connection continues.
func (c *conn) directionEnded(reason endReason) bool {
	if c.group.Context().Err() != nil {
		return true // half open
	}
	switch reason {
	case endedByReset:
		c.abort(Client)
		c.abort(Server)
		return false
	case endedByTruncation:
		return false
	}
	c.openDirections--
	return c.openDirections > 0
}
