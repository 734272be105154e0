package link

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawDial connects to a listener without the link protocol.
func rawDial(t *testing.T, address string) net.Conn {
	t.Helper()
	sock, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = sock.Close() })
	return sock
}

// rawAgent connects with a correct handshake and returns the session and the
// control stream, on which a test can send arbitrary bytes.
func rawAgent(t *testing.T, address string) (*session, *yamux.Stream) {
	t.Helper()
	sock := rawDial(t, address)
	mux, control, err := dialHandshake(t.Context(), sock)
	require.NoError(t, err)
	t.Cleanup(func() { _ = closeSession(sock, mux) })
	return mux, control
}

func accept(t *testing.T, l Listener) Conn {
	t.Helper()
	c, err := l.Accept(t.Context())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// requireUsable sends a control message and a frame on a link.
func requireUsable(t *testing.T, p linkPair) {
	t.Helper()
	require.NoError(t, p.agent.Send(&msg.Heartbeat{}))
	_, err := p.entry.Receive()
	require.NoError(t, err)
	entry, agent := openStream(t, p)
	require.NoError(t, entry.Send(&msg.Started{}))
	receiveFrame[*msg.Started](t, agent)
	require.NoError(t, entry.Close())
	require.NoError(t, agent.Close())
}

// envelope returns an envelope with a header of the given version.
func envelope(version byte, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{version}, uint32(len(payload)))
	return append(b, payload...)
}

// Guards against malformed first bytes of a peer that end the process or
// another link, or that cause an error of the wrong type.
func TestMalformedHandshakeEndsOnlyItsLink(t *testing.T) {
	otherVersion := wire.Preamble()
	otherVersion[len(otherVersion)-1]++
	cases := map[string]struct {
		bytes []byte
		want  error
	}{
		"another protocol":     {[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), ErrMalformed},
		"another version":      {otherVersion, ErrVersion},
		"a truncated preamble": {wire.Preamble()[:3], ErrMalformed},
		"no bytes":             {nil, ErrClosed},
		"not yamux":            {append(wire.Preamble(), "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"...), ErrMalformed},
	}
	d, l := tcpDialerAndListener(t, Config{})
	healthy := connect(t, d, l)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sock := rawDial(t, l.Addr())
			_, err := sock.Write(c.bytes)
			require.NoError(t, err)
			_ = sock.(*net.TCPConn).CloseWrite() // fails when the listener has reset the connection already
			conn := accept(t, l)
			_, err = conn.Receive()
			require.ErrorIs(t, err, c.want)
			require.ErrorIs(t, conn.Send(&msg.Heartbeat{}), c.want)
			requireUsable(t, healthy)
		})
	}
}

// Guards against a malformed envelope on the control stream that is skipped,
// that ends another link, or that causes an error of the wrong type.
func TestMalformedControlEndsItsLink(t *testing.T) {
	cases := map[string]struct {
		bytes []byte
		want  error
	}{
		"not protobuf":      {envelope(wire.Version, 0xff, 0xff), ErrMalformed},
		"no kind":           {envelope(wire.Version), ErrMalformed},
		"too long":          {[]byte{wire.Version, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		"another version":   {envelope(wire.Version+1, 0), ErrVersion},
		"truncated payload": {envelope(wire.Version, 1, 2, 3)[:6], ErrClosed},
	}
	d, l := tcpDialerAndListener(t, Config{})
	healthy := connect(t, d, l)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			mux, control := rawAgent(t, l.Addr())
			conn := accept(t, l)
			_, err := control.Write(c.bytes)
			require.NoError(t, err)
			require.NoError(t, control.Close())
			_, err = conn.Receive()
			require.ErrorIs(t, err, c.want)
			_, err = conn.OpenStream(t.Context())
			require.ErrorIs(t, err, c.want)
			<-mux.CloseChan()
			requireUsable(t, healthy)
		})
	}
}

// Guards against a malformed frame on a request stream after which the link
// stays in use, or after which Receive on the control stream does not return
// ErrMalformed.
func TestMalformedFrameEndsItsLink(t *testing.T) {
	d, l := tcpDialerAndListener(t, Config{})
	healthy := connect(t, d, l)
	mux, _ := rawAgent(t, l.Addr())
	conn := accept(t, l)
	stream, err := conn.OpenStream(t.Context())
	require.NoError(t, err)
	raw, err := mux.AcceptStream()
	require.NoError(t, err)
	_, err = raw.Write(envelope(wire.Version, 0x7f))
	require.NoError(t, err)
	_, err = stream.Receive()
	require.ErrorIs(t, err, ErrMalformed)
	_, err = conn.Receive()
	require.ErrorIs(t, err, ErrMalformed)
	requireUsable(t, healthy)
}

// Guards against a stream that ends inside a frame and is mistaken for an
// orderly end, or that also ends its link.
func TestStreamEndInsideAFrameIsAReset(t *testing.T) {
	_, l := tcpDialerAndListener(t, Config{})
	mux, control := rawAgent(t, l.Addr())
	conn := accept(t, l)
	stream, err := conn.OpenStream(t.Context())
	require.NoError(t, err)
	raw, err := mux.AcceptStream()
	require.NoError(t, err)
	_, err = raw.Write([]byte{wire.Version, 0, 0, 0, 9, 1})
	require.NoError(t, err)
	require.NoError(t, raw.Close())
	_, err = stream.Receive()
	require.ErrorIs(t, err, ErrReset)
	b, err := wire.AppendControl(nil, &msg.Heartbeat{})
	require.NoError(t, err)
	_, err = control.Write(b)
	require.NoError(t, err)
	_, err = conn.Receive()
	require.NoError(t, err)
}

// Guards against a Dial that returns the same error for a peer of another
// version, a peer of another protocol and a peer that closes the connection.
func TestDialDistinguishesHandshakeErrors(t *testing.T) {
	otherVersion := wire.Preamble()
	otherVersion[len(otherVersion)-1]++
	for want, preamble := range map[error]string{
		ErrVersion: string(otherVersion), ErrMalformed: "HTTP/1.1 400 Bad Request\r\n\r\n", ErrClosed: "",
	} {
		sock, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		served := make(chan error, 1)
		go func() {
			c, err := sock.Accept()
			if err == nil {
				_, err = io.WriteString(c, preamble)
				_, _ = io.CopyN(io.Discard, c, wire.PreambleSize)
				_ = c.Close()
			}
			served <- err
		}()
		g := actor.NewGroup(t.Context(), nil)
		_, err = NewDialer(g, Config{}).Dial(t.Context(), sock.Addr().String())
		require.ErrorIs(t, err, want)
		require.NoError(t, <-served)
		require.NoError(t, sock.Close())
		g.Stop()
	}
}

// Guards against a peer that sends no preamble and thereby blocks other
// connections of the listener, or a Dial whose context is cancelled.
func TestSilentPeerDoesNotBlockOthers(t *testing.T) {
	d, l := tcpDialerAndListener(t, Config{})
	rawDial(t, l.Addr())
	requireUsable(t, connect(t, d, l))

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		c, err := silent.Accept()
		if err == nil {
			_, _ = io.CopyN(io.Discard, c, wire.PreambleSize)
			cancel()
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}
	}()
	_, err = d.Dial(ctx, silent.Addr().String())
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against links that stay open after the actor group that they were
// created in has stopped.
func TestLinksEndWithTheirGroup(t *testing.T) {
	g := actor.NewGroup(t.Context(), nil)
	l, err := Listen(g, "127.0.0.1:0", Config{})
	require.NoError(t, err)
	p := connect(t, NewDialer(g, Config{}), l)
	g.Stop()
	_, err = p.entry.Receive()
	require.ErrorIs(t, err, ErrClosed)
	require.ErrorIs(t, p.agent.Send(&msg.Heartbeat{}), ErrClosed)
}

// Guards against the loss of messages and frames that had been received, and not
// read, when the link was lost. They may be the last ones of a process that
// stops.
func TestReceivedMessagesOutliveTheLink(t *testing.T) {
	_, l := tcpDialerAndListener(t, Config{})
	sock := rawDial(t, l.Addr())
	mux, control, err := dialHandshake(t.Context(), sock)
	require.NoError(t, err)
	t.Cleanup(func() { _ = closeSession(sock, mux) })
	conn := accept(t, l)
	stream, err := conn.OpenStream(t.Context())
	require.NoError(t, err)
	raw, err := mux.AcceptStream()
	require.NoError(t, err)
	out, frames := envelopeWriter{dst: control}, envelopeWriter{dst: raw}
	const messages = 10
	for range messages {
		require.NoError(t, out.writeControl(&msg.Heartbeat{}))
		require.NoError(t, frames.writeFrame(&msg.Started{}))
	}
	_, err = mux.Ping() // the answer follows the receipt of all bytes sent before
	require.NoError(t, err)
	require.NoError(t, sock.(*net.TCPConn).CloseWrite())
	<-conn.(*muxConn).done
	for range messages {
		m, err := conn.Receive()
		require.NoError(t, err)
		require.IsType(t, &msg.Heartbeat{}, m)
		receiveFrame[*msg.Started](t, stream)
	}
	_, err = conn.Receive()
	require.ErrorIs(t, err, ErrClosed)
	_, err = stream.Receive()
	require.ErrorIs(t, err, ErrClosed)
}
