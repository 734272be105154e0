package faultproxy

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a proxy in front of a listener of the test.
type rig struct {
	t        *testing.T
	proxy    *Proxy
	upstream net.Listener
}

func newRig(t *testing.T) rig {
	t.Helper()
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = upstream.Close() })
	return rig{t, startProxy(t, upstream.Addr().String()), upstream}
}

func startProxy(t *testing.T, upstream string) *Proxy {
	t.Helper()
	g := actor.NewGroup(context.Background(), func(e actor.Exit) { t.Errorf("%s: %v", e.Actor, e.Err) })
	p, err := Start(g, upstream)
	require.NoError(t, err)
	t.Cleanup(func() {
		p.Close()
		g.Stop()
	})
	return p
}

func (r rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.proxy.Addr())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (r rig) accept() net.Conn {
	r.t.Helper()
	c, err := r.upstream.Accept()
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (r rig) write(c net.Conn, text string) {
	r.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(r.t, err)
}

func (r rig) requireRead(c net.Conn, want string) {
	r.t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	require.NoError(r.t, err)
	require.Equal(r.t, want, string(got))
}

// requireReset checks that a connection ends in a reset, not in order.
func (r rig) requireReset(c net.Conn) {
	r.t.Helper()
	rest, err := io.ReadAll(c)
	require.ErrorIs(r.t, err, syscall.ECONNRESET)
	require.Empty(r.t, rest)
}

// Guards against a proxy without faults that is not transparent: bytes in
// both directions, and a half-closed connection.
func TestTransparentWithoutFaults(t *testing.T) {
	r := newRig(t)
	client, server := r.dial(), r.accept()
	r.write(client, "roster")
	require.NoError(t, client.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(server)
	require.NoError(t, err)
	require.Equal(t, "roster", string(got))
	r.write(server, "passes")
	require.NoError(t, server.Close())
	got, err = io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "passes", string(got))
}

// Guards against a reset of one process that the other sees as an orderly
// end.
func TestResetIsPassedOn(t *testing.T) {
	r := newRig(t)
	client, server := r.dial(), r.accept()
	require.NoError(t, server.(*net.TCPConn).SetLinger(0))
	require.NoError(t, server.Close())
	r.requireReset(client)
}

// Guards against a reset that reaches one side only, or later connections.
func TestReset(t *testing.T) {
	r := newRig(t)
	client, server := r.dial(), r.accept()
	r.proxy.Reset()
	r.requireReset(client)
	r.requireReset(server)
	client, server = r.dial(), r.accept()
	r.write(client, "again")
	r.requireRead(server, "again")
}

// Guards against a half-open connection that both sides notice, or neither.
func TestHalfOpen(t *testing.T) {
	for lost, name := range map[Side]string{Client: "client", Server: "server"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			client, server := r.dial(), r.accept()
			r.write(client, "x")
			r.requireRead(server, "x")
			r.proxy.HalfOpen(lost)
			gone, kept := client, server
			if lost == Server {
				gone, kept = server, client
			}
			r.requireReset(gone)
			require.Equal(t, 1, r.proxy.Connections())
			r.write(kept, "into the void")
			r.proxy.Set(ToServer, Faults{}) // has no effect on it
			r.proxy.Reset()
			r.requireReset(kept)
		})
	}
}

// Guards against a hole in one direction that stops the other one too, or
// that loses what was sent.
func TestHoleOfOneDirection(t *testing.T) {
	r := newRig(t)
	client, server := r.dial(), r.accept()
	r.write(client, "x")
	r.requireRead(server, "x")
	r.proxy.Set(ToClient, Faults{Blackhole: true})
	r.write(server, "held")
	r.write(client, "passes")
	r.requireRead(server, "passes")
	r.proxy.Set(ToClient, Faults{})
	r.requireRead(client, "held")
}

// Guards against bytes that pass a hole which is reset before it is healed.
func TestHoleWithholds(t *testing.T) {
	r := newRig(t)
	client, server := r.dial(), r.accept()
	r.write(client, "x")
	r.requireRead(server, "x")
	r.proxy.Set(ToClient, Faults{Blackhole: true})
	r.write(server, "held")
	r.proxy.Reset()
	r.requireReset(client)
}

// Guards against a connection that reaches the server across a partition.
func TestCutHoldsNewConnections(t *testing.T) {
	r := newRig(t)
	r.proxy.Partition()
	client := r.dial()
	r.write(client, "early")
	other, err := net.Dial("tcp", r.upstream.Addr().String())
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	require.Equal(t, other.LocalAddr().String(), r.accept().RemoteAddr().String(), "the first connection to arrive")
	r.proxy.Heal()
	r.requireRead(r.accept(), "early")
}

// Guards against a truncation that passes more or fewer bytes than asked for,
// or that applies to the other direction.
func TestTruncation(t *testing.T) {
	r := newRig(t)
	r.proxy.Set(ToClient, Faults{Truncate: true, After: 5})
	client, server := r.dial(), r.accept()
	r.write(client, "request")
	r.requireRead(server, "request")
	r.write(server, "response")
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "respo", string(got))
}

// Guards against a client that is kept waiting when its server is gone, and
// against a restarted server that is not reached.
func TestUpstreamThatIsGone(t *testing.T) {
	r := newRig(t)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	r.proxy.SetUpstream(gone.Addr().String())
	if c, err := net.Dial("tcp", r.proxy.Addr()); err == nil {
		r.requireReset(c)
		require.NoError(t, c.Close())
	} else {
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	r.proxy.SetUpstream(r.upstream.Addr().String())
	client := r.dial()
	r.write(client, "back")
	r.requireRead(r.accept(), "back")
}

// Guards against a fault on one link that ends another link of the process,
// or that passes for the orderly end of a response.
func TestLinkThroughTheProxy(t *testing.T) {
	g := actor.NewGroup(context.Background(), nil)
	defer g.Stop()
	l, err := link.Listen(g, "127.0.0.1:0", link.Config{})
	require.NoError(t, err)
	proxy := startProxy(t, l.Addr())
	dial := func(address string) (agent, entry link.Conn) {
		agent, err := link.NewDialer(g, link.Config{}).Dial(t.Context(), address)
		require.NoError(t, err)
		entry, err = l.Accept(t.Context())
		require.NoError(t, err)
		return agent, entry
	}
	agent, entry := dial(proxy.Addr())
	healthyAgent, healthyEntry := dial(l.Addr())

	out, err := entry.OpenStream(t.Context())
	require.NoError(t, err)
	in, err := agent.AcceptStream(t.Context())
	require.NoError(t, err)
	proxy.Set(ToServer, Faults{Truncate: true, After: 100})
	_ = in.Send(&msg.BodyChunk{Data: make([]byte, 1000)}) // fails when the end of the link arrives first
	_, err = out.Receive()
	require.ErrorIs(t, err, link.ErrClosed)
	_, err = agent.Receive()
	require.ErrorIs(t, err, link.ErrClosed)

	require.NoError(t, healthyAgent.Send(&msg.Heartbeat{}))
	_, err = healthyEntry.Receive()
	require.NoError(t, err)
}
