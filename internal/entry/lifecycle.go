package entry

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// States of charts/request.scxml.
const (
	stNew chart.State = iota
	stQueued
	stOffered
	stStarted
	stAnswering
	stQuerying
	stExpiring
	stDone
	stRefused
	stUnknown
	stFailed
	stAborted
	stCancelled
)

// Events of charts/request.scxml.
const (
	evAdmit chart.Event = iota
	evRefuse
	evOffer
	evStarted
	evNotStarted
	evResponse
	evComplete
	evFailed
	evLinkLost
	evEnded
	evRunning
	evNoRecord
	evExpire
	evCancel
	evTimeout
	evQueryTimer
)

// effect is what a step of the lifecycle asks its owner to do.
type effect uint8

const (
	effEnqueue effect = iota
	effSendHead
	effRequeue
	effQueryOutcome
	effQueryLater
	effCancelExchange
	effRelease
	effAnswerNotRun
	effAnswerRun
	effAnswerUnknown
	effAbort
)

// maxEffects bounds the effects of one step; no transition has more actions.
const maxEffects = 4

// maxTries bounds the offers of one request. An agent refuses a long request
// when two entries used the same permit, which may happen several times in a
// row under load; with 4 tries such requests were refused late.
const maxTries = 16

const (
	// An agent applies the request's deadline itself and refuses shortly
	// after it; this adds the way back and a busy host.
	refusalBound = 500 * time.Millisecond
)

// lifecycle is the state of one request without its sockets. Steps are pure:
// they record effects, which the request's actor carries out.
type lifecycle struct {
	state      chart.State
	idempotent bool
	replayable bool // the whole body so far is buffered
	answered   bool // response bytes may have reached the caller
	ran        bool // an earlier exchange was started and has ended
	tries      int  // offers so far
	effects    [maxEffects]effect
	pending    int
}

func (l *lifecycle) emit(e effect) {
	l.effects[l.pending] = e
	l.pending++
}

// step feeds an event and returns the effects to carry out, in order. The
// slice is valid until the next step. ok is false when the state ignores the
// event.
func (l *lifecycle) step(e chart.Event) (effects []effect, ok bool) {
	l.pending = 0
	ok = requestChart.Step(l, &l.state, e)
	return l.effects[:l.pending], ok
}

var requestChart = chart.MustCompile(charts.Files, RequestBinding())

// RequestBinding binds charts/request.scxml. It is exported for the checks
// that explore the chart.
func RequestBinding() chart.Binding[lifecycle] {
	emit := func(e effect) func(*lifecycle) { return func(l *lifecycle) { l.emit(e) } }
	return chart.Binding[lifecycle]{
		Chart: "request",
		States: []string{"new", "queued", "offered", "started", "answering", "querying", "expiring",
			"done", "refused", "unknown", "failed", "aborted", "cancelled"},
		Events: []string{"admit", "refuse", "offer", "started", "notStarted", "response", "complete",
			"failed", "linkLost", "ended", "running", "noRecord", "expire", "cancel", "timeout", "queryTimer"},
		Guards: map[string]func(*lifecycle) bool{
			// The request was never started, so a second offer runs it once.
			"mayRequeue": func(l *lifecycle) bool { return l.replayable && l.tries < maxTries },
			// The first exchange has ended; only an idempotent request may run again.
			"mayRepeat": func(l *lifecycle) bool {
				return l.idempotent && l.replayable && l.tries < maxTries && !l.answered
			},
		},
		Actions: map[string]func(*lifecycle){
			"enqueue": emit(effEnqueue), "sendHead": emit(effSendHead), "requeue": emit(effRequeue),
			"queryOutcome": emit(effQueryOutcome), "queryLater": emit(effQueryLater),
			"cancelExchange": emit(effCancelExchange), "release": emit(effRelease),
			"answerRun": emit(effAnswerRun), "answerUnknown": emit(effAnswerUnknown), "abort": emit(effAbort),
			"answerNotRun": func(l *lifecycle) {
				if l.ran { // an earlier exchange of an idempotent request did run
					l.emit(effAnswerRun)
					return
				}
				l.emit(effAnswerNotRun)
			},
			"repeat": func(l *lifecycle) {
				l.ran = true
				l.emit(effRequeue)
			},
		},
		Delays: map[string]time.Duration{"refusalBound": refusalBound},
	}
}
