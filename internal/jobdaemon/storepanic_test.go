package jobdaemon

import (
	"context"
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

// panicStore makes the calls of an entry to the table service panic for a time in which
// an owner makes at least one.
func (s *ownerSite) panicStore(entry string) {
	s.entries[entry].store.panics.Set(true)
	s.advance(time.Second)
	s.entries[entry].store.panics.Set(false)
	s.advance(10 * time.Second)
}

// Guards against an owner that stores nothing any more because one write panicked: it
// counted as in flight for good.
func TestOwnerWritesAfterAPanicOfAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(2)
		s.submitFilling(1, false)
		s.entries["entry-0"].store.panics.Set(true)
		backends[0].endRuns(workload.EndDone)
		s.panicStore("entry-0")
		h := &jobHandler{controller: s.entries["entry-1"].controller}
		status, err := h.Status(t.Context(), workload.Queue{}, "00000000000000a1")
		require.NoError(t, err)
		require.Equal(t, workload.Completed, status.Phase, "its only task has ended")
	})
}

// Guards against an owner that learns no more of jobs and cancellations through the
// table service because one read panicked.
func TestOwnerWatchesTheJobsAfterAPanicOfARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		s.panicStore("entry-0")
		s.storeTestJob()
		s.advance(10 * time.Second)
		owners := s.owners()
		require.Len(t, owners, 1)
		require.True(t, s.entries[owners[0]].view.Get().managesTestJob)
	})
}

// Guards against a new owner that never starts a task because its first read of the
// stored jobs panicked.
func TestNewOwnerPlansAfterAPanicOfItsFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		e := s.entries["entry-1"]
		s.kill("entry-0")
		for !e.view.Get().owns {
			s.advance(time.Millisecond)
		}
		s.panicStore("entry-1")
		owners := s.owners()
		require.Len(t, owners, 1)
		require.True(t, s.entries[owners[0]].view.Get().plans)
	})
}

// Guards against an agent that obeys no owner because its read of the stored epoch
// panicked.
func TestAgentObeysAnOwnerAfterAPanicOfItsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		b := &memoryBackend{instance: "i-agent-0", startedAt: time.Now(), runs: map[workload.RunID]bool{}, events: make(eventRecorder, 10_000)}
		store := &cuttableStore{Store: s.store, group: s.group}
		store.panics.Set(true)
		b.agent = startAgentActors(s.group, AgentConfig{
			Core: hostagent.Config{Name: "agent-0", OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
			Boot: 1, Seeds: []string{"entry-0"}, Store: store, Runner: b, Log: &log.Logger{Handler: b.events, Level: log.DebugLevel},
		}, s.net.Dialer("agent-0"))
		actor.Go(s.group, "announcer", func(ctx context.Context) error { return b.announce(ctx, b.agent) })
		s.advance(time.Second)
		store.panics.Set(false)
		s.advance(10 * time.Second)
		s.submitLongRunning(1)
		require.Len(t, b.running(), 1)
	})
}
