package entry

import (
	"net/http"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// answerNotRun says that the request was not run, and why.
func (c *call) answerNotRun() {
	switch {
	case c.refusal == dispatch.RefusedExpired || time.Now().After(c.req.Deadline):
		c.answer(http.StatusGatewayTimeout, model.OutcomeNotRun, "no slot was free early enough to finish before the deadline")
	case c.declined == msg.RefusedDeadline || c.declined == msg.RefusedCancelled:
		c.answer(http.StatusGatewayTimeout, model.OutcomeNotRun, "the deadline passed before the request was started")
	default:
		c.answer(http.StatusServiceUnavailable, model.OutcomeNotRun, c.refusalText())
	}
}

// refusalText says what there was no room for.
func (c *call) refusalText() string {
	switch {
	case c.refusal == dispatch.RefusedFull:
		return "too many requests wait for the service; try again later"
	case c.refusal == dispatch.RefusedLate:
		return "the requests that wait leave no time for this one before its deadline; try again later"
	case c.declined == msg.RefusedDraining:
		return "the backend server that was chosen is leaving; try again"
	case c.declined == msg.RefusedDown:
		return "the backend server that was chosen cannot be reached; try again"
	case c.declined == msg.RefusedNoCredit:
		return "every backend server that was chosen had lent its slots to others; try again"
	}
	return "no room for the request; try again later"
}

// answerRun says that the request was run but its response cannot be had.
func (c *call) answerRun() {
	if time.Now().After(c.req.Deadline) {
		c.answer(http.StatusGatewayTimeout, model.OutcomeRun, "the deadline passed before the response began")
		return
	}
	c.answer(http.StatusBadGateway, model.OutcomeRun, "the backend server did not complete its response")
}

// answer writes a response of the system's own and ends the attempt.
func (c *call) answer(status int, outcome model.Outcome, text string) {
	if c.answered {
		c.aborted = true
		return
	}
	c.answered, c.own, c.status, c.outcome = true, true, status, outcome
	c.send(forget{id: c.id})
	retry := 0
	if status == http.StatusServiceUnavailable {
		retry = retryAfter
	}
	_ = c.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	answer(c.w, status, outcome, text, retry)
}

// respond writes the head of the backend server's response.
func (c *call) respond(f *msg.ResponseHead) {
	if c.answered || c.state != stAnswering {
		return
	}
	c.answered, c.status = true, f.Status
	copyHeader(c.w.Header(), f.Header)
	c.attempt.length, c.attempt.streaming = f.ContentLength, f.ContentLength < 0
	_ = c.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.w.WriteHeader(f.Status)
	if c.attempt.streaming {
		_ = c.rc.Flush()
	}
}

// write passes body bytes on. A caller that is gone cancels the request.
func (c *call) write(data []byte) {
	if c.state != stAnswering {
		return
	}
	c.attempt.received += int64(len(data))
	_ = c.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.w.Write(data); err != nil {
		c.do(evCancel)
		c.aborted = true
		return
	}
	if c.attempt.streaming {
		_ = c.rc.Flush()
	}
}

// finish ends the response if it is whole, and aborts it otherwise.
func (c *call) finish(f *msg.BodyEnd) {
	a := c.attempt
	if a == nil || c.state != stAnswering {
		return
	}
	short := a.length >= 0 && a.received != a.length && c.r.Method != http.MethodHead && bodyAllowed(c.status)
	if f.Total != a.received || short {
		c.stopAttempt()
		c.do(evFailed)
		return
	}
	for _, t := range f.Trailer {
		c.w.Header().Add(http.TrailerPrefix+t.Name, t.Value)
	}
	c.do(evComplete)
}

// bodyAllowed reports whether a response with the status has a body, RFC 9110
// section 6.4.1.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
