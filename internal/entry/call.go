package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

const (
	// An agent that says "started" is asked again after this time.
	queryInterval = 100 * time.Millisecond
	// A caller that takes no byte of its response for this long is given up.
	writeTimeout = 30 * time.Second
	// The request's own timer ends a slow body; the socket's deadline comes
	// later and only unblocks the reader.
	readGrace = time.Second
)

// call is the actor of one request. It owns the caller's connection, the
// request stream to the agent and the request's lifecycle.
type call struct {
	lifecycle
	front    *Frontend
	w        http.ResponseWriter
	rc       *http.ResponseController
	r        *http.Request
	rt       route
	req      dispatch.Request
	inbox    chan callMessage
	body     *requestBody
	attempt  *attempt
	id       model.RequestID // of the last offer
	began    time.Time
	timer    *time.Timer // deadline, then the timeout of a state
	again    *time.Timer // next outcome query
	refusal  dispatch.Refusal
	declined msg.RefusedReason
	status   int
	outcome  model.Outcome
	own      bool
	aborted  bool
	asked    bool      // the dispatcher was asked for an outcome
	started  time.Time // the agent's Started arrived
}

func newCall(f *Frontend, w http.ResponseWriter, r *http.Request, rt route, began time.Time) *call {
	c := &call{
		front: f, w: w, rc: http.NewResponseController(w), r: r, rt: rt, began: began,
		inbox: make(chan callMessage, 4),
	}
	c.state = requestChart.Initial()
	c.idempotent, c.replayable = rt.class.idempotent(r.Method), true
	c.req = dispatch.Request{Class: rt.class.Name, Tenant: rt.tenant, Arrived: began, Deadline: began.Add(rt.deadline)}
	return c
}

// run serves the request to its end.
func (c *call) run(ctx context.Context) {
	g := actor.NewGroup(context.WithoutCancel(ctx), nil)
	// The body reader is not waited for: it may sit in a read from a silent
	// caller, which ends when net/http closes the body.
	defer g.Cancel()
	c.req.Key = dispatch.Key(c.front.keys.Next())
	c.body = newRequestBody(g, c.r, c.front.MaxBody)
	_ = c.rc.SetReadDeadline(c.req.Deadline.Add(readGrace)) // not supported by test recorders
	c.timer = time.NewTimer(time.Until(c.req.Deadline))
	defer c.timer.Stop()
	c.again = time.NewTimer(time.Hour)
	defer c.again.Stop()
	c.do(evAdmit)
	for !requestChart.Final(c.state) {
		c.wait(ctx)
	}
	c.endAttempt(false)
}

// wait handles the next thing that happens to the request.
func (c *call) wait(ctx context.Context) {
	var frames <-chan msg.Frame
	var ended <-chan error
	if c.attempt != nil {
		frames, ended = c.attempt.frames, c.attempt.broken
	}
	select {
	case m := <-c.inbox:
		c.message(m)
	case f := <-frames:
		c.frame(f)
	case <-ended:
		c.stopAttempt()
		c.do(evLinkLost)
	case err := <-c.body.failed:
		c.bodyFailed(err)
	case <-c.timer.C:
		c.expire()
	case <-c.again.C:
		c.do(evQueryTimer)
	case <-c.front.Dispatcher.Done():
		c.do(evCancel)
		c.aborted = true
	case <-ctx.Done():
		c.do(evCancel)
	}
}

// expire fires the deadline, or the timeout of the state.
func (c *call) expire() {
	e := evExpire
	if _, timeout, ok := requestChart.Timeout(c.state); ok {
		e = timeout
	}
	c.do(e)
}

// do feeds an event to the lifecycle and carries out the effects.
func (c *call) do(e chart.Event) {
	before := c.state
	effects, _ := c.step(e)
	if d, _, ok := requestChart.Timeout(c.state); ok && c.state != before {
		c.timer.Reset(d)
	}
	var todo [maxEffects]effect
	n := copy(todo[:], effects)
	for _, f := range todo[:n] {
		c.carryOut(f)
	}
}

func (c *call) carryOut(f effect) {
	switch f {
	case effEnqueue:
		c.send(admit{service: c.rt.service, req: c.req, call: c.inbox})
	case effRequeue:
		c.endAttempt(c.ran || c.declined == msg.RefusedDown)
		c.send(admit{service: c.rt.service, req: c.req, call: c.inbox, retry: true, ran: c.ran})
	case effSendHead:
		c.offer()
	case effQueryOutcome:
		c.asked = true
		c.send(askOutcome{id: c.id, worker: c.attempt.to.worker, boot: c.attempt.to.boot, call: c.inbox})
	case effQueryLater:
		c.again.Reset(queryInterval)
	case effCancelExchange:
		c.stopAttempt()
	case effRelease:
		c.withdraw()
		if c.asked {
			c.send(forget{id: c.id})
		}
	case effAnswerNotRun:
		c.withdraw()
		c.answerNotRun()
	case effAnswerRun:
		c.withdraw()
		c.answerRun()
	case effAnswerUnknown:
		c.answer(http.StatusGatewayTimeout, model.OutcomeUnknown, "it is not known whether the request was run")
	case effAbort:
		c.aborted = true
	}
}

// send delivers a message to the dispatcher. Its mailbox is drained at all
// times, so this does not wait for long; when the dispatcher has ended, wait
// notices.
func (c *call) send(m Message) { _ = c.front.Dispatcher.Send(context.Background(), m) }

// withdraw makes sure that the request is neither queued nor assigned.
func (c *call) withdraw() {
	if c.attempt != nil {
		return
	}
	done := actor.NewReply[struct{}]()
	c.send(withdraw{service: c.rt.service, key: c.req.Key, done: done})
	select {
	case <-done.C():
	case <-c.front.Dispatcher.Done():
	}
	for {
		select {
		case m := <-c.inbox:
			if m.kind == callAssigned {
				c.send(unused{to: *m.assigned})
			}
		default:
			return
		}
	}
}

// message handles a message of the dispatcher.
func (c *call) message(m callMessage) {
	switch m.kind {
	case callAssigned:
		c.attempt = &attempt{to: *m.assigned}
		c.do(evOffer)
	case callRefused:
		c.refusal = m.refusal
		c.do(evRefuse)
	case callOutcome:
		c.do(outcomeEvents[m.outcome])
	}
}

var outcomeEvents = map[msg.ExchangeState]chart.Event{
	msg.ExchangeUnknown:    evNoRecord,
	msg.ExchangeNotStarted: evNotStarted,
	msg.ExchangeStarted:    evRunning,
	msg.ExchangeFinished:   evEnded,
}

// offer sends the head of the request against the credit.
func (c *call) offer() {
	c.tries++
	c.id = c.attempt.to.id
	if err := c.attempt.open(c.head(), c.body); err != nil {
		// Nothing was sent: the agent cannot have started it.
		c.declined = msg.RefusedDown
		c.do(evNotStarted)
	}
}

func (c *call) head() *msg.RequestHead {
	return &msg.RequestHead{
		ID: c.id, Generation: c.attempt.to.generation,
		Service: c.rt.service, Class: c.rt.class.Name, Tenant: c.rt.tenant,
		Method: c.r.Method, URI: c.r.URL.RequestURI(), Host: c.r.Host,
		Header: forwarded(c.r), ContentLength: c.r.ContentLength,
		Deadline: time.Until(c.req.Deadline), LongClass: c.attempt.to.long,
	}
}

// frame handles a frame of the agent.
func (c *call) frame(f msg.Frame) {
	switch f := f.(type) {
	case *msg.Started:
		c.started = time.Now()
		c.send(started{id: c.id, service: c.rt.service})
		c.do(evStarted)
	case *msg.Refused:
		c.declined = f.Reason
		c.stopAttempt()
		c.do(evNotStarted)
	case *msg.Failed:
		c.stopAttempt()
		c.do(evFailed)
	case *msg.ResponseHead:
		c.do(evResponse)
		c.respond(f)
	case *msg.BodyChunk:
		c.write(f.Data)
	case *msg.BodyEnd:
		c.finish(f)
	}
	if c.attempt != nil {
		c.attempt.proceed()
	}
}

// bodyFailed handles a request body that could not be read whole.
func (c *call) bodyFailed(err error) {
	outcome := model.OutcomeUnknown
	if c.state == stQueued && !c.ran {
		outcome = model.OutcomeNotRun
	}
	answering := c.state == stAnswering
	c.do(evCancel)
	switch {
	case answering:
		c.aborted = true
	case err == errBodyTooLarge:
		c.answer(http.StatusRequestEntityTooLarge, outcome, fmt.Sprintf("the body exceeds the limit of %d bytes", c.front.MaxBody))
	default:
		c.answer(http.StatusBadRequest, outcome, "the request body could not be read")
	}
}

func (c *call) observe() {
	if c.front.Observe == nil {
		return
	}
	c.front.Observe(Result{
		Service: c.rt.service, Class: c.rt.class.Name, Tenant: c.rt.tenant,
		Status: c.status, Outcome: c.outcome, LocalReply: c.own, Duration: time.Since(c.began),
	})
}
