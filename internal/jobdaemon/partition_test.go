package jobdaemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// startBackends starts an agent with a backend server on each host.
func (s *ownerSite) startBackends(count int) []*memoryBackend {
	var entries []string
	for name := range s.entries {
		entries = append(entries, name)
	}
	var backends []*memoryBackend
	for i := range count {
		name := fmt.Sprintf("agent-%d", i)
		b := &memoryBackend{instance: workload.Instance("i-" + name), startedAt: time.Now(), runs: map[workload.RunID]bool{}, events: make(eventRecorder, 10_000)}
		b.agent = startAgentActors(s.group, AgentConfig{
			Core: hostagent.Config{Name: workload.HostName(name), OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
			Boot: uint64(i) + 1, Seeds: entries, Store: s.store, Runner: b,
			Log: &log.Logger{Handler: b.events, Level: log.DebugLevel},
		}, s.net.Dialer(name))
		actor.Go(s.group, "announcer", func(ctx context.Context) error { return b.announce(ctx, b.agent) })
		backends = append(backends, b)
	}
	s.advance(3 * time.Second)
	return backends
}

// submitLongRunning stores a long-running job whose tasks fill a host each.
func (s *ownerSite) submitLongRunning(tasks int) { s.submitFilling(tasks, true) }

// submitFilling stores a job whose tasks fill a host each.
func (s *ownerSite) submitFilling(tasks int, longRunning bool) {
	h := &jobHandler{controller: s.entries["entry-1"].controller, log: s.entries["entry-1"].controller.log, metrics: s.entries["entry-1"].controller.metrics}
	require.NoError(s.t, h.Submit(s.t.Context(), workload.Queue{Name: "q", Service: "desk", MaxAttempts: 3}, workload.Job{ID: "00000000000000a1", Queue: "q", Service: "desk", MaxAttempts: 3, Steps: []workload.Step{
		{Count: tasks, LongRunning: longRunning, Need: workload.Resources{MilliCPU: 3000, MemoryMB: 1}, Estimate: time.Second},
	}}))
	s.advance(3 * time.Second)
}

// cutOff separates the members from all other processes and from the table service.
func (s *ownerSite) cutOff(members, others []string) {
	for _, m := range members {
		for _, o := range others {
			s.net.CutBoth(m, o)
		}
		if e := s.entries[m]; e != nil {
			e.store.cut.Set(new(true))
		}
	}
}

func (s *ownerSite) heal(members, others []string) {
	for _, m := range members {
		for _, o := range others {
			s.net.HealBoth(m, o)
		}
		if e := s.entries[m]; e != nil {
			e.store.cut.Set(new(false))
		}
	}
}

// requireSingleRuns lets d pass and checks that no task runs twice at a time.
func (s *ownerSite) requireSingleRuns(backends []*memoryBackend, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); s.advance(20 * time.Millisecond) {
		seen := map[workload.TaskID]int{}
		for i, b := range backends {
			for _, t := range b.running() {
				if other, twice := seen[t]; twice {
					require.FailNow(s.t, "a task runs twice", "%v on hosts %d and %d, %v before the end", t, other, i, time.Until(end))
				}
				seen[t] = i
			}
		}
	}
}

// Guards against tasks that run twice at a time while a data centre is cut off with the
// owner of the jobs: the owner kept extending the leases of the hosts on its side, and
// its successor took them for expired.
func TestOwnerThatIsCutOffWithAHostLetsItsRunsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		require.Equal(t, []string{"entry-0"}, s.owners())
		s.submitLongRunning(2)
		require.Len(t, backends[0].running(), 1)
		require.Len(t, backends[1].running(), 1)

		members, others := []string{"entry-0", "agent-0"}, []string{"entry-1", "entry-2", "agent-1", "agent-2"}
		s.cutOff(members, others)
		s.requireSingleRuns(backends, 90*time.Second)
		require.Len(t, backends[2].running(), 1, "the successor starts the task of the host that is cut off")
		s.heal(members, others)
		s.requireSingleRuns(backends, 10*time.Second)
		running := 0
		for _, b := range backends {
			running += len(b.running())
		}
		require.Equal(t, 2, running)
	})
}

// Guards against tasks that run twice at a time in a division that is not transitive: the
// owner and entry-1 are cut off from the table service, entry-2 from the owner, and one
// host from all but the owner. entry-1 counted for the majority of both.
func TestOwnerAndItsSuccessorDoNotShareAMajority(t *testing.T) {
	// The owner confirms its row when it misses entry-2, after 1.2 s, and entry-2 claims
	// the jobs 250 ms later.
	for storeCutAfter := 1200 * time.Millisecond; storeCutAfter < 1700*time.Millisecond; storeCutAfter += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newOwnerSite(t, 800, 400, 190)
			defer s.stop()
			backends := s.startBackends(3)
			require.Equal(t, []string{"entry-0"}, s.owners())
			s.submitLongRunning(2)
			require.Len(t, backends[0].running(), 1)

			for _, pair := range [][2]string{{"entry-0", "entry-2"}, {"agent-0", "entry-1"}, {"agent-0", "entry-2"}, {"entry-0", "agent-1"}, {"entry-0", "agent-2"}} {
				s.net.CutBoth(pair[0], pair[1])
			}
			s.entries["entry-1"].store.cut.Set(new(true))
			s.requireSingleRuns(backends, storeCutAfter)
			s.entries["entry-0"].store.cut.Set(new(true))
			s.requireSingleRuns(backends, 30*time.Second)
			require.Equal(t, []string{"entry-2"}, s.owners())
			require.Len(t, backends[2].running(), 1, "the successor starts the task of the host that it does not reach")
		})
	}
}

// Guards against an owner whose row does not say which entries it counts, and against one
// that rewrites its row although nothing changes.
func TestOwnerNamesTheEntriesAndWritesNothingWithoutNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		row := func() (workload.Owner, table.Revision) {
			row, err := s.store.Read(t.Context(), ownerKey)
			require.NoError(t, err)
			owner, err := wire.DecodeOwner(row.Value)
			require.NoError(t, err)
			return owner, row.Version
		}
		owner, version := row()
		require.Equal(t, "entry-0 entry-1 entry-2", owner.Entries)
		s.advance(2 * time.Minute)
		_, later := row()
		writes := int(later - version)
		t.Logf("%d writes in 2 minutes", writes)
		require.LessOrEqual(t, writes, 120)
		require.GreaterOrEqual(t, writes, 100, "an outage may begin before the next write")
		s.start("entry-3", 100)
		s.advance(time.Second)
		owner, _ = row()
		require.Equal(t, "entry-0 entry-1 entry-2 entry-3", owner.Entries)
	})
}

// Guards against an agent that goes on to obey a former owner because the new one does
// not reach it: an entry that knows the new epoch and reaches the agent tells it.
func TestAgentLearnsOfANewOwnerFromAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(1)
		s.net.CutBoth("entry-0", "entry-2")
		s.net.CutBoth("agent-0", "entry-2")
		s.advance(1400 * time.Millisecond)
		s.entries["entry-0"].store.cut.Set(new(true))
		s.entries["entry-1"].store.cut.Set(new(true))
		s.advance(3 * time.Second)
		require.Equal(t, []string{"entry-2"}, s.owners())
		require.EqualValues(t, 2, *backends[0].agent.published.epoch.Get())
	})
}

// Guards against tasks that wait for longer than needed at a takeover while a host is
// silent: the majority knows of the successor soon after its claim.
func TestSuccessorWithAMajorityGivesUpSilentHostsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		members, others := []string{"entry-0", "agent-0"}, []string{"entry-1", "entry-2", "agent-1", "agent-2"}
		s.cutOff(members, others)
		began := time.Now()
		for len(backends[2].running()) == 0 {
			s.advance(10 * time.Millisecond)
			require.Less(t, time.Since(began), 12*time.Second)
		}
		t.Logf("the task of the silent host starts %v after the cut", time.Since(began))
	})
}

// Guards against an owner whose permission ends before it notices a lost entry.
func TestLostEntriesAreNoticedWithinThePermission(t *testing.T) {
	require.Less(t, linkTiming.Silence, ownership.PermissionTime)
}

// Guards against a cancelled job that runs on after its owner was replaced: the
// cancellation was stored, and the owner ended before it had stored the end of the job.
func TestCancelledJobStaysCancelledUnderTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		s.kill("entry-0")
		_, err := s.store.Commit(t.Context(), table.Txn{Puts: []table.Put{{Key: cancelKey("00000000000000a1"), Value: []byte{}}}})
		require.NoError(t, err)
		s.advance(10 * time.Second)
		require.Equal(t, []string{"entry-1"}, s.owners())
		for _, b := range backends {
			require.Empty(t, b.running())
		}
	})
}
