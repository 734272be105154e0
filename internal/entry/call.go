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
	// queryInterval is the time between outcome queries while the agent
	// reports that the request is still running.
	queryInterval = 100 * time.Millisecond
	// writeTimeout bounds each write to the caller. A caller that does not
	// read its response within this time is treated as disconnected.
	writeTimeout = 30 * time.Second
	// readGrace is how much later than the request's timer the socket's read
	// deadline expires. The timer ends a slow body; the read deadline only
	// unblocks the reader.
	readGrace = time.Second
)

// call is the actor of one request. It owns the caller's connection, the
// request stream to the agent and the request's lifecycle.
type call struct {
	lifecycle
	frontend       *Frontend
	w              http.ResponseWriter
	controller     *http.ResponseController
	r              *http.Request
	route          route
	req            dispatch.Request
	inbox          chan callMessage
	body           *requestBody
	attempt        *attempt
	id             model.RequestID // of the last assignment
	arrivedAt      time.Time
	timer          *time.Timer       // deadline of the request, then time-out of a state
	queryTimer     *time.Timer       // expires when the next outcome query is due
	refusal        dispatch.Refusal  // by the dispatcher
	agentRefusal   msg.RefusedReason // of the last refused offer
	status         int               // HTTP status of the response; 0: none
	outcome        model.Outcome     // valid if localReply
	localReply     bool              // the entry generated the response
	aborted        bool              // close the connection without ending the response
	outcomeQueried bool              // the dispatcher may hold an outcome query
	startedAt      time.Time         // when the agent's Started was received; zero before
}

func newCall(f *Frontend, w http.ResponseWriter, r *http.Request, rt route, arrivedAt time.Time) *call {
	c := &call{
		frontend: f, w: w, controller: http.NewResponseController(w), r: r, route: rt, arrivedAt: arrivedAt,
		inbox: make(chan callMessage, 4),
	}
	c.state = requestChart.Initial()
	c.idempotent, c.replayable = rt.class.idempotent(r.Method), true
	c.req = dispatch.Request{Class: rt.class.Name, Tenant: rt.tenant, Arrived: arrivedAt, Deadline: arrivedAt.Add(rt.deadline)}
	return c
}

// run serves the request to its end.
func (c *call) run(ctx context.Context) {
	g := actor.NewGroup(context.WithoutCancel(ctx), nil)
	// Cancel does not wait for the body reader. It may be blocked in a read
	// from a caller that sends nothing, which ends when net/http closes the
	// body.
	defer g.Cancel()
	c.req.Key = dispatch.Key(c.frontend.keys.Next())
	c.body = newRequestBody(g, c.r, c.frontend.MaxBody)
	_ = c.controller.SetReadDeadline(c.req.Deadline.Add(readGrace)) // an error means that a test recorder does not support it
	c.timer = time.NewTimer(time.Until(c.req.Deadline))
	defer c.timer.Stop()
	c.queryTimer = time.NewTimer(time.Hour) // effQueryLater sets it; the lifecycle ignores it in other states
	defer c.queryTimer.Stop()
	c.handleEvent(evAdmit)
	for !requestChart.Final(c.state) {
		c.handleNext(ctx)
	}
	c.endAttempt(false)
}

// handleNext waits for the next event of the request and handles it.
func (c *call) handleNext(ctx context.Context) {
	var frames <-chan msg.Frame
	var ended <-chan error
	if c.attempt != nil {
		frames, ended = c.attempt.frames, c.attempt.readErr
	}
	select {
	case m := <-c.inbox:
		c.handleMessage(m)
	case f := <-frames:
		c.handleFrame(f)
	case <-ended:
		c.stopAttempt()
		c.handleEvent(evLinkLost)
	case err := <-c.body.readErr:
		c.handleBodyError(err)
	case <-c.timer.C:
		c.handleTimer()
	case <-c.queryTimer.C:
		c.handleEvent(evQueryTimer)
	case <-c.frontend.Dispatcher.Done():
		c.handleEvent(evCancel)
		c.aborted = true
	case <-ctx.Done():
		c.handleEvent(evCancel)
	}
}

// handleTimer steps the lifecycle with the time-out of the state, or with the
// deadline if the state has none.
func (c *call) handleTimer() {
	e := evExpire
	if _, timeout, ok := requestChart.Timeout(c.state); ok {
		e = timeout
	}
	c.handleEvent(e)
}

// handleEvent steps the lifecycle and performs the effects.
func (c *call) handleEvent(e chart.Event) {
	before := c.state
	effects, _ := c.step(e)
	if d, _, ok := requestChart.Timeout(c.state); ok && c.state != before {
		c.timer.Reset(d)
	}
	// The effects are copied because performing one may step the lifecycle again.
	var pending [maxEffects]effect
	n := copy(pending[:], effects)
	for _, f := range pending[:n] {
		c.performEffect(f)
	}
}

// performEffect performs one effect of a step of the lifecycle.
func (c *call) performEffect(f effect) {
	switch f {
	case effEnqueue:
		c.send(admit{service: c.route.service, request: c.req, inbox: c.inbox})
	case effRequeue:
		c.endAttempt(c.ranBefore || c.agentRefusal == msg.RefusedDown)
		c.send(admit{service: c.route.service, request: c.req, inbox: c.inbox, retry: true, ranBefore: c.ranBefore})
	case effSendHead:
		c.offer()
	case effQueryOutcome:
		c.outcomeQueried = true
		c.send(outcomeQuery{id: c.id, worker: c.attempt.assignment.worker, boot: c.attempt.assignment.boot, inbox: c.inbox})
	case effQueryLater:
		c.queryTimer.Reset(queryInterval)
	case effCancelExchange:
		c.stopAttempt()
	case effRelease:
		c.withdraw()
		if c.outcomeQueried {
			c.send(endOutcomeQuery{id: c.id})
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

// send sends a message to the dispatcher. The dispatcher always reads its
// mailbox, so send does not block for long. handleNext detects that the
// dispatcher has ended.
func (c *call) send(m Message) { _ = c.frontend.Dispatcher.Send(context.Background(), m) }

// withdraw removes the request from the queue and returns a credit that was
// assigned to it meanwhile. It does nothing while an attempt exists.
func (c *call) withdraw() {
	if c.attempt != nil {
		return
	}
	done := actor.NewReply[struct{}]()
	c.send(withdraw{service: c.route.service, key: c.req.Key, done: done})
	select {
	case <-done.C():
	case <-c.frontend.Dispatcher.Done():
	}
	for {
		select {
		case m := <-c.inbox:
			if m.kind == callAssigned {
				c.send(creditUnused{assignment: *m.assignment})
			}
		default:
			return
		}
	}
}

// handleMessage handles a message from the dispatcher.
func (c *call) handleMessage(m callMessage) {
	switch m.kind {
	case callAssigned:
		c.attempt = &attempt{assignment: *m.assignment}
		c.handleEvent(evOffer)
	case callRefused:
		c.refusal = m.refusal
		c.handleEvent(evRefuse)
	case callOutcome:
		c.handleEvent(outcomeEvents[m.outcome])
	}
}

var outcomeEvents = map[msg.ExchangeState]chart.Event{
	msg.ExchangeUnknown:    evNoRecord,
	msg.ExchangeNotStarted: evNotStarted,
	msg.ExchangeStarted:    evRunning,
	msg.ExchangeFinished:   evEnded,
}

// offer opens a stream to the assigned agent and starts sending the request.
func (c *call) offer() {
	c.offers++
	c.id = c.attempt.assignment.id
	if err := c.attempt.open(c.head(), c.body); err != nil {
		// Nothing was sent, so the agent cannot have started the request.
		c.agentRefusal = msg.RefusedDown
		c.handleEvent(evNotStarted)
	}
}

// head returns the request head for the agent of the current attempt.
func (c *call) head() *msg.RequestHead {
	return &msg.RequestHead{
		ID: c.id, Generation: c.attempt.assignment.generation,
		Service: c.route.service, Class: c.route.class.Name, Tenant: c.route.tenant,
		Method: c.r.Method, URI: c.r.URL.RequestURI(), Host: c.r.Host,
		Header: forwardedFields(c.r), ContentLength: c.r.ContentLength,
		Deadline: time.Until(c.req.Deadline), LongClass: c.attempt.assignment.long,
	}
}

// handleFrame handles a frame from the agent.
func (c *call) handleFrame(f msg.Frame) {
	switch f := f.(type) {
	case *msg.Started:
		c.startedAt = time.Now()
		c.send(requestStarted{id: c.id, service: c.route.service})
		c.handleEvent(evStarted)
	case *msg.Refused:
		c.agentRefusal = f.Reason
		c.stopAttempt()
		c.handleEvent(evNotStarted)
	case *msg.Failed:
		c.stopAttempt()
		c.handleEvent(evFailed)
	case *msg.ResponseHead:
		c.handleEvent(evResponse)
		c.writeHead(f)
	case *msg.BodyChunk:
		c.writeBody(f.Data)
	case *msg.BodyEnd:
		c.finishResponse(f)
	}
	if c.attempt != nil {
		c.attempt.proceed()
	}
}

// handleBodyError ends a request whose body could not be read completely or is
// too large.
func (c *call) handleBodyError(err error) {
	outcome := model.OutcomeUnknown
	if c.state == stQueued && !c.ranBefore {
		outcome = model.OutcomeNotRun
	}
	answering := c.state == stAnswering
	c.handleEvent(evCancel)
	switch {
	case answering:
		c.aborted = true
	case err == errBodyTooLarge:
		c.answer(http.StatusRequestEntityTooLarge, outcome, fmt.Sprintf("the body exceeds the limit of %d bytes", c.frontend.MaxBody))
	default:
		c.answer(http.StatusBadRequest, outcome, "the request body could not be read")
	}
}

// observe reports the result of the request.
func (c *call) observe() {
	if c.frontend.Observe == nil {
		return
	}
	c.frontend.Observe(Result{
		Service: c.route.service, Class: c.route.class.Name, Tenant: c.route.tenant,
		Status: c.status, Outcome: c.outcome, LocalReply: c.localReply, Duration: time.Since(c.arrivedAt),
	})
}
