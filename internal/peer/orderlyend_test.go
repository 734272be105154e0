package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// busy is a Handler whose Receive waits until it is released.
type busy struct {
	recorder
	entered, release chan struct{}
}

func (b *busy) Receive(msg.Control) {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.release
}

// Guards against a link that is closed before its last messages have reached the peer: its
// context and its writer had both ended when a busy handler returned, and the end of the
// writer was taken for a failure.
func TestLinkWhoseHandlerIsBusyEndsInAnOrderlyWay(t *testing.T) {
	const messages, rounds = 20, 30
	timing := Timing{Heartbeat: time.Minute, Silence: time.Hour, Shutdown: time.Minute}
	sockets := actor.NewGroup(context.WithoutCancel(t.Context()), nil)
	defer sockets.Stop()
	l, err := link.Listen(sockets, "127.0.0.1:0", link.Config{})
	require.NoError(t, err)
	dialer := link.NewDialer(sockets, link.Config{})
	for range rounds {
		dialled, err := dialer.Dial(t.Context(), l.Addr())
		require.NoError(t, err)
		accepted, err := l.Accept(t.Context())
		require.NoError(t, err)
		far := &counter{recorder: recorder{make(chan Out, 1), make(chan error, 1)}}
		near := &busy{recorder{make(chan Out, 1), make(chan error, 1)}, make(chan struct{}, 1), make(chan struct{})}
		ctx, end := context.WithCancel(t.Context())
		ended := actor.NewReply[error]()
		go func() { _ = RunWithTiming(t.Context(), dialled, &msg.AgentHello{}, far, timing) }()
		go func() { ended.Put(RunWithTiming(ctx, accepted, &msg.EntryHello{}, near, timing)) }()
		out := <-near.up
		for i := range messages {
			require.True(t, out.TrySend(&msg.CreditGrant{Backend: "b", Count: i}))
		}
		<-near.entered // an answer of the peer
		end()
		<-out.Done()
		close(near.release)
		require.ErrorIs(t, <-ended.C(), context.Canceled)
		require.Error(t, <-far.down)
		require.Equal(t, messages, far.received)
	}
}
