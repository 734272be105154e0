package jobdaemon

import (
	"context"
	"fmt"
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
	"github.com/bambooscale/bambooscale/internal/workload"
)

// countingDialer counts the messages of a process on its links, by address.
type countingDialer struct {
	link.Dialer
	sent, received map[string]*actor.Gauge
}

func newCountingDialer(d link.Dialer, addresses []string) *countingDialer {
	c := &countingDialer{d, map[string]*actor.Gauge{}, map[string]*actor.Gauge{}}
	for _, address := range addresses {
		c.sent[address], c.received[address] = &actor.Gauge{}, &actor.Gauge{}
	}
	return c
}

func (d *countingDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, d.sent[address], d.received[address]}, nil
}

type countingConn struct {
	link.Conn
	sent, received *actor.Gauge
}

func (c *countingConn) Send(m msg.Control) error {
	c.sent.Add(1)
	return c.Conn.Send(m)
}

func (c *countingConn) Receive() (msg.Control, error) {
	m, err := c.Conn.Receive()
	if err == nil {
		c.received.Add(1)
	}
	return m, err
}

// siteAgent is an agent that is linked to the entries of an ownerSite. It has no
// backend server, so it sends no inventory.
type siteAgent struct {
	agent *agent
	dial  *countingDialer
}

// startAgents starts agents and waits until they are linked to all entries.
func (s *ownerSite) startAgents(count int) []*siteAgent {
	var entries []string
	for name := range s.entries {
		entries = append(entries, name)
	}
	var agents []*siteAgent
	for i := range count {
		name := fmt.Sprintf("agent-%d", i)
		a := &siteAgent{dial: newCountingDialer(s.net.Dialer(name), entries)}
		a.agent = startAgentActors(s.group, AgentConfig{
			Core: hostagent.Config{Name: workload.HostName(name), OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
			Boot: uint64(i) + 1, Seeds: entries, Store: s.store,
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		}, a.dial)
		agents = append(agents, a)
	}
	s.advance(5 * time.Second)
	for _, a := range agents {
		for _, entry := range entries {
			require.True(s.t, a.linkedTo(entry))
		}
	}
	return agents
}

func (a *siteAgent) linkedTo(entry string) bool { return (*a.agent.published.linked.Get())[entry] }

// countIn returns the numbers of messages on the link to an entry during d.
func (a *siteAgent) countIn(entry string, d time.Duration) (sent, received int64) {
	sent, received = a.dial.sent[entry].Get(), a.dial.received[entry].Get()
	time.Sleep(d)
	return a.dial.sent[entry].Get() - sent, a.dial.received[entry].Get() - received
}

// Guards against the processor time of heartbeats on the links between agents and
// entries that do not own the jobs: 100 messages each way in 30 s, on each of
// agents times entries links. The interval follows the ownership.
func TestLinksToEntriesThatDoNotOwnTheJobsAreQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190, 800, 400)
		defer s.stop()
		agents := s.startAgents(2)
		requireQuiet := func(a *siteAgent, entry string) {
			sent, received := a.countIn(entry, 30*time.Second)
			require.InDelta(t, 20, sent, 2, entry)
			require.InDelta(t, 20, received, 2, entry)
		}
		requireFast := func(a *siteAgent, entry string) { // claims without an answer are repeated beside the heartbeats
			sent, received := a.countIn(entry, 30*time.Second)
			require.GreaterOrEqual(t, sent, int64(98), entry)
			require.GreaterOrEqual(t, received, int64(98), entry)
		}
		for _, a := range agents {
			requireQuiet(a, "entry-0")
			requireFast(a, "entry-1")
			requireQuiet(a, "entry-2")
		}
		retired := actor.NewReply[bool]()
		s.entries["entry-1"].controller.post(t.Context(), &retireRequest{retired})
		s.advance(3 * time.Second)
		for _, a := range agents {
			requireQuiet(a, "entry-0")
			requireQuiet(a, "entry-1")
			requireFast(a, "entry-2")
		}
	})
}

// Guards against a new owner that notices only after the limit of an idle link
// that its link to an agent had failed, and claims that host so much later.
func TestNewOwnerNoticesAFailedIdleLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190, 800, 400)
		defer s.stop()
		agents := s.startAgents(2)
		s.net.Cut("agent-0", "entry-2")
		s.kill("entry-1")
		const takeover = 400 * time.Millisecond
		s.advance(takeover + linkTiming.Silence)
		require.Equal(t, []string{"entry-2"}, s.owners())
		require.False(t, agents[0].linkedTo("entry-2"))
		require.True(t, agents[1].linkedTo("entry-2"), "a link that works was ended")
		s.net.Heal("agent-0", "entry-2")
		s.advance(dialTimeout + time.Second)
		require.True(t, agents[0].linkedTo("entry-2"))
		s.advance(20 * time.Second)
		require.True(t, agents[0].linkedTo("entry-2"))
		require.True(t, agents[1].linkedTo("entry-2"))
	})
}

// Guards against an owner that becomes silent and is noticed later than after the
// fixed limit: by an agent, or by the entry that replaces it. The owner took over
// while the links were idle.
func TestSilentOwnerIsNoticedFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190, 800, 400)
		defer s.stop()
		agents := s.startAgents(2)
		s.kill("entry-1")
		s.advance(10 * time.Second)
		require.Equal(t, []string{"entry-2"}, s.owners())
		s.net.CutBoth("entry-2", link.Any)
		s.advance(linkTiming.Silence)
		require.False(t, agents[0].linkedTo("entry-2"))
		require.False(t, agents[1].linkedTo("entry-2"))
		require.True(t, agents[0].linkedTo("entry-0"))
		const takeover = 500 * time.Millisecond
		s.advance(takeover)
		require.Contains(t, s.owners(), "entry-0")
	})
}

// linkCounter is a handler of a link of an agent. It counts the messages.
type linkCounter struct {
	received actor.Gauge
	down     chan error
}

func (*linkCounter) Up(msg.Control, peer.Out) error { return nil }
func (a *linkCounter) Receive(msg.Control)          { a.received.Add(1) }
func (*linkCounter) Unsent(peer.Unsent)             {}
func (a *linkCounter) Down(err error)               { a.down <- err }

// Guards against links that end during a restart with a new program: an agent of
// the former program ends a link after the fixed limit, whatever is announced.
func TestAgentOfTheFormerProgramStaysLinked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190, 800)
		defer s.stop()
		for _, entry := range []string{"entry-0", "entry-1"} {
			conn, err := s.net.Dialer("former").Dial(t.Context(), entry)
			require.NoError(t, err)
			a := &linkCounter{down: make(chan error, 1)}
			hello := &msg.PeerHello{Member: msg.Member{Name: "former"}, Agent: true}
			actor.Go(s.group, "former agent", func(ctx context.Context) error {
				return peer.RunWithTiming(ctx, conn, hello, a, linkTiming)
			})
			s.advance(time.Second)
			before := a.received.Get()
			s.advance(30 * time.Second)
			require.Empty(t, a.down)
			require.GreaterOrEqual(t, a.received.Get()-before, int64(98), "heartbeats, and the claims of the owner")
		}
	})
}

// Guards against an owner that claims a host over one link of its agent and waits
// for the limit of an idle link on another, which may be the present one.
func TestAllLinksOfAnAgentFollowTheOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190, 800)
		defer s.stop()
		timing := linkTiming
		timing.Follow = true
		var agents []*linkCounter
		for range 2 {
			conn, err := s.net.Dialer("twice").Dial(t.Context(), "entry-0")
			require.NoError(t, err)
			a := &linkCounter{down: make(chan error, 1)}
			hello := &msg.PeerHello{Member: msg.Member{Name: "twice"}, Agent: true, FollowsHeartbeat: true}
			actor.Go(s.group, "agent", func(ctx context.Context) error { return peer.RunWithTiming(ctx, conn, hello, a, timing) })
			agents = append(agents, a)
		}
		s.advance(time.Second)
		s.kill("entry-1")
		s.advance(time.Second)
		for _, a := range agents {
			before := a.received.Get()
			s.advance(30 * time.Second)
			require.Empty(t, a.down)
			require.GreaterOrEqual(t, a.received.Get()-before, int64(98))
		}
	})
}
