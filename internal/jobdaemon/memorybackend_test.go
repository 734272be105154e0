package jobdaemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
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
	agentGroup *actor.Group  // of the agent, if startAgent has started it
	events     eventRecorder // log of the agent
	panics     actor.Flag    // polls panic
	trouble    actor.Value[backendTrouble]
}

// newMemoryBackend returns the backend server beside agent-i.
func newMemoryBackend(i int) *memoryBackend {
	return &memoryBackend{
		instance: workload.Instance(fmt.Sprintf("i-agent-%d", i)), startedAt: time.Now(), runs: map[workload.RunID]bool{}, events: make(eventRecorder, 10_000),
	}
}

// backendTrouble is called before each call is carried out. An error is the answer of the
// call, which is not carried out.
type backendTrouble func(ctx context.Context) error

// suffer passes a call through the present trouble.
func (b *memoryBackend) suffer(ctx context.Context) error {
	if trouble := b.trouble.Get(); trouble != nil {
		return (*trouble)(ctx)
	}
	return nil
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

func (b *memoryBackend) Start(ctx context.Context, t runner.Target, s runner.StartRequest) (int64, error) {
	if err := b.suffer(ctx); err != nil {
		return 0, err
	}
	return b.call(t, s.LeaseMS, func() error {
		if s.LeaseMS <= b.clockMS() {
			return runner.ErrLeaseExpired
		}
		b.runs[s.Run] = true
		return nil
	})
}

func (b *memoryBackend) Stop(ctx context.Context, t runner.Target, id workload.RunID) (int64, error) {
	if err := b.suffer(ctx); err != nil {
		return 0, err
	}
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
	if err := b.suffer(ctx); err != nil {
		return runner.PollResponse{}, err
	}
	response := runner.PollResponse{StartedAtMS: b.startedAt.UnixMilli()}
	clock, err := b.call(t, p.LeaseMS, func() error {
		b.ends = slices.DeleteFunc(b.ends, func(e msg.RunEnd) bool { return e.Number <= p.Acknowledged })
		response.Ended = slices.Clone(b.ends[:min(len(b.ends), endsPerAnswer)])
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
