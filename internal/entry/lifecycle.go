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

// effect is an operation that the request's actor performs after a step of the
// lifecycle.
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

// maxOffers bounds the offers of one request. An agent refuses a long request
// when two entries used the same permit, which may happen several times in a
// row under load. With 4 offers such requests were refused after a long wait.
const maxOffers = 16

const (
	// refusalBound is how long the entry waits for a refusal after the
	// deadline. The agent applies the same deadline and refuses shortly after
	// it; the rest is for the link and a busy host.
	refusalBound = 500 * time.Millisecond
)

// lifecycle is the state of one request without its sockets. Steps have no side
// effects: they record effects, which the request's actor performs.
type lifecycle struct {
	state       chart.State
	idempotent  bool
	replayable  bool // the body received so far is buffered completely
	answered    bool // response bytes may have reached the caller
	ranBefore   bool // an earlier exchange was started and has ended
	offers      int  // offers so far
	effects     [maxEffects]effect
	effectCount int
}

// emit records an effect of the current step.
func (l *lifecycle) emit(e effect) {
	l.effects[l.effectCount] = e
	l.effectCount++
}

// step applies an event and returns the effects to perform, in order. The slice
// is valid until the next step. ok is false when the state ignores the event.
func (l *lifecycle) step(e chart.Event) (effects []effect, ok bool) {
	l.effectCount = 0
	ok = requestChart.Step(l, &l.state, e)
	return l.effects[:l.effectCount], ok
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
			"mayRequeue": func(l *lifecycle) bool { return l.replayable && l.offers < maxOffers },
			// An exchange has ended; only an idempotent request may run again.
			"mayRepeat": func(l *lifecycle) bool {
				return l.idempotent && l.replayable && l.offers < maxOffers && !l.answered
			},
		},
		Actions: map[string]func(*lifecycle){
			"enqueue": emit(effEnqueue), "sendHead": emit(effSendHead), "requeue": emit(effRequeue),
			"queryOutcome": emit(effQueryOutcome), "queryLater": emit(effQueryLater),
			"cancelExchange": emit(effCancelExchange), "release": emit(effRelease),
			"answerRun": emit(effAnswerRun), "answerUnknown": emit(effAnswerUnknown), "abort": emit(effAbort),
			"answerNotRun": func(l *lifecycle) {
				if l.ranBefore { // an earlier exchange of an idempotent request ran
					l.emit(effAnswerRun)
					return
				}
				l.emit(effAnswerNotRun)
			},
			"repeat": func(l *lifecycle) {
				l.ranBefore = true
				l.emit(effRequeue)
			},
		},
		Delays: map[string]time.Duration{"refusalBound": refusalBound},
	}
}
