package jobdaemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// memoryBackend is a backend server that runs tasks until they are stopped or their
// leases expire.
type memoryBackend struct {
	mu         sync.Mutex
	instance   workload.Instance
	startedAt  time.Time
	token      uint64
	leaseEndMS int64
	runs       map[workload.RunID]bool
	ends       []msg.RunEnd
	lastEnd    uint64
	agent      *agent
	panics     actor.Flag // polls panic
}

func (b *memoryBackend) clockMS() int64 { return 1000 + time.Since(b.startedAt).Milliseconds() }

// call applies the token and the lease of a call, and then do. It returns the clock.
func (b *memoryBackend) call(t runner.Target, leaseMS int64, do func() error) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	switch {
	case t.Instance != b.instance:
		return b.clockMS(), runner.ErrOtherIncarnation
	case t.Token < b.token:
		return b.clockMS(), runner.ErrFenced
	}
	b.token = t.Token
	b.leaseEndMS = max(b.leaseEndMS, min(leaseMS, b.clockMS()+siteMaxHold.Milliseconds()))
	return b.clockMS(), do()
}

// expire ends the runs if their leases have expired.
func (b *memoryBackend) expire() {
	if b.clockMS() >= b.leaseEndMS {
		for id := range b.runs {
			b.end(id, workload.EndLeaseExpired)
		}
	}
}

func (b *memoryBackend) end(id workload.RunID, reason workload.EndReason) {
	delete(b.runs, id)
	b.lastEnd++
	b.ends = append(b.ends, msg.RunEnd{Number: b.lastEnd, Run: id, Reason: reason})
}

func (b *memoryBackend) Start(_ context.Context, t runner.Target, s runner.StartRequest) (int64, error) {
	return b.call(t, s.LeaseMS, func() error {
		if s.LeaseMS <= b.clockMS() {
			return runner.ErrLeaseExpired
		}
		b.runs[s.Run] = true
		return nil
	})
}

func (b *memoryBackend) Stop(_ context.Context, t runner.Target, id workload.RunID) (int64, error) {
	return b.call(t, 0, func() error {
		if b.runs[id] {
			b.end(id, workload.EndStopped)
		}
		return nil
	})
}

func (b *memoryBackend) Throttle(_ context.Context, t runner.Target, _ workload.RunID, _ int) (int64, error) {
	return b.call(t, 0, func() error { return nil })
}

func (b *memoryBackend) Poll(ctx context.Context, t runner.Target, p runner.PollRequest) (runner.PollResponse, error) {
	actor.Sleep(ctx, min(p.Wait, 50*time.Millisecond))
	if b.panics.Get() {
		panic("malformed answer")
	}
	response := runner.PollResponse{StartedAtMS: b.startedAt.UnixMilli()}
	clock, err := b.call(t, p.LeaseMS, func() error {
		b.ends = slices.DeleteFunc(b.ends, func(e msg.RunEnd) bool { return e.Number <= p.Acknowledged })
		response.Ended = slices.Clone(b.ends)
		for id := range b.runs {
			response.Runs = append(response.Runs, msg.RunStatus{Run: id, CPULimitPercent: 100})
		}
		return nil
	})
	response.ClockMS = clock
	return response, err
}

// running returns the tasks that run now.
func (b *memoryBackend) running() []workload.TaskID {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	var list []workload.TaskID
	for id := range b.runs {
		list = append(list, id.Task)
	}
	return list
}

// cuttableStore is a table service that a process may be cut off from.
type cuttableStore struct {
	Store
	cut actor.Value[bool]
}

func (s *cuttableStore) isCut(ctx context.Context) bool {
	cut := s.cut.Get()
	if cut == nil || !*cut {
		return false
	}
	<-ctx.Done()
	return true
}

func (s *cuttableStore) Commit(ctx context.Context, t table.Txn) (table.Revision, error) {
	if s.isCut(ctx) {
		return 0, storage.ErrOutcomeUnknown
	}
	return s.Store.Commit(ctx, t)
}

func (s *cuttableStore) Read(ctx context.Context, key string) (table.Row, error) {
	if s.isCut(ctx) {
		return table.Row{}, storage.ErrUnavailable
	}
	return s.Store.Read(ctx, key)
}

func (s *cuttableStore) Scan(ctx context.Context, prefix string, after table.Revision) ([]table.Row, table.Revision, error) {
	if s.isCut(ctx) {
		return nil, 0, storage.ErrUnavailable
	}
	return s.Store.Scan(ctx, prefix, after)
}

func (s *cuttableStore) Watch(ctx context.Context, prefix string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	if s.isCut(ctx) {
		return nil, 0, storage.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// startBackends starts an agent with a backend server on each host.
func (s *ownerSite) startBackends(count int) []*memoryBackend {
	var entries []string
	for name := range s.entries {
		entries = append(entries, name)
	}
	var backends []*memoryBackend
	for i := range count {
		name := fmt.Sprintf("agent-%d", i)
		b := &memoryBackend{instance: workload.Instance("i-" + name), startedAt: time.Now(), runs: map[workload.RunID]bool{}}
		b.agent = startAgentActors(s.group, AgentConfig{
			Core: hostagent.Config{Name: workload.HostName(name), OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
			Boot: uint64(i) + 1, Seeds: entries, Store: s.store, Runner: b,
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		}, s.net.Dialer(name))
		actor.Go(s.group, "announcer", func(ctx context.Context) error { return b.announce(ctx, b.agent) })
		backends = append(backends, b)
	}
	s.advance(3 * time.Second)
	return backends
}

// announce announces the backend server to its agent until ctx ends.
func (b *memoryBackend) announce(ctx context.Context, a *agent) error {
	for sequence := uint64(1); ; sequence++ {
		err := (&registry{a}).Announce(ctx, runner.Announcement{Sequence: sequence, ClockMS: b.clockMS(), Host: workload.Host{
			Instance: b.instance, StartedAtMS: b.startedAt.UnixMilli(), Service: "desk", State: workload.HostReady,
			Capacity: workload.Resources{MilliCPU: 4000, MemoryMB: 1000},
		}})
		if err != nil || !actor.Sleep(ctx, time.Second) {
			return nil
		}
	}
}

// submitLongRunning stores a job whose tasks fill a host each.
func (s *ownerSite) submitLongRunning(tasks int) {
	h := &jobHandler{controller: s.entries["entry-1"].controller, log: s.entries["entry-1"].controller.log, metrics: s.entries["entry-1"].controller.metrics}
	require.NoError(s.t, h.Submit(s.t.Context(), workload.Queue{Name: "q", Service: "desk", MaxAttempts: 3}, workload.Job{ID: "00000000000000a1", Queue: "q", Service: "desk", MaxAttempts: 3, Steps: []workload.Step{
		{Count: tasks, LongRunning: true, Need: workload.Resources{MilliCPU: 3000, MemoryMB: 1}, Estimate: time.Second},
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

// Guards against runs that end because the table service is down for all processes:
// nobody can replace the owner then.
func TestRunsGoOnWhileTheTableServiceIsDownForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		for _, e := range s.entries {
			e.store.cut.Set(new(true))
		}
		s.requireSingleRuns(backends, time.Minute)
		for _, b := range backends {
			require.Zero(t, b.lastEnd)
		}
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
