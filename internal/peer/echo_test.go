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

// echoing is a Handler that keeps the newest heartbeat.
type echoing struct {
	recorder
	newest actor.Value[msg.Heartbeat]
}

func (e *echoing) Receive(m msg.Control) {
	if h, ok := m.(*msg.Heartbeat); ok {
		e.newest.Set(h)
	}
}

// withEchoes runs test with a link between two entries, of which the second echoes
// heartbeats if its program does, and a source of other messages of the first.
func withEchoes(t *testing.T, echoes bool, test func(near, far *echoing, nearEpochs, farEpochs *Epochs, out Out)) {
	synctest.Test(t, func(t *testing.T) {
		net := link.NewMemory(t.Context(), 1)
		net.SetDelay(link.Any, link.Any, linkDelay, 0)
		l, err := net.Listen("far")
		require.NoError(t, err)
		g := actor.NewGroup(t.Context(), nil)
		near, far := &echoing{recorder: recorder{make(chan Out, 1), make(chan error, 1)}}, &echoing{recorder: recorder{make(chan Out, 1), make(chan error, 1)}}
		nearEpochs, farEpochs := &Epochs{StartedAt: time.Now()}, &Epochs{StartedAt: time.Now()}
		dialled, err := net.Dialer("near").Dial(t.Context(), "far")
		require.NoError(t, err)
		accepted, err := l.Accept(t.Context())
		require.NoError(t, err)
		timing := Timing{Heartbeat: fastInterval, Silence: fastSilence, Shutdown: ShutdownTimeout}
		nearTiming, farTiming := timing, timing
		nearTiming.Epochs = nearEpochs
		if echoes {
			farTiming.Epochs = farEpochs
		}
		go func() {
			_ = RunWithTiming(g.Context(), dialled, &msg.PeerHello{EchoesHeartbeat: true}, near, nearTiming)
		}()
		go func() {
			_ = RunWithTiming(g.Context(), accepted, &msg.PeerHello{EchoesHeartbeat: echoes}, far, farTiming)
		}()
		test(near, far, nearEpochs, farEpochs, <-near.up)
		g.Cancel()
		net.Close()
		synctest.Wait()
	})
}

// Guards against an entry that takes another one for informed, or for linked, which is
// not: an echo comes only from a process that has read the stored epoch, and one that
// follows an epoch comes from a process that knows the epoch.
func TestEchoFollowsTheEpoch(t *testing.T) {
	withEchoes(t, true, func(near, far *echoing, nearEpochs, farEpochs *Epochs, out Out) {
		time.Sleep(3 * fastInterval)
		require.Zero(t, near.newest.Get().Echo, "the far process may have known an epoch before it was started")
		require.Positive(t, far.newest.Get().SentAt)
		farEpochs.Known.Set(true)
		nearEpochs.Highest.Raise(7)
		raisedAt := time.Since(nearEpochs.StartedAt)
		for near.newest.Get().Echo < raisedAt {
			time.Sleep(time.Millisecond)
			require.Less(t, time.Since(nearEpochs.StartedAt)-raisedAt, 3*fastInterval)
		}
		require.EqualValues(t, 7, farEpochs.Highest.Get())
		require.EqualValues(t, 7, near.newest.Get().Epoch)
		for range 100 { // messages do not replace heartbeats
			out.TrySend(&msg.CreditGrant{})
			time.Sleep(fastInterval / 10)
			require.Less(t, time.Since(nearEpochs.StartedAt)-near.newest.Get().Echo, 3*fastInterval)
		}
	})
}

// Guards against heartbeats that a peer of a former program does not expect, and against
// more of them than before.
func TestPeerOfAFormerProgramGetsPlainHeartbeats(t *testing.T) {
	withEchoes(t, false, func(near, far *echoing, nearEpochs, farEpochs *Epochs, _ Out) {
		time.Sleep(3 * fastInterval)
		require.Zero(t, far.newest.Get().SentAt)
		require.Zero(t, far.newest.Get().Echo)
		require.Zero(t, near.newest.Get().Echo)
	})
}
