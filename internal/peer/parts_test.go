package peer

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// collector is a Handler that keeps what it receives.
type collector struct {
	up       chan Out
	received chan msg.Control
	unsent   chan Unsent
	down     chan error
}

func newCollector() *collector {
	return &collector{make(chan Out, 1), make(chan msg.Control, 10_000), make(chan Unsent, 100), make(chan error, 1)}
}

func (c *collector) Up(_ msg.Control, out Out) error { c.up <- out; return nil }
func (c *collector) Unsent(u Unsent)                 { c.unsent <- u }
func (c *collector) Down(err error)                  { c.down <- err }
func (c *collector) Receive(m msg.Control) {
	if _, heartbeat := m.(*msg.Heartbeat); !heartbeat {
		c.received <- m
	}
}

// take returns the messages that were received.
func (c *collector) take() []msg.Control {
	var list []msg.Control
	for len(c.received) > 0 {
		list = append(list, <-c.received)
	}
	return list
}

// withParts runs test with a link whose receiver joins parts, or does not.
func withParts(t *testing.T, joins bool, test func(t *testing.T, out Out, sender, receiver *collector)) {
	synctest.Test(t, func(t *testing.T) {
		net := link.NewMemory(t.Context(), 1)
		l, err := net.Listen("receiver")
		require.NoError(t, err)
		g := actor.NewGroup(t.Context(), nil)
		sender, receiver := newCollector(), newCollector()
		dialled, err := net.Dialer("sender").Dial(t.Context(), "receiver")
		require.NoError(t, err)
		accepted, err := l.Accept(t.Context())
		require.NoError(t, err)
		go func() { _ = Run(g.Context(), dialled, &msg.PeerHello{JoinsParts: true}, sender) }()
		go func() { _ = Run(g.Context(), accepted, &msg.PeerHello{JoinsParts: joins}, receiver) }()
		test(t, <-sender.up, sender, receiver)
		g.Cancel()
		net.Close()
		synctest.Wait()
	})
}

func sendAndWait(t *testing.T, out Out, m msg.Control) {
	require.True(t, out.TrySend(m))
	time.Sleep(time.Second)
	synctest.Wait()
}

func partRun(i int) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: "00000000000000a1", Index: i}, Number: 1}
}

// startsOfSize returns a message whose starts have a number of bytes.
func startsOfSize(bytes int) *msg.StartRuns {
	m := &msg.StartRuns{Epoch: 1, Instance: "i", StartedAtMS: 1}
	for m.Size() < bytes {
		m.Starts = append(m.Starts, msg.RunStart{Size: msg.RunSize{Run: partRun(len(m.Starts))}, Specification: strings.Repeat("s", 1000)})
	}
	last := &m.Starts[len(m.Starts)-1]
	last.Specification = last.Specification[:len(last.Specification)-(m.Size()-bytes)]
	return m
}

// Guards against starts that exceed a message, and against messages that the peer can't
// receive before the link counts as silent.
func TestLongListsAreSentInParts(t *testing.T) {
	for _, c := range []struct{ bytes, least, most int }{
		{maxPartBytes - 1, 1, 1}, {maxPartBytes, 1, 1}, {maxPartBytes + 1, 2, 2}, {128 * maxPartBytes, 128, 256},
	} {
		t.Run(fmt.Sprintf("%d bytes", c.bytes), func(t *testing.T) {
			withParts(t, true, func(t *testing.T, out Out, _, receiver *collector) {
				sent := startsOfSize(c.bytes)
				sendAndWait(t, out, sent)
				received := receiver.take()
				require.GreaterOrEqual(t, len(received), c.least)
				require.LessOrEqual(t, len(received), c.most)
				var starts []msg.RunStart
				for _, m := range received {
					part := m.(*msg.StartRuns)
					require.LessOrEqual(t, part.Size(), maxPartBytes)
					require.Equal(t, sent.Epoch, part.Epoch)
					require.Equal(t, sent.Instance, part.Instance)
					starts = append(starts, part.Starts...)
				}
				require.Equal(t, sent.Starts, starts)
			})
		})
	}
}

// joinable returns messages of which no part may be applied, with a number of items.
func joinable(items int) []msg.Joinable {
	inventory := &msg.HostInventory{Epoch: 1, Number: 7, ClockMS: 3, MoreEnds: true}
	progress, accepted := &msg.RunsProgress{Epoch: 1, ClockMS: 3}, &msg.InventoryAccepted{Epoch: 1, Number: 7, ClockMS: 3}
	for i := range items {
		inventory.Runs = append(inventory.Runs, msg.RunStatus{Run: partRun(i)})
		inventory.Ended = append(inventory.Ended, msg.RunEnd{Number: uint64(i), Run: partRun(items + i)})
		progress.Runs = append(progress.Runs, msg.RunStatus{Run: partRun(i)})
		accepted.Sizes = append(accepted.Sizes, msg.RunSize{Run: partRun(i)})
	}
	return []msg.Joinable{inventory, progress, accepted}
}

// Guards against an inventory of which a part is taken for the whole, and against runs that
// a report seems to miss.
func TestPartsThatMayNotBeAppliedAreJoined(t *testing.T) {
	for _, items := range []int{1, 100, 5000, 60_000} {
		withParts(t, true, func(t *testing.T, out Out, _, receiver *collector) {
			for _, m := range joinable(items) {
				sendAndWait(t, out, m)
				received := receiver.take()
				require.Len(t, received, 1)
				require.True(t, received[0].(msg.Joinable).Items() == m.Items() && !received[0].(msg.Joinable).Continued())
				require.Equal(t, m, received[0])
			}
		})
	}
}

// Guards against parts for a former program, which takes each for the whole.
func TestPeerThatDoesNotJoinPartsReceivesWholeMessages(t *testing.T) {
	withParts(t, false, func(t *testing.T, out Out, sender, receiver *collector) {
		for _, m := range joinable(5000) {
			sendAndWait(t, out, m)
			require.Equal(t, []msg.Control{m}, receiver.take())
		}
		for _, m := range joinable(250_000) { // above the limit of a message
			sendAndWait(t, out, m)
			require.Len(t, sender.unsent, 1)
			require.True(t, (<-sender.unsent).Message == msg.Control(m))
			require.Zero(t, len(receiver.take()))
		}
		require.Empty(t, sender.down)
	})
}

// Guards against a message that can't be sent and ends the link each time it is tried.
func TestMessageThatIsTooLargeDoesNotEndTheLink(t *testing.T) {
	withParts(t, true, func(t *testing.T, out Out, sender, receiver *collector) {
		huge := &msg.StartRuns{Starts: []msg.RunStart{
			{Size: msg.RunSize{Run: partRun(1)}, Specification: strings.Repeat("s", wire.MaxControl)},
			{Size: msg.RunSize{Run: partRun(2)}, Specification: "small"},
		}}
		for range 20 {
			sendAndWait(t, out, huge)
			unsent := <-sender.unsent
			require.Len(t, unsent.Message.(*msg.StartRuns).Starts, 1)
			require.ErrorIs(t, unsent.Err, link.ErrTooLarge)
			require.Equal(t, "StartRuns", unsent.Fields("p")["kind"])
			received := receiver.take()
			require.Len(t, received, 1, "the other start is sent")
			require.Equal(t, partRun(2), received[0].(*msg.StartRuns).Starts[0].Size.Run)
		}
		require.Empty(t, sender.down)
		require.Empty(t, receiver.down)
	})
}

// Guards against parts of a former message that are joined with a later one.
func TestPartsOfAnotherMessageAreNotJoined(t *testing.T) {
	var j joiner
	require.Nil(t, j.join(&msg.HostInventory{Number: 1, More: true, Runs: []msg.RunStatus{{Run: partRun(1)}}}))
	heartbeat := &msg.Heartbeat{}
	require.Equal(t, msg.Control(heartbeat), j.join(heartbeat), "other messages pass")
	whole := &msg.HostInventory{Number: 2, Runs: []msg.RunStatus{{Run: partRun(2)}}}
	require.Equal(t, msg.Control(whole), j.join(whole))
	require.Equal(t, msg.Control(whole), j.join(whole), "nothing is held any more")
}
