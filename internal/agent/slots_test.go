package agent

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against a request that occupies a slot although it was cancelled: the
// cancellation may arrive before the request. A long request would occupy the
// slot for hours.
func TestCancelBeforeBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlotsTest()
		defer x.group.Stop()
		x.spend(x.entries[0], false)
		r := x.requests[0]
		x.s.handle(requestCancelled{id: r.head.ID})
		x.arrive(r)
		assert.Equal(t, decision{refused: msg.RefusedCancelled}, <-r.reply)
		assert.Zero(t, x.s.status().Running)
	})
}

// Guards against credits that are never freed: the entry has spent one on each
// head, also on a refused one.
func TestRefusedHeadReturnsItsCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlotsTest()
		defer x.group.Stop()
		x.linkDown(x.entries[1])
		e := x.entries[0]
		for i := range 10 * testSlots {
			for len(e.out) > 0 {
				if g, ok := (<-e.out).(*msg.CreditGrant); ok {
					e.credits += g.Count
				}
			}
			require.Positive(t, e.credits, "after %d refused requests", i)
			x.spend(e, false)
			r := x.requests[i]
			x.s.handle(FromEntry{Entry: e.id, Generation: e.generation, Msg: &msg.OutcomeQuery{ID: r.head.ID}})
			x.arrive(r)
			assert.False(t, (<-r.reply).start)
		}
	})
}

// Guards against a start later than 3 s after a drain: a request that is
// accepted just before startBound must be refused at the bound, although a slot
// becomes free later.
func TestDrainBoundsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlotsTest()
		defer x.group.Stop()
		x.linkDown(x.entries[1])
		x.startInEachSlot(t)
		x.s.handle(Drain{})
		x.advance(t, 2400*time.Millisecond)
		late := x.requests[len(x.requests)-1]
		x.arrive(late)
		require.Equal(t, 1, x.s.status().Waiting)
		x.advance(t, 700*time.Millisecond)
		for _, r := range x.requests[:testSlots] {
			x.s.handle(exchangeEnded{id: r.head.ID})
		}
		x.readDecisions(t)
		assert.False(t, late.started)
		assert.True(t, late.reportedNotStarted)
		assert.Equal(t, "left", x.s.status().State)
	})
}

// startInEachSlot starts a request in each slot and leaves one more head in
// transit.
func (x *slotsTest) startInEachSlot(t *testing.T) {
	e := x.entries[0]
	x.s.meanDuration = float64(time.Millisecond) // short enough for a look-ahead
	x.s.handle(FromEntry{Entry: e.id, Generation: e.generation, Msg: &msg.Demand{Queued: 2 * testSlots}})
	for range testSlots + 1 {
		x.spend(e, false)
	}
	for _, r := range x.requests[:testSlots] {
		x.arrive(r)
		require.True(t, (<-r.reply).start)
	}
}

// Guards against a second run of a request while the first may still run: a
// backend server notices a closed connection some time after the agent has
// closed it.
func TestOutcomeWaitsForTheBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlotsTest()
		defer x.group.Stop()
		x.spend(x.entries[0], false)
		r := x.requests[0]
		x.arrive(r)
		x.s.handle(exchangeEnded{id: r.head.ID, closedEarly: true})
		rec := x.s.records.get(r.head.ID)
		assert.Equal(t, msg.ExchangeStarted, rec.outcome(x.s.now))
		x.advance(t, settleTime)
		assert.Equal(t, msg.ExchangeFinished, rec.outcome(time.Now()))
	})
}

// headStream delivers one request head and then blocks until it is closed.
type headStream struct {
	head   chan msg.Frame
	closed chan struct{}
	sent   chan msg.Frame
}

func (s *headStream) Send(f msg.Frame) error {
	s.sent <- f
	return nil
}

func (s *headStream) Receive() (msg.Frame, error) {
	select {
	case f := <-s.head:
		return f, nil
	case <-s.closed:
		return nil, io.EOF
	}
}

func (s *headStream) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}

// Guards against credits that are never freed: the entry has spent one on each
// head, also on one that arrives after its deadline because the agent was
// suspended.
func TestExpiredHeadReturnsItsCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		slots := SpawnSlots(g, model.Worker{DataCentre: "east"})
		out := actor.Spawn(g, actor.Spec[msg.Control]{Name: "out", Mailbox: 4096,
			Run: func(ctx context.Context, _ <-chan msg.Control) error { <-ctx.Done(); return nil }})
		require.NoError(t, slots.Send(t.Context(), Announce{Backend: "svc@1", Address: "192.0.2.1:80", Slots: testSlots}))
		require.NoError(t, slots.Send(t.Context(), EntryUp{Hello: msg.EntryHello{Entry: "a", Generation: 1}, Out: out}))
		for i := range 10 * testSlots {
			s := &headStream{head: make(chan msg.Frame, 1), closed: make(chan struct{}), sent: make(chan msg.Frame, 9)}
			s.head <- &msg.RequestHead{ID: model.RequestID{Entry: "a", Seq: uint64(i + 1)}, Generation: 1, Deadline: -time.Second}
			x := &exchange{stream: s, slots: slots, entry: "a", transport: http.DefaultTransport}
			_ = x.run(t.Context())
			require.Len(t, s.sent, 1)
			// A returned credit serves the next request.
			assert.NotEqual(t, &msg.Refused{Reason: msg.RefusedNoCredit}, <-s.sent)
		}
	})
}
