// Package faultproxy is a TCP proxy for tests that injects faults between
// real processes. It is used by tests only.
//
// Actors: the proxy holds the faults in force and the list of connections; an
// acceptor owns the listening socket; each connection has an actor that owns
// both sockets, and per direction a reader, a pacer and a writer.
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

// Side is one of the two processes.
type Side uint8

// Sides.
const (
	Client Side = iota
	Server
)

// Faults are the faults of one direction. The zero value passes everything.
type Faults struct {
	Delay time.Duration // added to everything that is read from now on
	// Blackhole stops the direction without a sign to either side, including the
	// end of the stream. What is sent waits, as TCP would send it again, and
	// passes once the hole is gone. The sender blocks when the buffers are full.
	Blackhole bool
	// Truncate lets After more bytes pass on each connection and then closes
	// the connection in order.
	Truncate bool
	After    int64
}

// Proxy is the handle of a running proxy. Its methods wait until a change is
// in force on every connection; bytes that the proxy has begun to write may
// still arrive.
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
	p := &Proxy{group: g.Sub(), address: sock.Addr().String()}
	s := &proxyState{group: p.group, upstream: upstream, conns: map[uint64]actor.Address[connCommand]{}}
	p.commands = actor.Spawn(p.group, actor.Spec[message]{Name: "fault-proxy", Mailbox: 16, Run: s.run})
	s.self = p.commands
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
			if p.commands.Send(ctx, message{accepted: c.(*net.TCPConn)}) != nil {
				_ = c.Close()
			}
		}
	})
	return p, nil
}

// Addr is the address to connect to instead of the upstream's.
func (p *Proxy) Addr() string { return p.address }

// Close ends every connection and waits for the actors.
func (p *Proxy) Close() { p.group.Stop() }

// Set replaces the faults of a direction on present and later connections.
func (p *Proxy) Set(d Direction, f Faults) { p.ask(message{set: &setFaults{direction: d, faults: f}}) }

// Partition stops both directions with Blackhole.
func (p *Proxy) Partition() {
	p.Set(ToServer, Faults{Blackhole: true})
	p.Set(ToClient, Faults{Blackhole: true})
}

// Heal removes the faults of both directions.
func (p *Proxy) Heal() {
	p.Set(ToServer, Faults{})
	p.Set(ToClient, Faults{})
}

// Reset resets every present connection on both sides.
func (p *Proxy) Reset() { p.ask(message{command: connCommand{reset: true}}) }

// HalfOpen resets every present connection towards the side lost and leaves
// the other side's connection open and silent.
func (p *Proxy) HalfOpen(resetSide Side) { p.ask(message{command: connCommand{halfOpen: &resetSide}}) }

// SetUpstream changes the address for later connections, such as of a
// restarted process.
func (p *Proxy) SetUpstream(address string) { p.ask(message{upstream: address}) }

// Connections returns the number of connections that are open on either side.
func (p *Proxy) Connections() int { return p.ask(message{}) }

// ask waits for the answer, which is the number of connections.
func (p *Proxy) ask(m message) int {
	n, _ := actor.Ask(p.group.Context(), p.commands, func(r actor.Reply[int]) message {
		m.done = r
		return m
	})
	return n
}

// message is one order for the proxy's actor: at most one of the fields but
// done is set.
type message struct {
	accepted *net.TCPConn
	ended    uint64 // connection
	set      *setFaults
	command  connCommand
	upstream string
	done     actor.Reply[int]
}

type setFaults struct {
	direction Direction
	faults    Faults
	done      actor.Reply[struct{}]
}

// state is the state of the proxy's actor.
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
			m.done.Put(len(s.conns))
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

// tell sends an order to every connection and waits until it is in force.
func (s *proxyState) broadcast(ctx context.Context, command connCommand) {
	for _, c := range s.conns {
		_, _ = actor.Ask(ctx, c, func(r actor.Reply[struct{}]) connCommand {
			command.done = r
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
