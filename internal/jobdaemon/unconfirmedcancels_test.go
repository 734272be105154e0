package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// linkDelay keeps what entry-1 sends to the owner on the way until the link is lost.
const linkDelay = 20 * time.Millisecond

// cutOwnerFromStore leaves the owner the links only, and waits until its watch fails.
func (s *cancelSite) cutOwnerFromStore() {
	s.entries["entry-0"].store.cut.Set(new(true))
	s.advance(watchWait + watchPause)
}

// loseLink ends the link between the owner and entry-1 with all that is on the way.
func (s *cancelSite) loseLink() {
	s.net.Reset("entry-0", "entry-1")
	synctest.Wait()
}

// awaitLink waits until entry-1 has a link to the owner.
func (s *cancelSite) awaitLink() {
	published := s.entries["entry-1"].controller.published
	for end := time.Now().Add(cancelBound); ; s.advance(time.Millisecond) {
		if linked := published.linked.Get(); linked != nil && (*linked)["entry-0"] {
			return
		}
		require.True(s.t, time.Now().Before(end), "there is no link")
	}
}

// Guards against a cancel that is lost with the link on which it was sent: it was sent
// once, and an owner that does not reach the table service never learned of it. The next
// link, on which it is sent again, may be lost like the first one.
func TestCancelIsSentAgainOnEachLink(t *testing.T) {
	for losses := range 3 {
		synctest.Test(t, func(t *testing.T) {
			s := newCancelSite(t)
			defer s.stop()
			s.cutOwnerFromStore()
			s.net.SetDelay("entry-1", "entry-0", linkDelay, 0)
			s.cancelJob()
			for range losses {
				s.loseLink()
				s.awaitLink()
			}
			require.Len(t, s.backends[0].running(), 1)
			s.requireStopsWithin(margin)
			require.Equal(t, []string{"entry-0"}, s.owners())
		})
	}
}

// Guards against a cancel that is acknowledged while the entry knows no owner, and that
// reaches none of the entries to which it was sent.
func TestCancelReachesAnOwnerThatWasNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCancelSite(t)
		defer s.stop()
		s.cutOwnerFromStore()
		s.kill("entry-1")
		s.net.CutBoth("entry-1", "entry-0")
		s.net.CutBoth("entry-1", "entry-2")
		s.start("entry-1", 400)
		s.advance(linkDelay)
		s.cancelJob()
		s.net.HealBoth("entry-1", "entry-0")
		s.requireStopsWithin(cancelBound - margin)
		require.Equal(t, []string{"entry-0"}, s.owners())
	})
}

// Guards against a cancel that is sent to a former owner only: the next one claims the
// jobs right after it, and may have read the jobs before the cancel was stored.
func TestCancelIsSentAgainToTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPhaseSite(t, 0, 0)
		defer s.stop()
		e := s.start(1, 1)
		defer e.group.Stop()
		tell := func(m any) {
			require.NoError(t, e.c.address.Send(t.Context(), m))
			synctest.Wait()
		}
		former, next := e.recordingLink(t, 1, "former", 1), e.recordingLink(t, 2, "next", 1)
		tell(&linkMessage{1, &msg.OwnerClaim{Epoch: 1, Owner: "former"}})
		tell(&cancelStored{testJob, "q", actor.NewReply[bool]()})
		require.Len(t, former, 1)
		require.Empty(t, next)
		tell(&linkMessage{2, &msg.OwnerClaim{Epoch: 2, Owner: "next"}})
		require.Len(t, next, 1)

		tell(&linkMessage{2, &msg.JobPhases{Epoch: 2, Jobs: []msg.JobPhase{{ID: testJob, Queue: "q", Phase: workload.Cancelled}}}})
		tell(&linkDown{2, nil})
		again := e.recordingLink(t, 3, "next", 2)
		require.Empty(t, again, "the owner has shown that it knows the cancel")
	})
}

// Guards against cancellations that are sent again without bound or end.
func TestUnconfirmedCancelsAreBounded(t *testing.T) {
	u := unconfirmedCancels{}
	id := func(i int) workload.JobID { return boundedJob(i, 1).ID }
	for i := range maxUnconfirmedCancels {
		u.add(id(i), time.Duration(i))
	}
	require.Len(t, u.takeUnsent(1), maxUnconfirmedCancels)
	require.Empty(t, u.takeUnsent(1))
	require.Len(t, u.takeUnsent(2), maxUnconfirmedCancels)
	require.Len(t, u, maxUnconfirmedCancels)
	require.Contains(t, u, id(0))
	u.add(id(maxUnconfirmedCancels), maxUnconfirmedCancels)
	require.Len(t, u, maxUnconfirmedCancels)
	require.NotContains(t, u, id(0), "the oldest")
	require.Contains(t, u, id(maxUnconfirmedCancels))
	u.prune(unconfirmedRetention + 2)
	require.NotContains(t, u, id(1))
	require.Contains(t, u, id(2))
	u.prune(2 * unconfirmedRetention)
	require.Empty(t, u)
}
