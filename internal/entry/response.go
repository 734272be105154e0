package entry

import (
	"net/http"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// answerNotRun sends the caller the outcome "not run" with the reason.
func (c *call) answerNotRun() {
	switch {
	case c.refusal == dispatch.RefusedExpired || time.Now().After(c.req.Deadline):
		c.answer(http.StatusGatewayTimeout, model.OutcomeNotRun, "no slot was free early enough to finish before the deadline")
	case c.agentRefusal == msg.RefusedDeadline || c.agentRefusal == msg.RefusedCancelled:
		c.answer(http.StatusGatewayTimeout, model.OutcomeNotRun, "the deadline passed before the request was started")
	default:
		c.answer(http.StatusServiceUnavailable, model.OutcomeNotRun, c.refusalText())
	}
}

// refusalText returns the reason of a refusal for the caller.
func (c *call) refusalText() string {
	switch {
	case c.refusal == dispatch.RefusedFull:
		return "too many requests wait for the service; try again later"
	case c.refusal == dispatch.RefusedLate:
		return "the requests that wait leave no time for this one before its deadline; try again later"
	case c.agentRefusal == msg.RefusedDraining:
		return "the backend server that was chosen is leaving; try again"
	case c.agentRefusal == msg.RefusedDown:
		return "the backend server that was chosen cannot be reached; try again"
	case c.agentRefusal == msg.RefusedNoCredit:
		return "every backend server that was chosen had lent its slots to others; try again"
	}
	return "no room for the request; try again later"
}

// answerRun sends the caller the outcome "run" for a request whose response is
// not available.
func (c *call) answerRun() {
	if time.Now().After(c.req.Deadline) {
		c.answer(http.StatusGatewayTimeout, model.OutcomeRun, "the deadline passed before the response began")
		return
	}
	c.answer(http.StatusBadGateway, model.OutcomeRun, "the backend server did not complete its response")
}

// answer writes a response that the entry generates, unless a response has
// begun: then it aborts the connection.
func (c *call) answer(status int, outcome model.Outcome, text string) {
	if c.answered {
		c.aborted = true
		return
	}
	c.answered, c.localReply, c.status, c.outcome = true, true, status, outcome
	c.send(endOutcomeQuery{id: c.id})
	retryAfter := 0
	if status == http.StatusServiceUnavailable {
		retryAfter = retryAfterSeconds
	}
	_ = c.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeReply(c.w, status, outcome, text, retryAfter)
}

// writeHead writes the head of the backend server's response.
func (c *call) writeHead(f *msg.ResponseHead) {
	if c.answered || c.state != stAnswering {
		return
	}
	c.answered, c.status = true, f.Status
	copyHeader(c.w.Header(), f.Header)
	c.attempt.contentLength, c.attempt.flushChunks = f.ContentLength, f.ContentLength < 0
	_ = c.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.w.WriteHeader(f.Status)
	if c.attempt.flushChunks {
		_ = c.controller.Flush()
	}
}

// writeBody writes body bytes to the caller. A failed write means that the
// caller has disconnected, and cancels the request.
func (c *call) writeBody(data []byte) {
	if c.state != stAnswering {
		return
	}
	c.attempt.received += int64(len(data))
	_ = c.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.w.Write(data); err != nil {
		c.handleEvent(evCancel)
		c.aborted = true
		return
	}
	if c.attempt.flushChunks {
		_ = c.controller.Flush()
	}
}

// finishResponse ends the response if it is complete, and aborts it otherwise.
func (c *call) finishResponse(f *msg.BodyEnd) {
	a := c.attempt
	if a == nil || c.state != stAnswering {
		return
	}
	short := a.contentLength >= 0 && a.received != a.contentLength && c.r.Method != http.MethodHead && bodyAllowed(c.status)
	if f.Total != a.received || short {
		c.stopAttempt()
		c.handleEvent(evFailed)
		return
	}
	for _, t := range f.Trailer {
		c.w.Header().Add(http.TrailerPrefix+t.Name, t.Value)
	}
	c.handleEvent(evComplete)
}

// bodyAllowed reports whether a response with the status has a body, RFC 9110
// section 6.4.1.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
