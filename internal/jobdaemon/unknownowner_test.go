package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// recordingLink returns a link that records the cancellations that it receives.
func (e *phaseEntry) recordingLink(t *testing.T, id linkID, name string, epoch uint64) <-chan workload.JobID {
	cancelled := make(chan workload.JobID, 8)
	out := actor.Spawn(e.group, actor.Spec[msg.Control]{Name: name, Mailbox: 64, Run: func(ctx context.Context, in <-chan msg.Control) error {
		return actor.BatchLoop[msg.Control]{Limit: 1, Interval: time.Hour, Tick: func() {}, Flush: func() {}, Apply: func(m msg.Control) {
			if m, ok := m.(*msg.JobCancelled); ok {
				cancelled <- m.ID
			}
		}}.Run(ctx, in)
	}})
	hello := &msg.PeerHello{Member: msg.Member{Name: name, Address: name}, Epoch: epoch}
	require.NoError(t, e.c.address.Send(t.Context(), &linkUp{id, hello, out}))
	synctest.Wait()
	return cancelled
}

// Guards against cancellations that an entry sends to a former owner of the jobs for
// good, because it learned of the epoch of the present one before its claim. The
// present owner learned of them by its watch only, which fails while it is cut off
// from the store, and started their tasks seconds later.
func TestCancellationsReachTheOwnerThatAHelloPreceded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPhaseSite(t, 0, 0)
		defer s.stop()
		e := s.start(1, 1)
		defer e.group.Stop()
		cancel := func(id workload.JobID) {
			reply := actor.NewReply[bool]()
			require.NoError(t, e.c.address.Send(t.Context(), &cancelStored{id, "q", reply}))
			synctest.Wait()
		}
		former := e.recordingLink(t, 1, "former", 1)
		require.NoError(t, e.c.address.Send(t.Context(), &linkMessage{1, &msg.OwnerClaim{Epoch: 1, Owner: "former"}}))
		present := e.recordingLink(t, 2, "present", 2)
		cancel("while the owner is not known")
		require.Len(t, present, 1)
		require.Len(t, former, 1, "an entry that does not own the jobs ignores it")

		require.NoError(t, e.c.address.Send(t.Context(), &linkMessage{2, &msg.OwnerClaim{Epoch: 2, Owner: "present"}}))
		cancel("after the claim")
		require.Len(t, present, 2)
		require.Len(t, former, 1)
	})
}
