package link

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// linkPair holds both ends of a link: the agent dialled, the entry accepted.
type linkPair struct{ agent, entry Conn }

func connect(t *testing.T, d Dialer, l Listener) linkPair {
	t.Helper()
	agent, err := d.Dial(t.Context(), l.Addr())
	require.NoError(t, err)
	entry, err := l.Accept(t.Context())
	require.NoError(t, err)
	return linkPair{agent, entry}
}

// tcpDialerAndListener returns a dialer and a listener for TCP on loopback.
func tcpDialerAndListener(t *testing.T, cfg Config) (Dialer, Listener) {
	t.Helper()
	g := actor.NewGroup(context.Background(), nil)
	l, err := Listen(g, "127.0.0.1:0", cfg)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = l.Close()
		g.Stop()
	})
	return NewDialer(g, cfg), l
}

// forEachTransport runs a test of the contract of Conn on both
// implementations.
func forEachTransport(t *testing.T, test func(t *testing.T, d Dialer, l Listener)) {
	t.Run("tcp", func(t *testing.T) {
		d, l := tcpDialerAndListener(t, Config{})
		test(t, d, l)
	})
	t.Run("memory", func(t *testing.T) {
		m := NewMemory(context.Background(), 1)
		t.Cleanup(m.Close)
		l, err := m.Listen("entry")
		require.NoError(t, err)
		test(t, m.Dialer("agent"), l)
	})
}

// openStream returns both ends of a stream that the entry opens.
func openStream(t *testing.T, p linkPair) (entry, agent Stream) {
	t.Helper()
	entry, err := p.entry.OpenStream(t.Context())
	require.NoError(t, err)
	agent, err = p.agent.AcceptStream(t.Context())
	require.NoError(t, err)
	return entry, agent
}

func receiveFrame[F msg.Frame](t *testing.T, s Stream) F {
	t.Helper()
	f, err := s.Receive()
	require.NoError(t, err)
	require.IsType(t, *new(F), f)
	return f.(F)
}

// Guards against control messages that are lost, reordered or mixed up
// between the directions.
func TestControlMessagesArriveInOrder(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		p := connect(t, d, l)
		for i := range 100 {
			require.NoError(t, p.agent.Send(&msg.CreditGrant{Backend: "b", Count: i}))
			require.NoError(t, p.entry.Send(&msg.CreditReturn{Backend: "b", Count: i}))
		}
		for i := range 100 {
			m, err := p.entry.Receive()
			require.NoError(t, err)
			require.Equal(t, &msg.CreditGrant{Backend: "b", Count: i}, m)
			m, err = p.agent.Receive()
			require.NoError(t, err)
			require.Equal(t, &msg.CreditReturn{Backend: "b", Count: i}, m)
		}
	})
}

// Guards against frames of an exchange that arrive on another stream, and
// against an end of the stream that is received before frames sent earlier.
func TestExchangesKeepTheirStreams(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		p := connect(t, d, l)
		for _, text := range []string{"first", strings.Repeat("second", 40_000)} {
			entry, agent := openStream(t, p)
			id := model.RequestID{Entry: "e", Boot: 7, Seq: uint64(len(text))}
			require.NoError(t, entry.Send(&msg.RequestHead{ID: id, ContentLength: -1}))
			require.Equal(t, id, receiveFrame[*msg.RequestHead](t, agent).ID)
			sent := make(chan error, 1)
			go func() { sent <- entry.Send(&msg.BodyChunk{Data: []byte(text)}) }()
			require.Equal(t, text, string(receiveFrame[*msg.BodyChunk](t, agent).Data))
			require.NoError(t, <-sent)
			require.NoError(t, agent.Send(&msg.ResponseHead{Status: 200}))
			require.NoError(t, agent.Send(&msg.BodyEnd{Total: 5}))
			require.NoError(t, agent.Close())
			require.Equal(t, 200, receiveFrame[*msg.ResponseHead](t, entry).Status)
			require.Equal(t, int64(5), receiveFrame[*msg.BodyEnd](t, entry).Total)
			_, err := entry.Receive()
			require.Equal(t, io.EOF, err)
			require.NoError(t, entry.Close())
		}
	})
}

// Guards against a Receive that blocks forever because its own process closes
// the stream.
func TestCloseWakesTheReceiver(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		entry, _ := openStream(t, connect(t, d, l))
		got := make(chan error, 1)
		go func() {
			_, err := entry.Receive()
			got <- err
		}()
		require.NoError(t, entry.Close())
		require.ErrorIs(t, <-got, ErrClosed)
		require.ErrorIs(t, entry.Send(&msg.Started{}), ErrClosed)
	})
}

// Guards against a Send that blocks forever on a full window because its own
// process closes the stream.
func TestCloseWakesTheSender(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		entry, _ := openStream(t, connect(t, d, l))
		got := make(chan error, 1)
		chunk := &msg.BodyChunk{Data: make([]byte, 32<<10)}
		go func() {
			err := entry.Send(chunk)
			for err == nil {
				err = entry.Send(chunk)
			}
			got <- err
		}()
		require.NoError(t, entry.Close())
		require.ErrorIs(t, <-got, ErrClosed)
	})
}

// Guards against a lost link that a receiver mistakes for the orderly end of a
// response.
func TestLostLinkIsNotAnOrderlyEnd(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		p := connect(t, d, l)
		entry, agent := openStream(t, p)
		require.NoError(t, agent.Send(&msg.ResponseHead{Status: 200}))
		receiveFrame[*msg.ResponseHead](t, entry)
		require.NoError(t, p.agent.Close())
		_, err := entry.Receive()
		require.ErrorIs(t, err, ErrClosed)
		_, err = p.entry.Receive()
		require.ErrorIs(t, err, ErrClosed)
		_, err = p.entry.OpenStream(t.Context())
		require.ErrorIs(t, err, ErrClosed)
		_, err = p.agent.AcceptStream(t.Context())
		require.ErrorIs(t, err, ErrClosed)
		require.ErrorIs(t, p.agent.Send(&msg.Heartbeat{}), ErrClosed)
		require.NoError(t, p.agent.Close(), "a second Close")
	})
}

// Guards against a message above the size limit that ends the sender's link or
// stream instead of being rejected by Send.
func TestTooLargeMessageIsNotSent(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		p := connect(t, d, l)
		entry, agent := openStream(t, p)
		require.ErrorIs(t, entry.Send(&msg.BodyChunk{Data: make([]byte, 2<<20)}), ErrTooLarge)
		require.ErrorIs(t, p.entry.Send(&msg.DrainBackend{Backend: model.BackendID(make([]byte, 5<<20))}), ErrTooLarge)
		require.NoError(t, entry.Send(&msg.Started{}))
		receiveFrame[*msg.Started](t, agent)
		require.NoError(t, p.entry.Send(&msg.Heartbeat{}))
		m, err := p.agent.Receive()
		require.NoError(t, err)
		require.IsType(t, &msg.Heartbeat{}, m)
	})
}

// Guards against a listener whose Close also ends the accepted links.
func TestLinksOutliveTheListener(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		p := connect(t, d, l)
		require.NoError(t, l.Close())
		_, err := l.Accept(t.Context())
		require.ErrorIs(t, err, ErrClosed)
		require.NoError(t, p.agent.Send(&msg.Heartbeat{}))
		_, err = p.entry.Receive()
		require.NoError(t, err)
		_, err = d.Dial(t.Context(), l.Addr())
		require.Error(t, err)
	})
}

// Guards against AcceptStream, Accept or Dial blocking after their context is
// cancelled.
func TestWaitsEndWithTheContext(t *testing.T) {
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		p := connect(t, d, l)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := p.agent.AcceptStream(ctx)
		require.ErrorIs(t, err, context.Canceled)
		_, err = l.Accept(ctx)
		require.ErrorIs(t, err, context.Canceled)
		_, err = d.Dial(ctx, l.Addr())
		require.Error(t, err)
	})
}
