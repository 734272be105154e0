package hostagent

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/heldrun.scxml, in the order of RunBinding. A run is
// unconfirmed while it is unknown whether its start took effect.
const (
	runStarting chart.State = iota
	runUnconfirmed
	runRunning
	runStopping
	runEnded
)

// Events of charts/heldrun.scxml, in the order of RunBinding. evListed and
// evUnlisted: a poll response contains the run, or does not although it should.
// evReplaced: a later incarnation of the same id has answered.
const (
	evAccepted chart.Event = iota
	evRejected
	evUnanswered
	evEnded
	evStop
	evIncarnationEnded
	evTimeout
	evListed
	evUnlisted
	evReplaced
)

const (
	pollRetryInterval = 250 * time.Millisecond
	stopRetryInterval = 300 * time.Millisecond
	// startTimeout is when the outcome of a start is asked for whose call has not
	// returned. Such a call waits for maxStartWait at most before it is sent.
	startTimeout = 2 * maxStartWait
	// pollWait is how long the backend server may delay the answer to a poll.
	// It bounds the age of the reported progress.
	pollWait = 400 * time.Millisecond
)

var runChart *chart.Machine[run]

func init() { runChart = chart.MustCompile(charts.Files, RunBinding()) }

// RunBinding returns the binding of charts/heldrun.scxml.
func RunBinding() chart.Binding[run] {
	return chart.Binding[run]{
		Chart:  "heldrun",
		States: []string{"starting", "doubtful", "running", "stopping", "over"},
		Events: []string{"accepted", "rejected", "unanswered", "ended", "stop", "gone", "late", "listed", "unlisted", "replaced"},
		Guards: map[string]func(*run) bool{"stopRequested": func(r *run) bool { return r.stopRequested }},
		Actions: map[string]func(*run){
			"callStop":      (*run).callStop,
			"reportStarted": (*run).reportStarted,
			"reportRefused": (*run).reportRefused,
			"reportEnd":     (*run).reportEnd,
			"reportLost":    (*run).reportLost,
			"raiseToken":    (*run).raiseToken,
			"poll":          (*run).poll,
			"askLater":      (*run).askLaterIncarnation,
			"requestStop":   func(r *run) { r.stopRequested = true },
			"refresh":       func(*run) {}, // applyStatus has stored the status
		},
		Delays: map[string]time.Duration{"startTimeout": startTimeout, "pollRetry": pollRetryInterval, "stopRetry": stopRetryInterval},
	}
}

// run is a run on the host, from the start request to its end.
type run struct {
	core              *Core
	id                workload.RunID
	size              msg.RunSize
	sequence          uint64 // order of arrival
	state             chart.State
	timeoutAt         time.Duration // when the state's timeout expires; 0: none
	latest            msg.RunStatus // newest status from the backend server
	end               msg.RunEnd    // set while the event ended is applied
	stopRequested     bool          // it is stopped as soon as it runs
	stopCalled        bool          // a stop call has not been answered yet
	startAnswerMS     int64         // backend server's clock in the answer to the start
	settlingToken     uint64        // a poll with at least this token shows whether the start took effect
	cpuLimitPercent   int           // may be unknownPercent
	observedLatencyMS int64         // last tail latency passed to the throttler's model
}

// addRun adds a run in the initial state and counts its charge as used.
func (c *Core) addRun(size msg.RunSize) *run {
	c.throttler.arrivals++
	r := &run{
		core: c, id: size.Run, size: size, sequence: c.throttler.arrivals, state: runChart.Initial(), cpuLimitPercent: unlimitedPercent,
		latest: msg.RunStatus{Run: size.Run}, timeoutAt: c.now + startTimeout,
	}
	c.runs[r.id] = r
	c.used = c.used.Add(size.Charge)
	return r
}

// step applies an event of the chart and sets the timeout of the new state.
func (r *run) step(e chart.Event) {
	before := r.state
	runChart.Step(r, &r.state, e)
	if d, _, ok := runChart.Timeout(r.state); !ok {
		r.timeoutAt = 0
	} else if r.state != before || e == evTimeout {
		r.timeoutAt = r.core.now + d
	}
	if runChart.Final(r.state) {
		r.remove()
	}
}

func (r *run) tick() {
	if r.timeoutAt != 0 && r.core.now >= r.timeoutAt {
		r.step(evTimeout)
	}
}

func (r *run) remove() {
	if _, ok := r.core.runs[r.id]; ok {
		delete(r.core.runs, r.id)
		r.core.used = r.core.used.Sub(r.size.Charge)
	}
}

func (r *run) status() msg.RunStatus {
	s := r.latest
	s.Run, s.CPULimitPercent = r.id, r.cpuLimitPercent
	if r.cpuLimitPercent == unknownPercent {
		s.CPULimitPercent = unlimitedPercent
	}
	s.Unconfirmed = r.state == runStarting || r.state == runUnconfirmed
	return s
}

// expectedIn reports whether the response to a poll must contain the run if it
// is running. That is false if the start may take effect after the response, and
// if the response is older than the answer to the start.
func (r *run) expectedIn(target runner.Target, response runner.PollResponse) bool {
	switch r.state {
	case runUnconfirmed:
		return target.Token >= r.settlingToken
	case runRunning, runStopping:
		return response.ClockMS > r.startAnswerMS
	}
	return false
}

// callStop calls the backend server to stop the run, unless such a call is queued or
// in flight: a backend server that does not answer would fill the queue with stops.
func (r *run) callStop() {
	if r.stopCalled {
		return
	}
	r.stopCalled = true
	id := r.id
	r.core.addCall(Call{Stop: &id})
}

func (r *run) reportStarted() {
	r.core.changed.Started = append(r.core.changed.Started, r.id)
}

func (r *run) reportRefused() {
	r.core.changed.Refused = append(r.core.changed.Refused, r.id)
}

// reportLost reports a run that the backend server lists neither as running nor
// as ended. The owner handles it like a refused start.
func (r *run) reportLost() {
	r.core.addDecision(Decision{Kind: RunRefused, Run: r.id, Detail: "the backend server no longer reports the run"})
	r.reportRefused()
}

func (r *run) reportEnd() {
	r.core.changed.Ended = append(r.core.changed.Ended, r.end)
}

// raiseToken raises the fencing token. Once the backend server has answered a
// call with the new token, it rejects the unanswered start.
func (r *run) raiseToken() {
	r.core.token++
	r.settlingToken = r.core.token
	r.core.changed.Unconfirmed = append(r.core.changed.Unconfirmed, r.id)
	r.core.addDecision(Decision{Kind: RunUnconfirmed, Run: r.id})
}

// askLaterIncarnation asks for a later incarnation with the same id if the one that the
// start was meant for has ended: the start may have reached it.
func (r *run) askLaterIncarnation() {
	if r.core.incarnation.state == incarnationClosing {
		r.core.askLaterForRuns()
	}
}

// poll polls the backend server at once. The answer shows whether the
// unanswered start took effect. One poll settles all starts up to its token, so none is
// added while such a poll waits: a backend server that does not answer would fill the
// queue with polls. Ends are acknowledged by the long poll only, which is the first to
// learn of another incarnation.
func (r *run) poll() {
	c := r.core
	if c.settlingPoll >= r.settlingToken && c.settlingPoll != 0 {
		return
	}
	c.settlingPoll = c.token
	c.addCall(Call{Poll: &runner.PollRequest{LeaseMS: c.leaseMS()}})
}
