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

// counter is a Handler that counts the credit grants that it receives, and answers
// each message that it receives.
type counter struct {
	recorder
	out      Out
	received int
}

func (c *counter) Up(m msg.Control, out Out) error {
	c.out = out
	return c.recorder.Up(m, out)
}

func (c *counter) Receive(m msg.Control) {
	if _, ok := m.(*msg.CreditGrant); ok {
		c.received++
	}
	c.out.TrySend(&msg.Heartbeat{})
}

// Guards against messages that a link has accepted and the peer does not receive
// because the process ends: those in the queue of the writer, those that are lost
// when the socket is reset, and those that the peer has read and not delivered.
func TestQueuedMessagesAreReceivedBeforeTheLinkEnds(t *testing.T) {
	const messages, rounds = 100, 100
	timing := Timing{Heartbeat: time.Second, Silence: time.Minute, Shutdown: time.Minute} // a busy machine does not end the link
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
		near := &recorder{make(chan Out, 1), make(chan error, 1)}
		ctx, end := context.WithCancel(t.Context())
		ended := actor.NewReply[error]()
		go func() { _ = RunWithTiming(t.Context(), dialled, &msg.AgentHello{}, far, timing) }()
		go func() { ended.Put(RunWithTiming(ctx, accepted, &msg.EntryHello{}, near, timing)) }()
		out := <-near.up
		for i := range messages {
			require.True(t, out.TrySend(&msg.CreditGrant{Backend: "b", Count: i}))
		}
		end()
		require.ErrorIs(t, <-ended.C(), context.Canceled)
		require.Error(t, <-far.down)
		require.Equal(t, messages, far.received)
	}
}
