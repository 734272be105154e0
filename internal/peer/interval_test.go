package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	fastInterval = 300 * time.Millisecond
	slowInterval = 1500 * time.Millisecond
	fastSilence  = 1200 * time.Millisecond
	slowSilence  = 6 * time.Second
	linkDelay    = 5 * time.Millisecond
)

// counted is a Handler that counts the received messages.
type counted struct {
	recorder
	received actor.Gauge
}

func (c *counted) Receive(msg.Control) { c.received.Add(1) }

// pacedLink is a link of which an entry determines the heartbeat interval.
type pacedLink struct {
	net          *link.Memory
	agent, entry *counted
	entryOut     Out
}

// withPacedLink runs test with a link between an agent, which follows the interval
// of the entry if follow is set, and an entry.
func withPacedLink(t *testing.T, follow bool, test func(*testing.T, *pacedLink)) {
	synctest.Test(t, func(t *testing.T) {
		net := link.NewMemory(t.Context(), 1)
		net.SetDelay(link.Any, link.Any, linkDelay, 0)
		l, err := net.Listen("entry")
		require.NoError(t, err)
		g := actor.NewGroup(t.Context(), nil)
		p := &pacedLink{net: net, agent: newCounted(), entry: newCounted()}
		dialled, err := net.Dialer("agent").Dial(t.Context(), "entry")
		require.NoError(t, err)
		accepted, err := l.Accept(t.Context())
		require.NoError(t, err)
		timing := Timing{Heartbeat: fastInterval, Silence: fastSilence, Shutdown: ShutdownTimeout}
		agentTiming := timing
		agentTiming.Follow = follow
		go func() { _ = RunWithTiming(g.Context(), dialled, &msg.PeerHello{Agent: true}, p.agent, agentTiming) }()
		go func() { _ = RunWithTiming(g.Context(), accepted, &msg.PeerHello{}, p.entry, timing) }()
		p.entryOut = <-p.entry.up
		test(t, p)
		g.Cancel()
		net.Close()
		synctest.Wait()
	})
}

func newCounted() *counted {
	return &counted{recorder: recorder{make(chan Out, 1), make(chan error, 1)}}
}

// announce lets the entry announce an interval.
func (p *pacedLink) announce(t *testing.T, interval time.Duration) {
	require.True(t, p.entryOut.TrySend(&msg.Heartbeat{Interval: interval}))
}

// receivedIn returns the numbers of messages that both sides receive in d.
func (p *pacedLink) receivedIn(d time.Duration) (agent, entry int64) {
	agent, entry = p.agent.received.Get(), p.entry.received.Get()
	time.Sleep(d)
	return p.agent.received.Get() - agent, p.entry.received.Get() - entry
}

// requireSilent requires that a side ends the link as silent between min and max
// from now.
func requireSilent(t *testing.T, side *counted, min, max time.Duration) {
	start := time.Now()
	require.ErrorIs(t, <-side.down, ErrSilent)
	require.GreaterOrEqual(t, time.Since(start), min)
	require.LessOrEqual(t, time.Since(start), max)
}

// Guards against the heartbeats of idle links at the fixed interval, which cost
// processor time in proportion to agents and entries: 100 messages each way in
// 30 s. A link at the announced interval must neither end.
func TestIdleLinkSendsAtTheAnnouncedInterval(t *testing.T) {
	withPacedLink(t, true, func(t *testing.T, p *pacedLink) {
		p.announce(t, slowInterval)
		agent, entry := p.receivedIn(30 * time.Second)
		require.InDelta(t, 20, agent, 2)
		require.InDelta(t, 20, entry, 2)
		require.Empty(t, p.agent.down)
		require.Empty(t, p.entry.down)
		p.announce(t, fastInterval)
		agent, entry = p.receivedIn(30 * time.Second)
		require.InDelta(t, 100, agent, 2)
		require.InDelta(t, 100, entry, 2)
	})
}

// Guards against a peer that counts as silent by the fixed limit while it sends
// at a longer interval, and against one that never counts as silent.
func TestSilenceLimitFollowsTheAnnouncedInterval(t *testing.T) {
	withPacedLink(t, true, func(t *testing.T, p *pacedLink) {
		p.announce(t, slowInterval)
		time.Sleep(time.Minute)
		p.net.CutBoth("agent", "entry")
		requireSilent(t, p.entry, slowSilence-slowInterval-linkDelay, slowSilence)
	})
}

// Guards against a link that failed without notice while it was idle and is
// noticed only after the limit of an idle link when it is needed: messages of the
// agent that still arrive do not show that it receives those of the entry.
func TestFailedIdleLinkEndsSoonAfterAShorterInterval(t *testing.T) {
	for _, direction := range [][2]string{{"agent", "entry"}, {"entry", "agent"}} {
		for phase := time.Duration(0); phase < slowInterval; phase += 100 * time.Millisecond {
			withPacedLink(t, true, func(t *testing.T, p *pacedLink) {
				p.announce(t, slowInterval)
				time.Sleep(10*time.Second + phase)
				p.net.Cut(direction[0], direction[1])
				p.announce(t, fastInterval)
				requireSilent(t, p.entry, 0, fastSilence)
			})
		}
	}
}

// Guards against a live link that ends when the interval becomes shorter, also
// while a heartbeat at the longer interval is on its way, and against sides that
// keep different intervals after quick changes.
func TestLiveLinkSurvivesChangesOfTheInterval(t *testing.T) {
	withPacedLink(t, true, func(t *testing.T, p *pacedLink) {
		pause := time.Millisecond
		for range 300 {
			p.announce(t, slowInterval)
			time.Sleep(pause)
			p.announce(t, fastInterval)
			time.Sleep(pause)
			pause += 7 * time.Millisecond
		}
		p.announce(t, slowInterval)
		p.announce(t, fastInterval)
		agent, entry := p.receivedIn(30 * time.Second)
		require.InDelta(t, 100, agent, 3)
		require.InDelta(t, 100, entry, 3)
		require.Empty(t, p.agent.down)
		require.Empty(t, p.entry.down)
	})
}

// Guards against a changed timing of a link whose sides announce nothing, as with
// a peer of the former program.
func TestLinkWithoutAnnouncementsKeepsTheFixedInterval(t *testing.T) {
	for _, follow := range []bool{false, true} {
		for _, from := range []string{"agent", "entry"} {
			withPacedLink(t, follow, func(t *testing.T, p *pacedLink) {
				agent, entry := p.receivedIn(30 * time.Second)
				require.InDelta(t, 100, agent, 2)
				require.InDelta(t, 100, entry, 2)
				silent, to := p.entry, "entry"
				if from == "entry" {
					silent, to = p.agent, "agent"
				}
				p.net.Cut(from, to)
				requireSilent(t, silent, fastSilence-fastInterval-linkDelay, fastSilence)
			})
		}
	}
}

// Guards against a peer whose announcement disables the detection of silence, or
// makes a live link end.
func TestAnnouncedIntervalIsBounded(t *testing.T) {
	timing := Timing{Heartbeat: fastInterval, Silence: fastSilence}
	for announced, want := range map[time.Duration]time.Duration{
		-1: fastSilence, 0: fastSilence, 1: fastSilence, fastInterval: fastSilence, slowInterval: slowSilence,
		1<<63 - 1: silenceIntervals * maxHeartbeatInterval,
	} {
		s := &session{timing: timing}
		s.heartbeat(&msg.Heartbeat{Interval: announced})
		require.Equal(t, want, s.silenceLimit(), announced)
	}
}
