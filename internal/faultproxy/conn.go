package faultproxy

import (
	"context"
	"net"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// connMessage is one order for a connection: one of the fields but done is
// set.
type connCommand struct {
	set      *setFaults
	reset    bool
	halfOpen *Side
	done     actor.Reply[struct{}]
}

// conn is the state of a connection's actor, which owns both sockets. Its
// group holds the actors of the two directions.
type conn struct {
	group     *actor.Group
	upstream  string
	faults    [directions]Faults
	sockets   [2]*net.TCPConn // the server's is nil until it is dialled
	dialling  bool
	dialled   chan *net.TCPConn // nil value: the dial failed
	injectors [directions]actor.Address[setFaults]
	ended     chan endReason
	open      int // directions that have not ended in order
}

// ending says how a direction ended.
type endReason uint8

const (
	endedByEOF   endReason = iota // the end of the stream has passed
	endedByReset                  // a side reset the connection, or took no bytes
	endedByTruncation
)

func newConn(g *actor.Group, client *net.TCPConn, upstream string, faults [directions]Faults) *conn {
	return &conn{
		group: g, upstream: upstream, faults: faults, sockets: [2]*net.TCPConn{Client: client},
		dialled: make(chan *net.TCPConn, 1), ended: make(chan endReason, directions), open: int(directions),
	}
}

func (c *conn) run(ctx context.Context, in <-chan connCommand) error {
	defer c.close()
	c.dial()
	for {
		select {
		case m := <-in:
			open := c.handle(ctx, m)
			m.done.Put(struct{}{})
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

// close ends the sockets first, so that the readers and writers return.
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

// dial connects to the server, unless a direction has a hole: then neither
// the request for a connection nor the answer to it would pass.
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

// connect starts both directions. It reports whether the connection goes on:
// the client of a server that refuses is reset.
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

// settle waits for a dial in progress, so that an order finds both sockets.
func (c *conn) awaitDial() bool {
	if !c.dialling || c.sockets[Server] != nil {
		return true
	}
	return c.connect(<-c.dialled)
}

// handle reports whether the connection goes on.
func (c *conn) handle(ctx context.Context, m connCommand) bool {
	switch {
	case !c.awaitDial():
		return false
	case m.reset:
		c.abort(Client)
		c.abort(Server)
		return false
	case m.halfOpen != nil:
		c.group.Cancel() // the directions end without a sign to the other side
		c.abort(*m.halfOpen)
		return c.sockets[1-*m.halfOpen] != nil
	case m.set != nil:
		c.faults[m.set.direction] = m.set.faults
		c.dial()
		_, _ = actor.Ask(ctx, c.injectors[m.set.direction], func(r actor.Reply[struct{}]) setFaults {
			return setFaults{m.set.direction, m.set.faults, r}
		})
	}
	return true
}

// abort resets the connection to one side.
func (c *conn) abort(side Side) {
	if s := c.sockets[side]; s != nil {
		_ = s.SetLinger(0)
		_ = s.Close()
	}
}

// directionEnded reports whether the connection goes on.
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
	c.open--
	return c.open > 0
}
