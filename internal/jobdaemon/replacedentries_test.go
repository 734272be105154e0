package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// claimTime is how long after the loss of an owner its successor has claimed the jobs,
// also if it is an entry that the row does not name and two others precede it.
const claimTime = 1800 * time.Millisecond

// longestWait is how long a successor waits at most for former owners to act no more.
const longestWait = 4 * time.Second

// removeHost separates an agent from all entries, also from those that join later.
func (s *ownerSite) removeHost(agent string, entries ...string) {
	for _, e := range entries {
		s.net.CutBoth(agent, e)
	}
}

// requireStartWithin lets time pass until a backend server runs a task, and checks
// meanwhile that no task runs twice at a time.
func (s *ownerSite) requireStartWithin(bound time.Duration, b *memoryBackend, backends []*memoryBackend) {
	began := time.Now()
	for len(b.running()) == 0 {
		s.requireSingleRuns(backends, 20*time.Millisecond)
		require.Less(s.t, time.Since(began), bound)
	}
	s.t.Logf("the task of the removed host starts %v after the loss of the owner", time.Since(began))
	s.requireSingleRuns(backends, 10*time.Second)
}

// Guards against tasks that wait for minutes for a host that was removed, because each
// entry which the owner's row names was replaced and the one that takes over is not named.
func TestTasksOfARemovedHostStartAgainAfterEachNamedEntryWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 390)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		require.Len(t, backends[0].running(), 1)
		s.removeHost("agent-0", "entry-0", "entry-1", "entry-2", "entry-3", "entry-4")
		s.seeds = []string{"entry-1", "entry-2"}
		s.kill("entry-0")
		s.start("entry-3", 300)
		s.start("entry-4", 290)
		s.advance(1500 * time.Millisecond)
		require.Equal(t, []string{"entry-1"}, s.owners())
		s.kill("entry-1")
		s.kill("entry-2")
		s.requireStartWithin(claimTime+longestWait+jobs.LeaseExpiry, backends[2], backends)
		require.NotEmpty(t, s.owners())
	})
}

// Guards against tasks that wait for 10 s longer for a host that was removed, because its
// owner was lost together with so many entries that its successor can inform no majority
// of those which the row names.
func TestTasksOfARemovedHostStartAgainAfterTheMajorityWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 390)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		require.Len(t, backends[0].running(), 1)
		s.removeHost("agent-0", "entry-0", "entry-1", "entry-2")
		s.kill("entry-0")
		s.kill("entry-1")
		s.requireStartWithin(claimTime+longestWait+jobs.LeaseExpiry, backends[2], backends)
	})
}

// informedWait is how long a successor waits that reaches half of the entries which the
// row of the former owner names.
var informedWait = ownership.PermissionTime + 2*linkTiming.Heartbeat

// Guards against a successor that waits as if the former owner might have a majority,
// although it has informed half of the entries that the row names: one of two, or two of
// four.
func TestSuccessorThatHasInformedHalfOfTheEntriesWaitsForTheShorterTime(t *testing.T) {
	for entries := 2; entries <= 4; entries += 2 {
		synctest.Test(t, func(t *testing.T) {
			s := newOwnerSite(t, []model.MilliCPU{800, 400, 390, 380}[:entries]...)
			defer s.stop()
			backends := s.startBackends(3)
			s.submitLongRunning(2)
			require.Len(t, backends[0].running(), 1)
			s.removeHost("agent-0", "entry-0", "entry-1", "entry-2", "entry-3")
			if entries == 4 {
				s.kill("entry-1")
			}
			s.kill("entry-0")
			s.requireStartWithin(claimTime+informedWait+jobs.LeaseExpiry, backends[2], backends)
		})
	}
}

// Guards against a successor that counts the entries of an owner before the last one as
// unknown, although the last one knew that this one acted no more: entries that had
// joined since were not named until its recovery was complete.
func TestOwnerNamesItsEntriesOnceFormerOwnersActNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 390)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		require.Len(t, backends[0].running(), 1)
		s.removeHost("agent-0", "entry-0", "entry-1", "entry-2", "entry-3", "entry-4")
		s.seeds = []string{"entry-1", "entry-2"}
		s.kill("entry-0")
		s.start("entry-3", 300)
		s.start("entry-4", 290)
		s.advance(4 * time.Second)
		require.Equal(t, []string{"entry-1"}, s.owners())
		row, err := s.store.Read(t.Context(), ownerKey)
		require.NoError(t, err)
		owner, err := wire.DecodeOwner(row.Value)
		require.NoError(t, err)
		ending := workload.ParseEndingLeases(owner.EndingLeases)
		require.Len(t, ending, 1)
		require.Positive(t, ending[0].Remaining, "the leases of the removed host have not expired")
		require.Equal(t, "entry-0 entry-1 entry-2 entry-3 entry-4", owner.Entries)
		s.kill("entry-1")
		s.requireStartWithin(claimTime+informedWait+jobs.LeaseExpiry, backends[2], backends)
	})
}
