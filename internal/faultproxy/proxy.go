// Package faultproxy is a TCP proxy that injects faults between real processes.
// Only tests use it.
//
// The actor of the proxy owns the current faults and the list of connections. An
// acceptor owns the listening socket. The actor of each connection owns both
// sockets; each direction has a reader, a fault injector and a writer.
package faultproxy

import (
	"context"
	"net"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// Direction is one of the two directions through the proxy.
type Direction uint8

// Directions. The client is the process that connects to the proxy.
const (
	ToServer Direction = iota
	ToClient
	directions
)

// Side is one of the two processes that the proxy connects.
type Side uint8

// Sides. The client is the process that connects to the proxy.
const (
	Client Side = iota
	Server
)

// Faults are the faults of one direction. The zero value is no fault.
type Faults struct {
	Delay time.Duration // delays all bytes that are read after the change
	// Blackhole stops all bytes and the end of the stream without notifying
	// either side. They are queued and pass after the fault is removed, as TCP
	// would retransmit them. The sender blocks when the buffers are full. A reset
	// discards what is queued.
	Blackhole bool
	// Truncate passes After more bytes on each connection and then closes the
	// connection without a reset.
	Truncate bool
	After    int64 // bytes
}

// Proxy is a handle of a running proxy. Any goroutine may call its methods. They
// wait until a change is in effect on every connection; bytes that the proxy is
// already writing may still arrive.
type Proxy struct {
	group    *actor.Group
	address  string
	commands actor.Address[message]
}

// Start listens on a free port of the loopback interface and forwards each
// connection to upstream. The proxy ends with g.
func Start(g *actor.Group, upstream string) (*Proxy, error) {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := New(g, upstream)
	p.address = sock.Addr().String()
	actor.Go(p.group, "fault-proxy-closer", func(ctx context.Context) error {
		<-ctx.Done()
		return sock.Close()
	})
	actor.Go(p.group, "fault-proxy-acceptor", func(ctx context.Context) error {
		for {
			c, err := sock.Accept()
			if err != nil {
				return nil // closed
			}
			p.Serve(ctx, c.(*net.TCPConn))
		}
	})
	return p, nil
}

// New returns a proxy without a listener, which forwards the connections that are
// passed to Serve. It ends with g.
func New(g *actor.Group, upstream string) *Proxy {
	p := &Proxy{group: g.Sub()}
	s := &proxyState{group: p.group, upstream: upstream, conns: map[uint64]actor.Address[connCommand]{}}
	p.commands = actor.Spawn(p.group, actor.Spec[message]{Name: "fault-proxy", Mailbox: 16, Run: s.run})
	s.self = p.commands
	return p
}

// Serve takes over an accepted connection and forwards it to the upstream.
func (p *Proxy) Serve(ctx context.Context, c *net.TCPConn) {
	if p.commands.Send(ctx, message{accepted: c}) != nil {
		_ = c.Close()
	}
}

// Addr returns the address to connect to instead of the upstream.
func (p *Proxy) Addr() string { return p.address }

// Close ends every connection and waits for the actors.
func (p *Proxy) Close() { p.group.Stop() }

// Set replaces the faults of a direction on current and later connections.
func (p *Proxy) Set(d Direction, f Faults) { p.ask(message{set: &setFaults{direction: d, faults: f}}) }

// Partition sets Blackhole as the only fault of both directions.
func (p *Proxy) Partition() {
	p.Set(ToServer, Faults{Blackhole: true})
	p.Set(ToClient, Faults{Blackhole: true})
}

// Heal removes the faults of both directions.
func (p *Proxy) Heal() {
	p.Set(ToServer, Faults{})
	p.Set(ToClient, Faults{})
}

// Reset resets every current connection on both sides.
func (p *Proxy) Reset() { p.ask(message{command: connCommand{reset: true}}) }

// HalfOpen resets every current connection to resetSide. The connection to the
// other side stays open, and no bytes pass on it.
func (p *Proxy) HalfOpen(resetSide Side) { p.ask(message{command: connCommand{halfOpen: &resetSide}}) }

// SetUpstream changes the address to which later connections are forwarded, for
// example after a restart of the server.
func (p *Proxy) SetUpstream(address string) { p.ask(message{upstream: address}) }

// Connections returns the number of connections that are open on either side.
func (p *Proxy) Connections() int { return p.ask(message{}) }

// ask sends m to the actor of the proxy and returns its reply, the number of open
// connections, or 0 when the proxy has ended.
func (p *Proxy) ask(m message) int {
	n, _ := actor.Ask(p.group.Context(), p.commands, func(r actor.Reply[int]) message {
		m.reply = r
		return m
	})
	return n
}

// message is a message to the actor of the proxy. At most one field other than
// reply is set. Without one it only queries the number of connections.
type message struct {
	accepted *net.TCPConn
	ended    uint64 // ID of a connection that has ended
	set      *setFaults
	command  connCommand
	upstream string
	reply    actor.Reply[int]
}

type setFaults struct {
	direction Direction
	faults    Faults
	reply     actor.Reply[struct{}]
}

// proxyState is the state of the actor of the proxy.
type proxyState struct {
	group    *actor.Group
	self     actor.Address[message]
	upstream string
	faults   [directions]Faults
	conns    map[uint64]actor.Address[connCommand]
	lastID   uint64
}

func (s *proxyState) run(ctx context.Context, in <-chan message) error {
	for {
		select {
		case m := <-in:
			s.handle(ctx, m)
			m.reply.Put(len(s.conns))
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *proxyState) handle(ctx context.Context, m message) {
	switch {
	case m.accepted != nil:
		s.accept(m.accepted)
	case m.ended != 0:
		delete(s.conns, m.ended)
	case m.upstream != "":
		s.upstream = m.upstream
	case m.set != nil:
		s.faults[m.set.direction] = m.set.faults
		s.broadcast(ctx, connCommand{set: m.set})
	case m.command.reset || m.command.halfOpen != nil:
		s.broadcast(ctx, m.command)
	}
}

// broadcast sends a command to every connection and waits until it is in effect.
func (s *proxyState) broadcast(ctx context.Context, command connCommand) {
	for _, c := range s.conns {
		_, _ = actor.Ask(ctx, c, func(r actor.Reply[struct{}]) connCommand {
			command.reply = r
			return command
		})
	}
}

func (s *proxyState) accept(sock *net.TCPConn) {
	s.lastID++
	id := s.lastID
	c := newConn(s.group.Sub(), sock, s.upstream, s.faults)
	s.conns[id] = actor.Spawn(s.group, actor.Spec[connCommand]{
		Name: "fault-proxy-connection", Mailbox: 4, Run: c.run,
		OnExit: func(error) { _ = s.self.Send(s.group.Context(), message{ended: id}) },
	})
}
