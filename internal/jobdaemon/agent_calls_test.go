package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// muteRunner is a backend server that answers polls only. It records when each
// start arrives.
type muteRunner struct {
	runner.Runner
	starts chan time.Time
}

func (r muteRunner) Start(ctx context.Context, _ runner.Target, _ runner.StartRequest) (int64, error) {
	r.starts <- time.Now()
	<-ctx.Done()
	return 0, runner.ErrOutcomeUnknown
}

func (muteRunner) Poll(ctx context.Context, _ runner.Target, p runner.PollRequest) (runner.PollResponse, error) {
	if !actor.Sleep(ctx, p.Wait) {
		return runner.PollResponse{}, runner.ErrOutcomeUnknown
	}
	return runner.PollResponse{ClockMS: 1, StartedAtMS: 1}, nil
}

// Guards against starts on a backend server that has announced that it drains: they
// waited at the agent, behind starts that the backend server did not answer.
func TestStartsThatWaitedAreNotSentToADrainingBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const starts, drainTime = 20, 2 * time.Second // after which nothing may start
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		network := link.NewMemory(t.Context(), 1)
		defer network.Close()
		r := muteRunner{starts: make(chan time.Time, starts)}
		a := startAgentActors(g, AgentConfig{
			Core:   hostagent.Config{Name: "h", OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
			Runner: r, Store: &unavailableTable{}, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		}, network.Dialer("h"))
		host := workload.Host{Instance: "i", StartedAtMS: 1, Service: "s", State: workload.HostReady, Capacity: workload.Resources{MilliCPU: 64_000, MemoryMB: 1000}}
		announce := func(sequence uint64) {
			require.NoError(t, (&registry{a}).Announce(t.Context(), runner.Announcement{Host: host, Sequence: sequence, ClockMS: 1}))
		}
		announce(1)

		refused := make(chan workload.RunID, starts)
		owner := actor.Spawn(g, actor.Spec[msg.Control]{Name: "owner", Mailbox: 64, Run: func(ctx context.Context, in <-chan msg.Control) error {
			return actor.BatchLoop[msg.Control]{Limit: 1, Interval: time.Hour, Tick: func() {}, Flush: func() {}, Apply: func(m msg.Control) {
				if m, ok := m.(*msg.RunsChanged); ok {
					for _, id := range m.Refused {
						refused <- id
					}
				}
			}}.Run(ctx, in)
		}})
		send := func(m any) { require.NoError(t, a.address.Send(t.Context(), m)) }
		send(&linkUp{1, &msg.PeerHello{Member: msg.Member{Name: "owner", Address: "owner"}, Epoch: 1}, owner})
		send(&epochRead{1})
		send(&linkMessage{1, &msg.OwnerClaim{Epoch: 1}})
		time.Sleep(time.Second)
		send(&linkMessage{1, &msg.InventoryAccepted{Epoch: 1, ClockMS: 1}})
		order := &msg.StartRuns{Epoch: 1, Instance: "i", StartedAtMS: 1}
		for i := range starts {
			id := workload.RunID{Task: workload.TaskID{Job: "j", Index: i}, Number: 1}
			order.Starts = append(order.Starts, msg.RunStart{Size: msg.RunSize{Run: id, Charge: workload.Resources{MilliCPU: 100, MemoryMB: 1}}})
		}
		send(&linkMessage{1, order})
		synctest.Wait()
		host.State = workload.HostDraining
		announce(2)
		drainedAt := time.Now()
		time.Sleep(10 * time.Second)
		sent := len(r.starts)
		require.NotZero(t, sent)
		for len(r.starts) > 0 {
			require.Less(t, (<-r.starts).Sub(drainedAt), drainTime)
		}
		require.GreaterOrEqual(t, len(refused), starts-sent, "the owner learns of the starts that were not sent")
	})
}

// Guards against a start that is dropped because the queue of calls is full: nothing
// repeated it, neither the agent nor the owner, and its job never ended. Its queue was
// full of stops that were repeated while the backend server answered nothing.
func TestStartThatDoesNotFitIntoTheQueueIsRefused(t *testing.T) {
	g := actor.NewGroup(t.Context(), nil)
	defer g.Stop()
	block := make(chan struct{})
	defer close(block)
	a := &agent{
		core: hostagent.New(hostagent.Config{Name: "h", OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1}),
		log:  &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, links: map[linkID]peer.Out{}, published: &published{},
	}
	a.calls = actor.Spawn(g, actor.Spec[agentCall]{Name: "callers", Mailbox: 1, Run: func(context.Context, <-chan agentCall) error {
		<-block
		return nil
	}})
	a.polls = actor.Spawn(g, actor.Spec[agentPoll]{Name: "polls", Mailbox: 1, Run: func(context.Context, <-chan agentPoll) error {
		<-block
		return nil
	}})
	refused := make(chan workload.RunID, 8)
	a.links[1] = actor.Spawn(g, actor.Spec[msg.Control]{Name: "owner", Mailbox: 64, Run: func(ctx context.Context, in <-chan msg.Control) error {
		for {
			select {
			case m := <-in:
				if m, ok := m.(*msg.RunsChanged); ok {
					for _, id := range m.Refused {
						refused <- id
					}
				}
			case <-ctx.Done():
				return nil
			}
		}
	}})
	host := workload.Host{Instance: "i", StartedAtMS: 1, Service: "s", State: workload.HostReady, Capacity: workload.Resources{MilliCPU: 64_000, MemoryMB: 1000}}
	a.core.Announced(runner.Announcement{Host: host, Sequence: 1})
	a.core.Received(1, &msg.OwnerClaim{Epoch: 1})
	a.core.PollAnswered(a.core.NextPoll(), runner.PollResponse{ClockMS: 1, StartedAtMS: 1}, nil)
	a.core.Received(1, &msg.InventoryAccepted{Epoch: 1, ClockMS: 1})
	order := &msg.StartRuns{Epoch: 1, Instance: "i", StartedAtMS: 1}
	for i := range 4 {
		id := workload.RunID{Task: workload.TaskID{Job: "j", Index: i}, Number: 1}
		order.Starts = append(order.Starts, msg.RunStart{Size: msg.RunSize{Run: id}})
	}
	a.core.Received(1, order)
	a.flush() // one call fits
	a.flush() // reports what the first has answered
	for i := 1; i < 4; i++ {
		require.Equal(t, i, (<-refused).Task.Index)
	}
}
