package jobdaemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// restartBound is how long after the loss of a host its lasting tasks run elsewhere at the
// latest: the lease of the runs and the time to start them again.
const restartBound = 9 * time.Second

// newRestartableBackends starts agents with backend servers that can be ended one by one.
func (s *ownerSite) newRestartableBackends(count int) ([]*memoryBackend, []*actor.Group) {
	var backends []*memoryBackend
	var agents []*actor.Group
	for i := range count {
		b := newMemoryBackend(i)
		agents = append(agents, s.startAgent(i, b))
		backends = append(backends, b)
	}
	s.advance(3 * time.Second)
	return backends, agents
}

// startAgentAlone starts an agent whose backend server never announces itself.
func (s *ownerSite) startAgentAlone(i int) {
	var entries []string
	for entry := range s.entries {
		entries = append(entries, entry)
	}
	name := fmt.Sprintf("agent-%d", i)
	startAgentActors(s.group.Sub(), AgentConfig{
		Core: hostagent.Config{Name: workload.HostName(name), OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: hostagent.FirstToken(time.Now().UnixMilli())},
		Boot: uint64(time.Now().UnixNano()), Seeds: entries, Store: s.store, Runner: &memoryBackend{},
		Log: &log.Logger{Handler: make(eventRecorder, 10_000), Level: log.DebugLevel},
	}, s.net.Dialer(name))
}

// requireRunsWithin lets the time pass until one of the backend servers runs a task.
func (s *ownerSite) requireRunsWithin(backends []*memoryBackend, bound time.Duration) time.Duration {
	began := time.Now()
	for {
		for _, b := range backends {
			if len(b.running()) > 0 {
				return time.Since(began)
			}
		}
		require.Less(s.t, time.Since(began), bound, "the task does not run again")
		s.advance(20 * time.Millisecond)
	}
}

// Guards against lasting tasks that never start again because the agent beside their
// backend server was started again when that was lost: its new process has never heard of
// a backend server, so it answers no claim.
func TestTaskOfALostBackendServerRunsAgainAlthoughItsAgentIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends, agents := s.newRestartableBackends(2)
		s.submitLongRunning(1)
		require.Len(t, backends[0].running(), 1)
		agents[0].Cancel()
		s.advance(100 * time.Millisecond)
		s.startAgentAlone(0)
		t.Logf("the task runs again after %v", s.requireRunsWithin(backends[1:], restartBound))
	})
}

// Guards against waits of a takeover that is long over, which an owner repeats whenever it
// loads the jobs again because the table service has lost the history of its watch: the
// tasks of a silent host then never start again.
func TestJobsThatAreLoadedAgainRepeatNoWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends, agents := s.newRestartableBackends(2)
		s.submitLongRunning(1)
		require.Len(t, backends[0].running(), 1)
		s.kill("entry-0")
		s.advance(20 * time.Second)
		require.Equal(t, []string{"entry-1"}, s.owners())
		require.Len(t, backends[0].running(), 1)

		s.entries["entry-1"].store.compacted.Set(true)
		agents[0].Cancel()
		t.Logf("the task runs again after %v", s.requireRunsWithin(backends[1:], restartBound))
		s.storeTestJob()
		s.advance(time.Second)
		require.True(t, s.entries["entry-1"].view.Get().managesTestJob, "the rows that are read again are applied")
	})
}
