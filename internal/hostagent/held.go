package hostagent

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/agentrun.scxml.
const (
	heldStarting chart.State = iota
	heldDoubtful
	heldRunning
	heldStopping
	heldOver
)

// Events of charts/agentrun.scxml.
const (
	evAccepted chart.Event = iota
	evRejected
	evUnanswered
	evEnded
	evStop
	evGone
	evLate
	evListed
	evUnlisted
)

const (
	lookRetry = 250 * time.Millisecond
	stopRetry = 300 * time.Millisecond
	// holdWait is how long the backend server may keep a hold open: it bounds
	// the age of the reported progress.
	holdWait = 400 * time.Millisecond
)

var heldChart *chart.Machine[held]

func init() { heldChart = chart.MustCompile(charts.Files, HeldBinding()) }

// HeldBinding binds charts/agentrun.scxml.
func HeldBinding() chart.Binding[held] {
	return chart.Binding[held]{
		Chart:  "agentrun",
		States: []string{"starting", "doubtful", "running", "stopping", "over"},
		Events: []string{"accepted", "rejected", "unanswered", "ended", "stop", "gone", "late", "listed", "unlisted"},
		Guards: map[string]func(*held) bool{"unwanted": func(r *held) bool { return r.unwanted }},
		Actions: map[string]func(*held){
			"callStop":      (*held).callStop,
			"reportStarted": (*held).reportStarted,
			"reportRefused": (*held).reportRefused,
			"reportEnd":     (*held).reportEnd,
			"reportLost":    (*held).reportLost,
			"raiseToken":    (*held).raiseToken,
			"look":          (*held).look,
			"unwant":        func(r *held) { r.unwanted = true },
			"refresh":       func(*held) {},
		},
		Delays: map[string]time.Duration{"lookRetry": lookRetry, "stopRetry": stopRetry},
	}
}

// held is a run on the host, from the order to its end.
type held struct {
	core     *Core
	id       workload.RunID
	size     msg.RunSize
	sequence uint64 // order of arrival
	state    chart.State
	due      time.Duration // of the state's timeout; 0: none
	latest   msg.RunStatus
	end      msg.RunEnd // during the event ended
	unwanted bool       // stop it as soon as it runs
	acceptMS int64      // clock of the answer to its start
	doubt    uint64     // an answer to a call with at least this token settles it
	pace     int        // percent
	observed int64      // tail latency that the pacer has learned from
}

func (c *Core) hold(size msg.RunSize) *held {
	c.pacer.arrivals++
	r := &held{
		core: c, id: size.Run, size: size, sequence: c.pacer.arrivals, state: heldChart.Initial(), pace: fullPace,
		latest: msg.RunStatus{Run: size.Run},
	}
	c.runs[r.id] = r
	c.used = c.used.Add(size.Charge)
	return r
}

func (r *held) step(e chart.Event) {
	before := r.state
	heldChart.Step(r, &r.state, e)
	if d, _, ok := heldChart.Timeout(r.state); !ok {
		r.due = 0
	} else if r.state != before || e == evLate {
		r.due = r.core.now + d
	}
	if heldChart.Final(r.state) {
		r.drop()
	}
}

func (r *held) tick() {
	if r.due != 0 && r.core.now >= r.due {
		r.step(evLate)
	}
}

func (r *held) drop() {
	if _, ok := r.core.runs[r.id]; ok {
		delete(r.core.runs, r.id)
		r.core.used = r.core.used.Sub(r.size.Charge)
	}
}

func (r *held) status() msg.RunStatus {
	s := r.latest
	s.Run, s.CPULimitPercent = r.id, r.pace
	if r.pace == unknownPace {
		s.CPULimitPercent = fullPace
	}
	s.Unconfirmed = r.state == heldStarting || r.state == heldDoubtful
	return s
}

// visibleTo reports whether a listing would show the run if it ran.
func (r *held) visibleTo(t runner.Target, l runner.PollResponse) bool {
	switch r.state {
	case heldDoubtful:
		return t.Token >= r.doubt
	case heldRunning, heldStopping:
		return l.ClockMS > r.acceptMS
	}
	return false
}

func (r *held) callStop() {
	id := r.id
	r.core.call(Call{Stop: &id})
}

func (r *held) reportStarted() {
	r.core.changed.Started = append(r.core.changed.Started, r.id)
}

func (r *held) reportRefused() {
	r.core.changed.Refused = append(r.core.changed.Refused, r.id)
}

func (r *held) reportLost() {
	r.core.note(Decision{Kind: RunRefused, Run: r.id, Detail: "not listed any more"})
	r.reportRefused()
}

func (r *held) reportEnd() {
	r.core.changed.Ended = append(r.core.changed.Ended, r.end)
}

// raiseToken makes the backend server ignore the unanswered start once it has
// answered a call with the new token.
func (r *held) raiseToken() {
	r.core.token++
	r.doubt = r.core.token
	r.core.note(Decision{Kind: RunDoubtful, Run: r.id})
}

func (r *held) look() {
	r.core.call(Call{Look: &runner.PollRequest{Acknowledged: r.core.cursor, LeaseMS: r.core.leaseMS()}})
}
