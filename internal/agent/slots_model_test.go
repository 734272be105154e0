package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const testSlots = 4

// entrySide is an entry as its protocol prescribes, with what is in transit.
type entrySide struct {
	id         model.EntryID
	up         bool
	generation uint64
	credits    int
	out        <-chan msg.Control
	fromAgent  []msg.Control // in transit
	toAgent    []msg.Control
}

// testRequest is what callers and the backend server saw of a request.
type testRequest struct {
	head       *msg.RequestHead
	entry      *entrySide
	arrived    bool
	reply      chan verdict
	started    bool
	ended      bool
	notStarted bool // the agent said so
}

// slotsTest drives the state of the slots with messages in any order that the
// links allow, and compares it with what the other sides know.
type slotsTest struct {
	s        *slots
	group    *actor.Group
	entries  []*entrySide
	requests []*testRequest
	instance int
	drained  time.Time // zero: not draining
}

func newSlotsTest() *slotsTest {
	x := &slotsTest{s: newSlots(model.Worker{DataCentre: "east"}), group: actor.NewGroup(context.Background(), nil),
		entries: []*entrySide{{id: "a"}, {id: "b"}}}
	x.announce()
	for _, e := range x.entries {
		x.linkUp(e)
	}
	return x
}

func (x *slotsTest) announce() {
	x.s.handle(Announce{Backend: "svc@1", Service: "svc", Address: "192.0.2.1:80", Slots: testSlots, Connections: 64,
		Instance: fmt.Sprint(x.instance)})
}

func (x *slotsTest) linkUp(e *entrySide) {
	in := make(chan (<-chan msg.Control), 1)
	out := actor.Spawn(x.group, actor.Spec[msg.Control]{Name: "out", Mailbox: 4096,
		Run: func(ctx context.Context, m <-chan msg.Control) error {
			in <- m
			<-ctx.Done()
			return nil
		}})
	e.up, e.generation, e.out = true, e.generation+1, <-in
	e.credits, e.fromAgent, e.toAgent = 0, nil, nil
	x.s.handle(EntryUp{Hello: msg.EntryHello{Entry: e.id, Generation: e.generation}, Out: out})
}

func (x *slotsTest) linkDown(e *entrySide) {
	e.up = false
	x.s.handle(EntryDown{Entry: e.id, Generation: e.generation})
}

// deliverToEntry delivers the oldest message in transit to an entry.
func (x *slotsTest) deliverToEntry(t *rapid.T, e *entrySide) {
	m := e.fromAgent[0]
	e.fromAgent = e.fromAgent[1:]
	switch m := m.(type) {
	case *msg.CreditGrant:
		e.credits += m.Count
	case *msg.CreditRecall:
		n := min(m.Count, e.credits)
		e.credits -= n
		e.toAgent = append(e.toAgent, &msg.CreditReturn{Generation: e.generation, Count: n})
	case *msg.OutcomeReply:
		x.outcome(t, m)
	}
}

func (x *slotsTest) outcome(t *rapid.T, m *msg.OutcomeReply) {
	r := x.requests[m.ID.Seq-1]
	switch m.State {
	case msg.ExchangeNotStarted:
		assert.False(t, r.started, "%v was started", m.ID)
		r.notStarted = true
	case msg.ExchangeFinished:
		assert.True(t, r.ended, "%v has not ended", m.ID)
	case msg.ExchangeStarted:
		assert.True(t, r.started, "%v was not started", m.ID)
	default:
		assert.Fail(t, "forgotten", "%v", m.ID)
	}
}

func (x *slotsTest) deliverToAgent(e *entrySide) {
	m := e.toAgent[0]
	e.toAgent = e.toAgent[1:]
	x.s.handle(FromEntry{Entry: e.id, Generation: e.generation, Msg: m})
}

func (x *slotsTest) spend(e *entrySide, long bool) {
	e.credits--
	id := model.RequestID{Entry: e.id, Seq: uint64(len(x.requests) + 1)}
	x.requests = append(x.requests, &testRequest{entry: e, reply: make(chan verdict, 1),
		head: &msg.RequestHead{ID: id, Generation: e.generation, Class: "read", LongClass: long}})
}

func (x *slotsTest) arrive(r *testRequest) {
	r.arrived = true
	x.s.handle(begin{head: r.head, entry: r.entry.id, reply: r.reply, cancel: func() {}})
}

// pass lets virtual time pass and fires what is due, as the actor does.
func (x *slotsTest) pass(t assert.TestingT, d time.Duration) {
	end := time.NewTimer(d)
	for {
		select {
		case <-x.s.timers.C():
			for k, ok := x.s.timers.Pop(time.Now()); ok; k, ok = x.s.timers.Pop(time.Now()) {
				x.s.expire(k)
			}
			x.readVerdicts(t)
		case <-end.C:
			return
		}
	}
}

// check compares the state with what the entries and the backend server know.
func (x *slotsTest) check(t *rapid.T) {
	running, waiting := x.readVerdicts(t)
	assert.LessOrEqual(t, running+x.s.status().Settling, testSlots)
	assert.Equal(t, running, len(x.s.running))
	assert.Equal(t, waiting, len(x.s.waiting))
	used := 0
	for i := range x.s.credits {
		c := &x.s.credits[i]
		if c.state != crFree {
			used++
		}
		if c.state == crGranted || c.state == crRecalled {
			assert.NotNil(t, c.borrower, "a credit is lent to nobody")
		}
	}
	assert.LessOrEqual(t, used, 2*testSlots, "slots and look-ahead")
	for _, e := range x.entries {
		if e.up {
			x.checkCredits(t, e)
		}
	}
}

// checkCredits: what the agent counts as lent is with the entry or in transit.
func (x *slotsTest) checkCredits(t *rapid.T, e *entrySide) {
	known := e.credits
	for len(e.out) > 0 {
		e.fromAgent = append(e.fromAgent, <-e.out)
	}
	for _, m := range e.fromAgent {
		if g, ok := m.(*msg.CreditGrant); ok {
			known += g.Count
		}
	}
	for _, m := range e.toAgent {
		if r, ok := m.(*msg.CreditReturn); ok {
			known += r.Count
		}
	}
	for _, r := range x.requests {
		if r.entry == e && r.head.Generation == e.generation && !r.arrived {
			known++
		}
	}
	b := x.s.borrower(e.id, e.generation)
	require.NotNil(t, b)
	x.s.count(b)
	assert.Equal(t, known, b.Idle, "credits of entry %s", e.id)
}

func (x *slotsTest) readVerdicts(t assert.TestingT) (running, waiting int) {
	for _, r := range x.requests {
		select {
		case v := <-r.reply:
			if v.start {
				assert.False(t, r.notStarted, "%v was reported as not started", r.head.ID)
				assert.False(t, r.started, "%v started twice", r.head.ID)
				assert.False(t, !x.drained.IsZero() && time.Since(x.drained) > 3*time.Second, "started after the drain")
				r.started = true
			} else {
				assert.False(t, r.started)
				r.notStarted = true
			}
		default:
		}
		switch {
		case r.started && !r.ended:
			running++
		case r.arrived && !r.started && !r.notStarted:
			waiting++
		}
	}
	return running, waiting
}

// pick draws a request that satisfies want, or skips the action.
func (x *slotsTest) pick(t *rapid.T, want func(*testRequest) bool) *testRequest {
	var list []*testRequest
	for _, r := range x.requests {
		if want(r) {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		t.Skip("no such request")
	}
	return rapid.SampledFrom(list).Draw(t, "request")
}

func (x *slotsTest) entry(t *rapid.T, want func(*entrySide) bool) *entrySide {
	e := rapid.SampledFrom(x.entries).Draw(t, "entry")
	if !want(e) {
		t.Skip("not now")
	}
	return e
}

func (x *slotsTest) actions() map[string]func(*rapid.T) {
	up := func(e *entrySide) bool { return e.up }
	arrive := func(t *rapid.T) { x.arrive(x.pick(t, func(r *testRequest) bool { return !r.arrived })) }
	end := func(t *rapid.T) {
		r := x.pick(t, func(r *testRequest) bool { return r.started && !r.ended })
		r.ended = true
		x.s.handle(ended{id: r.head.ID, early: rapid.Bool().Draw(t, "early"), ran: 10 * time.Millisecond})
	}
	spend := func(t *rapid.T) {
		e := x.entry(t, func(e *entrySide) bool { return e.up && e.credits > 0 })
		x.spend(e, rapid.Bool().Draw(t, "long"))
	}
	toEntry := func(t *rapid.T) {
		x.deliverToEntry(t, x.entry(t, func(e *entrySide) bool { return e.up && len(e.fromAgent) > 0 }))
	}
	// rarely keeps faults from hiding what needs many steps in a row.
	rarely := func(t *rapid.T) {
		if rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
			t.Skip("not now")
		}
	}
	toAgent := func(t *rapid.T) {
		x.deliverToAgent(x.entry(t, func(e *entrySide) bool { return e.up && len(e.toAgent) > 0 }))
	}
	return map[string]func(*rapid.T){
		"to entry": toEntry, "to entry 2": toEntry, "to entry 3": toEntry, "to agent": toAgent, "to agent 2": toAgent,
		"spend": spend, "spend 2": spend, "spend 3": spend, "arrive": arrive, "arrive 2": arrive, "arrive 3": arrive, "end": end, "end 2": end,
		"demand": func(t *rapid.T) {
			e := x.entry(t, up)
			e.toAgent = append(e.toAgent, &msg.Demand{Queued: rapid.IntRange(0, 20).Draw(t, "queued")})
		},
		"query": func(t *rapid.T) {
			e := x.entry(t, up)
			r := x.pick(t, func(r *testRequest) bool { return r.entry == e && r.head.Generation < e.generation })
			e.toAgent = append(e.toAgent, &msg.OutcomeQuery{ID: r.head.ID})
		},
		"cancel": func(t *rapid.T) {
			rarely(t)
			x.s.handle(cancelled{id: x.pick(t, func(r *testRequest) bool { return !r.ended }).head.ID})
		},
		"link down": func(t *rapid.T) {
			rarely(t)
			x.linkDown(x.entry(t, up))
		},
		"link up":  func(t *rapid.T) { x.linkUp(x.entry(t, func(e *entrySide) bool { return !e.up })) },
		"announce": func(*rapid.T) { x.announce() },
		"drain": func(t *rapid.T) {
			rarely(t)
			if x.drained.IsZero() {
				x.drained = time.Now()
			}
			x.s.handle(Drain{})
		},
		"replace": func(t *rapid.T) {
			rarely(t)
			x.instance++
			x.drained = time.Time{}
			x.announce()
		},
		"pass": func(t *rapid.T) {
			x.pass(t, time.Duration(rapid.SampledFrom([]int{1, 10, 30, 300, 3000}).Draw(t, "ms"))*time.Millisecond)
		},
		"": x.check,
	}
}

// Guards, under any order of messages, against more exchanges than slots,
// starts after a tombstone or a drain, false outcomes, and credits that are
// lost or doubled.
func TestSlotsUnderAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// testing.T.Deadline must not be called inside a bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			x := newSlotsTest()
			defer x.group.Stop()
			t.Repeat(x.actions())
		})
	})
}
