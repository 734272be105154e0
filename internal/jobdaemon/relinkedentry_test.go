package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against tasks of a removed host that wait for as long as an entry ends and starts
// again: the owner counted the leases from when that entry was linked last, although the
// former owners had stopped long before.
func TestTasksOfARemovedHostDoNotWaitForEntriesThatAreLinkedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends, agents := s.newRestartableBackends(3)
		s.submitLongRunning(1)
		require.Len(t, backends[0].running(), 1)
		s.kill("entry-0")
		s.advance(20 * time.Second)
		require.Equal(t, []string{"entry-1"}, s.owners())
		require.Len(t, backends[0].running(), 1)
		agents[0].Cancel()
		removedAt := time.Now()
		for len(backends[1].running())+len(backends[2].running()) == 0 {
			require.Less(t, time.Since(removedAt), 30*time.Second, "the leases ended 6.42 s after the last grant at the latest")
			s.kill("entry-2")
			s.advance(time.Second)
			s.start("entry-2", 190)
			s.advance(2 * time.Second)
		}
		t.Logf("the task runs again after %v", time.Since(removedAt))
		require.Less(t, time.Since(removedAt), 10*time.Second)
	})
}
