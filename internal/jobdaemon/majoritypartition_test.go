package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against tasks that run twice at a time because an owner that is linked with the
// majority of the entries, but not with the table service, gives up the runs of a host
// whose leases its successor extends.
func TestOwnerWithTheMajorityGivesUpNoRunsThatItsSuccessorExtends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 300, 190, 180)
		defer s.stop()
		backends := s.startBackends(3)
		require.Equal(t, []string{"entry-0"}, s.owners())
		s.submitLongRunning(2)
		require.Len(t, backends[0].running(), 1)
		require.Len(t, backends[1].running(), 1)
		s.kill("entry-4") // so that the owner rewrites its row all the time
		s.advance(5 * time.Second)

		members, others := []string{"entry-0", "entry-1", "entry-2", "agent-0", "agent-2"}, []string{"entry-3", "agent-1"}
		s.cutOff(members, others)
		s.requireSingleRuns(backends, 90*time.Second)
		s.heal(members, others)
		s.requireSingleRuns(backends, 10*time.Second)
	})
}

// Guards against tasks that run twice at a time because an owner that all entries it
// knows are linked with gives up the runs of a host whose leases another entry extends:
// one that was missing for so long that it counts as removed, and claims the jobs on the
// other side of a partition.
func TestOwnerGivesUpNoRunsThatARemovedEntryExtends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 300, 200)
		defer s.stop()
		backends := s.startBackends(3)
		require.Equal(t, []string{"entry-0"}, s.owners())
		s.submitLongRunning(2)
		require.Len(t, backends[0].running(), 1)
		require.Len(t, backends[1].running(), 1)

		members := []string{"entry-0", "entry-1", "entry-2", "agent-0", "agent-2"}
		s.cutOff([]string{"entry-3"}, members)
		s.requireSingleRuns(backends, 75*time.Second)
		s.cutOff(members, []string{"agent-1"})
		s.entries["entry-3"].store.cut.Set(new(false))
		s.requireSingleRuns(backends, 60*time.Second)
		s.heal(members, []string{"agent-1", "entry-3"})
		s.requireSingleRuns(backends, 10*time.Second)
	})
}

// Guards against tasks that run twice at a time because the former owner and its
// successor, which are not linked, are both linked with the majority of the entries: the
// former owner was not told of the claim.
func TestFormerOwnerLearnsOfTheClaimFromEntriesThatBothReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 390, 380, 370, 360, 350)
		defer s.stop()
		backends := s.startBackends(3)
		require.Equal(t, []string{"entry-0"}, s.owners())
		s.submitLongRunning(2)
		s.kill("entry-6") // so that the owner rewrites its row all the time
		s.advance(5 * time.Second)

		members, others := []string{"entry-0", "agent-0"}, []string{"entry-3", "entry-4", "agent-1", "agent-2"}
		s.cutOff(members, others)
		for _, reachedByBoth := range []string{"entry-1", "entry-2", "entry-5"} {
			s.entries[reachedByBoth].store.cut.Set(new(true))
			s.net.CutBoth(reachedByBoth, "agent-0")
		}
		s.requireSingleRuns(backends, 30*time.Second)
		require.Len(t, s.owners(), 1)
	})
}
