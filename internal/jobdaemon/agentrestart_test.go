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
	"github.com/bambooscale/bambooscale/internal/workload"
)

// startAgent starts an agent for a host. Its backend server is started too.
func (s *ownerSite) startAgent(i int, b *memoryBackend) *actor.Group {
	name := fmt.Sprintf("agent-%d", i)
	g := s.group.Sub()
	b.agentGroup = g
	var entries []string
	for entry := range s.entries {
		entries = append(entries, entry)
	}
	b.agent = startAgentActors(g, AgentConfig{
		Core: hostagent.Config{Name: workload.HostName(name), OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: hostagent.FirstToken(time.Now().UnixMilli())},
		Boot: uint64(time.Now().UnixNano()), Seeds: entries, Store: s.store, Runner: b,
		Log: &log.Logger{Handler: b.events, Level: log.DebugLevel},
	}, s.net.Dialer(name))
	actor.Go(g, "announcer", func(ctx context.Context) error { return b.announce(ctx, b.agent) })
	return g
}

// newAgentRestart divides a site so that entry-0 with the majority does not know that
// entry-2 owns the jobs, while agent-0, which reaches both, has answered entry-2.
func newAgentRestart(t *testing.T, tasks int, longRunning bool) (*ownerSite, []*memoryBackend, []*actor.Group) {
	s := newOwnerSite(t, 800, 400, 190)
	var backends []*memoryBackend
	var agents []*actor.Group
	for i := range 3 {
		b := newMemoryBackend(i)
		agents = append(agents, s.startAgent(i, b))
		backends = append(backends, b)
	}
	s.advance(3 * time.Second)
	require.Equal(t, []string{"entry-0"}, s.owners())
	s.submitFilling(tasks, longRunning)
	require.Len(t, backends[0].running(), 1)

	s.cutOff([]string{"entry-0", "entry-1"}, []string{"entry-2", "agent-1", "agent-2"})
	s.entries["entry-0"].store.cut.Set(new(false))
	s.requireSingleRuns(backends, 1300*time.Millisecond)
	s.entries["entry-0"].store.cut.Set(new(true))
	for backends[0].agent.published.epoch.Get() == nil || *backends[0].agent.published.epoch.Get() < 2 {
		s.requireSingleRuns(backends, 20*time.Millisecond)
	}
	s.requireSingleRuns(backends, 200*time.Millisecond)
	return s, backends, agents
}

// Guards against a task that runs twice at a time because the agent of a host that has
// answered the new owner is started again: the new process knows no epoch, and obeys the
// former owner, which has the majority and does not know yet that it was replaced.
func TestAgentThatIsStartedAgainLetsNoTaskRunTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, backends, agents := newAgentRestart(t, 2, true)
		defer s.stop()
		s.net.CutBoth("agent-0", "entry-2")
		agents[0].Cancel()
		s.requireSingleRuns(backends, 100*time.Millisecond)
		s.startAgent(0, backends[0])
		s.requireSingleRuns(backends, 60*time.Second)
	})
}

// Guards against a task that runs twice at a time because the new owner is started again
// too: its row says that no owner before it may be active once each host has answered, so
// its next process does not wait for the former owner.
func TestOwnerThatIsStartedAgainWithAnAgentLetsNoTaskRunTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, backends, agents := newAgentRestart(t, 2, true)
		defer s.stop()
		s.requireSingleRuns(backends, 300*time.Millisecond)
		s.kill("entry-2")
		s.net.CutBoth("agent-0", "entry-2")
		agents[0].Cancel()
		s.requireSingleRuns(backends, 100*time.Millisecond)
		s.startAgent(0, backends[0])
		s.start("entry-2", 190)
		s.requireSingleRuns(backends, 60*time.Second)
	})
}

// Guards against a task that runs twice at a time because it waits for room at the former
// owner too, which starts it on a host whose agent was started again and obeys it.
func TestFormerOwnerStartsNoTaskOnAnAgentThatIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, backends, agents := newAgentRestart(t, 4, false) // one task waits
		defer s.stop()
		s.net.CutBoth("agent-0", "entry-2")
		agents[0].Cancel()
		s.requireSingleRuns(backends, 100*time.Millisecond)
		s.startAgent(0, backends[0])
		s.requireSingleRuns(backends, 500*time.Millisecond)
		backends[1].endRuns(workload.EndDone)
		backends[0].endRuns(workload.EndDone)
		s.requireSingleRuns(backends, 60*time.Second)
	})
}

// endRuns ends the runs of the backend server.
func (b *memoryBackend) endRuns(reason workload.EndReason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.runs {
		b.end(id, reason)
	}
}
