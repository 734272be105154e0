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

// testEntry models an entry that follows the protocol, with the messages in
// transit on its link.
type testEntry struct {
	id         model.EntryID
	up         bool
	generation uint64
	credits    int                // unspent
	out        <-chan msg.Control // messages that the agent has queued
	fromAgent  []msg.Control      // in transit
	toAgent    []msg.Control      // in transit
}

// testRequest records what the entry and the backend server observed of a
// request.
type testRequest struct {
	head               *msg.RequestHead
	entry              *testEntry
	arrived            bool
	reply              chan decision
	started            bool
	ended              bool
	reportedNotStarted bool // the agent refused it or reported that outcome
}

// slotsTest sends messages to the slots in any order that the links allow, and
// compares their state with the states of the entries and the backend server.
type slotsTest struct {
	s         *slots
	group     *actor.Group
	entries   []*testEntry
	requests  []*testRequest
	instance  int
	drainedAt time.Time // zero: not draining
}

func newSlotsTest() *slotsTest {
	x := &slotsTest{s: newSlots(model.Worker{DataCentre: "east"}), group: actor.NewGroup(context.Background(), nil),
		entries: []*testEntry{{id: "a"}, {id: "b"}}}
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

func (x *slotsTest) linkUp(e *testEntry) {
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

func (x *slotsTest) linkDown(e *testEntry) {
	e.up = false
	x.s.handle(EntryDown{Entry: e.id, Generation: e.generation})
}

// deliverToEntry delivers the oldest message in transit to an entry.
func (x *slotsTest) deliverToEntry(t *rapid.T, e *testEntry) {
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
		x.checkOutcome(t, m)
	}
}

// checkOutcome compares a reported outcome with what the backend server observed.
func (x *slotsTest) checkOutcome(t *rapid.T, m *msg.OutcomeReply) {
	r := x.requests[m.ID.Seq-1]
	switch m.State {
	case msg.ExchangeNotStarted:
		assert.False(t, r.started, "%v was started", m.ID)
		r.reportedNotStarted = true
	case msg.ExchangeFinished:
		assert.True(t, r.ended, "%v has not ended", m.ID)
	case msg.ExchangeStarted:
		assert.True(t, r.started, "%v was not started", m.ID)
	default:
		assert.Fail(t, "no record of the request", "%v", m.ID)
	}
}

func (x *slotsTest) deliverToAgent(e *testEntry) {
	m := e.toAgent[0]
	e.toAgent = e.toAgent[1:]
	x.s.handle(FromEntry{Entry: e.id, Generation: e.generation, Msg: m})
}

// spend spends a credit of e on a new request, whose head is then in transit.
func (x *slotsTest) spend(e *testEntry, long bool) {
	e.credits--
	id := model.RequestID{Entry: e.id, Seq: uint64(len(x.requests) + 1)}
	x.requests = append(x.requests, &testRequest{entry: e, reply: make(chan decision, 1),
		head: &msg.RequestHead{ID: id, Generation: e.generation, Class: "read", LongClass: long}})
}

// arrive delivers the head of r to the agent.
func (x *slotsTest) arrive(r *testRequest) {
	r.arrived = true
	x.s.handle(requestArrived{head: r.head, entry: r.entry.id, reply: r.reply, cancel: func() {}})
}

// advance advances the virtual time and handles expired timers as the actor
// does.
func (x *slotsTest) advance(t assert.TestingT, d time.Duration) {
	end := time.NewTimer(d)
	for {
		select {
		case <-x.s.timers.C():
			for k, ok := x.s.timers.Pop(time.Now()); ok; k, ok = x.s.timers.Pop(time.Now()) {
				x.s.expire(k)
			}
			x.readDecisions(t)
		case <-end.C:
			return
		}
	}
}

// check compares the state with those of the entries and the backend server.
func (x *slotsTest) check(t *rapid.T) {
	running, waiting := x.readDecisions(t)
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
			assert.NotNil(t, c.holder, "a granted credit has no holder")
		}
	}
	assert.LessOrEqual(t, used, 2*testSlots, "slots and look-ahead")
	for _, e := range x.entries {
		if e.up {
			x.checkCredits(t, e)
		}
	}
}

// checkCredits requires that the credits that the agent counts as granted are
// at the entry or in transit.
func (x *slotsTest) checkCredits(t *rapid.T, e *testEntry) {
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
	linked := x.s.findEntry(e.id, e.generation)
	require.NotNil(t, linked)
	x.s.countCredits(linked)
	assert.Equal(t, known, linked.Idle, "credits of entry %s", e.id)
}

// readDecisions records the decisions and counts running and waiting requests.
func (x *slotsTest) readDecisions(t assert.TestingT) (running, waiting int) {
	for _, r := range x.requests {
		select {
		case v := <-r.reply:
			if v.start {
				assert.False(t, r.reportedNotStarted, "%v was reported as not started", r.head.ID)
				assert.False(t, r.started, "%v started twice", r.head.ID)
				assert.False(t, !x.drainedAt.IsZero() && time.Since(x.drainedAt) > 3*time.Second, "started after the drain")
				r.started = true
			} else {
				assert.False(t, r.started)
				r.reportedNotStarted = true
			}
		default:
		}
		switch {
		case r.started && !r.ended:
			running++
		case r.arrived && !r.started && !r.reportedNotStarted:
			waiting++
		}
	}
	return running, waiting
}

// drawRequest draws a request that satisfies want, or skips the action.
func (x *slotsTest) drawRequest(t *rapid.T, want func(*testRequest) bool) *testRequest {
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

// drawEntry draws an entry, and skips the action if it does not satisfy want.
func (x *slotsTest) drawEntry(t *rapid.T, want func(*testEntry) bool) *testEntry {
	e := rapid.SampledFrom(x.entries).Draw(t, "entry")
	if !want(e) {
		t.Skip("the drawn entry does not satisfy the condition")
	}
	return e
}

// actions returns the actions of the random test. A repeated action is drawn
// more often.
func (x *slotsTest) actions() map[string]func(*rapid.T) {
	isUp := func(e *testEntry) bool { return e.up }
	arriveAction := func(t *rapid.T) { x.arrive(x.drawRequest(t, func(r *testRequest) bool { return !r.arrived })) }
	endAction := func(t *rapid.T) {
		r := x.drawRequest(t, func(r *testRequest) bool { return r.started && !r.ended })
		r.ended = true
		x.s.handle(exchangeEnded{id: r.head.ID, closedEarly: rapid.Bool().Draw(t, "early"), duration: 10 * time.Millisecond})
	}
	spendAction := func(t *rapid.T) {
		e := x.drawEntry(t, func(e *testEntry) bool { return e.up && e.credits > 0 })
		x.spend(e, rapid.Bool().Draw(t, "long"))
	}
	deliverToEntry := func(t *rapid.T) {
		x.deliverToEntry(t, x.drawEntry(t, func(e *testEntry) bool { return e.up && len(e.fromAgent) > 0 }))
	}
	// oneInSix makes faults rare enough for long sequences without one.
	oneInSix := func(t *rapid.T) {
		if rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
			t.Skip("skipped to keep faults rare")
		}
	}
	deliverToAgent := func(t *rapid.T) {
		x.deliverToAgent(x.drawEntry(t, func(e *testEntry) bool { return e.up && len(e.toAgent) > 0 }))
	}
	return map[string]func(*rapid.T){
		"to entry": deliverToEntry, "to entry 2": deliverToEntry, "to entry 3": deliverToEntry, "to agent": deliverToAgent, "to agent 2": deliverToAgent,
		"spend": spendAction, "spend 2": spendAction, "spend 3": spendAction, "arrive": arriveAction, "arrive 2": arriveAction, "arrive 3": arriveAction, "end": endAction, "end 2": endAction,
		"demand": func(t *rapid.T) {
			e := x.drawEntry(t, isUp)
			e.toAgent = append(e.toAgent, &msg.Demand{Queued: rapid.IntRange(0, 20).Draw(t, "queued")})
		},
		"query": func(t *rapid.T) {
			e := x.drawEntry(t, isUp)
			r := x.drawRequest(t, func(r *testRequest) bool { return r.entry == e && r.head.Generation < e.generation })
			e.toAgent = append(e.toAgent, &msg.OutcomeQuery{ID: r.head.ID})
		},
		"cancel": func(t *rapid.T) {
			oneInSix(t)
			x.s.handle(requestCancelled{id: x.drawRequest(t, func(r *testRequest) bool { return !r.ended }).head.ID})
		},
		"link down": func(t *rapid.T) {
			oneInSix(t)
			x.linkDown(x.drawEntry(t, isUp))
		},
		"link up":  func(t *rapid.T) { x.linkUp(x.drawEntry(t, func(e *testEntry) bool { return !e.up })) },
		"announce": func(*rapid.T) { x.announce() },
		"drain": func(t *rapid.T) {
			oneInSix(t)
			if x.drainedAt.IsZero() {
				x.drainedAt = time.Now()
			}
			x.s.handle(Drain{})
		},
		"replace": func(t *rapid.T) {
			oneInSix(t)
			x.instance++
			x.drainedAt = time.Time{}
			x.announce()
		},
		"pass": func(t *rapid.T) {
			x.advance(t, time.Duration(rapid.SampledFrom([]int{1, 10, 30, 300, 3000}).Draw(t, "ms"))*time.Millisecond)
		},
		"": x.check,
	}
}

// Guards against more running exchanges than slots, starts after a tombstone or
// a drain, wrong outcomes, and lost or duplicated credits when messages arrive in
// an unusual order.
func TestSlotsUnderAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// testing.T.Deadline must not be called in a synctest bubble; the struct
		// hides it.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			x := newSlotsTest()
			defer x.group.Stop()
			t.Repeat(x.actions())
		})
	})
}
