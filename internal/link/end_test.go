package link

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// shutdownLimit bounds a Shutdown in these tests. Reaching it fails them.
const shutdownLimit = 10 * time.Second

// Guards against messages that Send has accepted and the peer does not receive
// because the link is ended: the peer's own messages arrive at a closed socket,
// which is reset, and the peer loses what it has not read.
func TestShutdownLosesNoMessage(t *testing.T) {
	const messages, rounds = 100, 100
	forEachTransport(t, func(t *testing.T, d Dialer, l Listener) {
		for range rounds {
			p := connect(t, d, l)
			stopped := make(chan struct{})
			go func() { // the far side sends until its link has ended
				defer close(stopped)
				for p.agent.Send(&msg.OutcomeReply{}) == nil {
				}
			}()
			for range 10 {
				_, err := p.entry.Receive()
				require.NoError(t, err)
			}
			go discard(p.entry)
			for i := range messages {
				require.NoError(t, p.entry.Send(&msg.CreditGrant{Backend: "b", Count: i}))
			}
			ended := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
				defer cancel()
				ended <- p.entry.Shutdown(ctx)
			}()
			for i := range messages {
				m, err := p.agent.Receive()
				require.NoError(t, err, "message %d", i)
				require.Equal(t, &msg.CreditGrant{Backend: "b", Count: i}, m)
			}
			_, err := p.agent.Receive()
			require.ErrorIs(t, err, ErrClosed)
			require.NoError(t, p.agent.Close())
			require.NoError(t, <-ended)
			<-stopped
		}
	})
}

// discard receives until the link has ended.
func discard(c Conn) {
	for {
		if _, err := c.Receive(); err != nil {
			return
		}
	}
}

// Guards against a Shutdown that waits for a peer that does not answer, and
// against one that leaves the link open.
func TestShutdownEndsWithItsContext(t *testing.T) {
	l := newHeldLink(t) // the peer reads nothing and never closes
	ctx, cancel := context.WithCancel(t.Context())
	waiters := l.startWaiters(t)
	ended := actor.NewReply[error]()
	go func() { ended.Put(l.conn.Shutdown(ctx)) }()
	requireIdle(t, waiters) // they do not spin on the half-closed stream
	cancel()
	require.ErrorIs(t, <-ended.C(), context.Canceled)
	require.ErrorIs(t, l.conn.Send(&msg.Heartbeat{}), ErrClosed)
}
