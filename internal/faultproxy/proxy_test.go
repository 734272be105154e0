package faultproxy

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a proxy in front of a listener that the test owns.
type fixture struct {
	t        *testing.T
	proxy    *Proxy
	upstream net.Listener
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = upstream.Close() })
	return fixture{t, startProxy(t, upstream.Addr().String()), upstream}
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

func (f fixture) dial() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.proxy.Addr())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (f fixture) accept() net.Conn {
	f.t.Helper()
	c, err := f.upstream.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (f fixture) write(c net.Conn, text string) {
	f.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(f.t, err)
}

func (f fixture) requireRead(c net.Conn, want string) {
	f.t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	require.NoError(f.t, err)
	require.Equal(f.t, want, string(got))
}

// requireReset checks that a connection ends with a reset instead of the end of
// the stream, and without further bytes.
func (f fixture) requireReset(c net.Conn) {
	f.t.Helper()
	rest, err := io.ReadAll(c)
	require.ErrorIs(f.t, err, syscall.ECONNRESET)
	require.Empty(f.t, rest)
}

// Guards against a proxy that changes the stream although no fault is set: in
// either direction, or when one side closes its write half.
func TestTransparentWithoutFaults(t *testing.T) {
	f := newFixture(t)
	client, server := f.dial(), f.accept()
	f.write(client, "roster")
	require.NoError(t, client.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(server)
	require.NoError(t, err)
	require.Equal(t, "roster", string(got))
	f.write(server, "passes")
	require.NoError(t, server.Close())
	got, err = io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "passes", string(got))
}

// Guards against a reset by one process that the other process receives as the
// end of the stream.
func TestResetIsPassedOn(t *testing.T) {
	f := newFixture(t)
	client, server := f.dial(), f.accept()
	require.NoError(t, server.(*net.TCPConn).SetLinger(0))
	require.NoError(t, server.Close())
	f.requireReset(client)
}

// Guards against a reset of one side only, and against a reset of connections
// that are opened later.
func TestReset(t *testing.T) {
	f := newFixture(t)
	client, server := f.dial(), f.accept()
	f.proxy.Reset()
	f.requireReset(client)
	f.requireReset(server)
	client, server = f.dial(), f.accept()
	f.write(client, "again")
	f.requireRead(server, "again")
}

// Guards against a half-open fault that resets both sides or neither.
func TestHalfOpen(t *testing.T) {
	for resetSide, name := range map[Side]string{Client: "client", Server: "server"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			client, server := f.dial(), f.accept()
			f.write(client, "x")
			f.requireRead(server, "x")
			f.proxy.HalfOpen(resetSide)
			reset, open := client, server
			if resetSide == Server {
				reset, open = server, client
			}
			f.requireReset(reset)
			require.Equal(t, 1, f.proxy.Connections())
			f.write(open, "unread")
			f.proxy.Set(ToServer, Faults{}) // must have no effect on the open side
			f.proxy.Reset()
			f.requireReset(open)
		})
	}
}

// Guards against a blackhole in one direction that also stops the other one, and
// against bytes that are lost after the fault is removed.
func TestBlackholeOfOneDirection(t *testing.T) {
	f := newFixture(t)
	client, server := f.dial(), f.accept()
	f.write(client, "x")
	f.requireRead(server, "x")
	f.proxy.Set(ToClient, Faults{Blackhole: true})
	f.write(server, "held")
	f.write(client, "passes")
	f.requireRead(server, "passes")
	f.proxy.Set(ToClient, Faults{})
	f.requireRead(client, "held")
}

// requireConnections waits until the proxy has n connections.
func (f fixture) requireConnections(n int) {
	require.Eventually(f.t, func() bool { return f.proxy.Connections() == n }, time.Second, time.Millisecond)
}

// Guards against queued bytes that pass when a blackholed connection is reset.
func TestBlackholeWithholdsBytes(t *testing.T) {
	f := newFixture(t)
	client, server := f.dial(), f.accept()
	f.write(client, "x")
	f.requireRead(server, "x")
	f.proxy.Set(ToClient, Faults{Blackhole: true})
	f.write(server, "held")
	f.proxy.Reset()
	f.requireReset(client)
}

// Guards against a new connection that reaches the server during a partition.
func TestPartitionHoldsNewConnections(t *testing.T) {
	f := newFixture(t)
	f.proxy.Partition()
	client := f.dial()
	f.write(client, "early")
	other, err := net.Dial("tcp", f.upstream.Addr().String())
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	require.Equal(t, other.LocalAddr().String(), f.accept().RemoteAddr().String(), "the first accepted connection must not come from the proxy")
	f.proxy.Heal()
	f.requireRead(f.accept(), "early")
}

// Guards against a connection that reaches the server although its client gave it up
// during the partition.
func TestPartitionDropsConnectionsThatWereGivenUp(t *testing.T) {
	f := newFixture(t)
	f.proxy.Partition()
	given, kept := f.dial(), f.dial()
	f.write(given, "given up")
	f.write(kept, "kept")
	f.requireConnections(2) // a connection that is accepted after the partition is forwarded
	require.NoError(t, given.Close())
	f.proxy.Heal()
	f.requireRead(f.accept(), "kept")
	f.requireConnections(1)
}

// Guards against a connection that is passed to a proxy without a listener and is not
// forwarded, or not subject to its faults.
func TestServe(t *testing.T) {
	f := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	p := New(f.proxy.group, f.upstream.Addr().String())
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	p.Serve(t.Context(), accepted.(*net.TCPConn))
	server := f.accept()
	f.write(client, "x")
	f.requireRead(server, "x")
	p.Reset()
	f.requireReset(client)
	f.requireReset(server)
}

// Guards against a truncation after a wrong number of bytes or of the wrong
// direction.
func TestTruncation(t *testing.T) {
	f := newFixture(t)
	f.proxy.Set(ToClient, Faults{Truncate: true, After: 5})
	client, server := f.dial(), f.accept()
	f.write(client, "request")
	f.requireRead(server, "request")
	f.write(server, "response")
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "respo", string(got))
}

// Guards against a client that waits although its server refuses connections,
// and against a server with a new address that is not reached.
func TestUnreachableUpstream(t *testing.T) {
	f := newFixture(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	f.proxy.SetUpstream(closed.Addr().String())
	if c, err := net.Dial("tcp", f.proxy.Addr()); err == nil {
		f.requireReset(c)
		require.NoError(t, c.Close())
	} else {
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	f.proxy.SetUpstream(f.upstream.Addr().String())
	client := f.dial()
	f.write(client, "back")
	f.requireRead(f.accept(), "back")
}

// Guards against a fault on one link that ends another link of the process, and
// against a truncation that a stream reports as the regular end of a response.
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
	_ = in.Send(&msg.BodyChunk{Data: make([]byte, 1000)}) // fails if the link has already ended
	_, err = out.Receive()
	require.ErrorIs(t, err, link.ErrClosed)
	_, err = agent.Receive()
	require.ErrorIs(t, err, link.ErrClosed)

	require.NoError(t, healthyAgent.Send(&msg.Heartbeat{}))
	_, err = healthyEntry.Receive()
	require.NoError(t, err)
}
