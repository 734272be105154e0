package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// recorder is a Handler that passes on the arguments of Up and Down.
type recorder struct {
	up   chan Out
	down chan error
}

func (r *recorder) Up(_ msg.Control, out Out) error { r.up <- out; return nil }
func (r *recorder) Receive(msg.Control)             {}
func (r *recorder) Unsent(Unsent)                   {}
func (r *recorder) Down(err error)                  { r.down <- err }

// withLink runs test with a link between an agent and an entry.
func withLink(t *testing.T, test func(t *testing.T, net *link.Memory, agent, entry *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		net := link.NewMemory(t.Context(), 1)
		l, err := net.Listen("entry")
		require.NoError(t, err)
		g := actor.NewGroup(t.Context(), nil)
		agent := &recorder{make(chan Out, 1), make(chan error, 1)}
		entry := &recorder{make(chan Out, 1), make(chan error, 1)}
		dialled, err := net.Dialer("agent").Dial(t.Context(), "entry")
		require.NoError(t, err)
		accepted, err := l.Accept(t.Context())
		require.NoError(t, err)
		go func() { _ = Run(g.Context(), dialled, &msg.AgentHello{}, agent) }()
		go func() { _ = Run(g.Context(), accepted, &msg.EntryHello{}, entry) }()
		test(t, net, agent, entry)
		g.Cancel()
		net.Close()
		synctest.Wait()
	})
}

// Guards against a link that continues after a message for the peer was
// dropped: a lost credit grant would never be repeated.
func TestDroppedMessageEndsTheLink(t *testing.T) {
	withLink(t, func(t *testing.T, net *link.Memory, agent, entry *recorder) {
		out := <-entry.up
		net.Cut("entry", "agent") // sent messages stay in bounded buffers
		dropped := false
		for range 100_000 {
			if !out.TrySend(&msg.CreditGrant{Backend: "permit-desk@worker", Count: 1}) {
				dropped = true
				break
			}
			synctest.Wait()
		}
		require.True(t, dropped)
		require.ErrorIs(t, <-entry.down, ErrOverflow)
	})
}

// Guards against a link that stays up although nothing arrives from its peer.
func TestSilentPeerEndsTheLink(t *testing.T) {
	withLink(t, func(t *testing.T, net *link.Memory, agent, entry *recorder) {
		<-entry.up
		<-agent.up
		time.Sleep(time.Minute)
		require.Empty(t, entry.down, "heartbeats keep an idle link up")
		start := time.Now()
		net.Cut("agent", "entry")
		require.ErrorIs(t, <-entry.down, ErrSilent)
		require.LessOrEqual(t, time.Since(start), silenceTimeout)
	})
}
