// Package drain decides what a stopping entry does when, so that it ends within
// its grace period. The package does no input or output.
package drain

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

const (
	// maxStopMargin is the part of the grace period that is left for the end of
	// the process and for a busy processor.
	maxStopMargin = 500 * time.Millisecond
	// maxAnswerTime is the time in which cancelled requests are answered.
	maxAnswerTime = 300 * time.Millisecond
	// maxBalancerDelay covers two failed readiness checks of a balancer that
	// checks every second.
	maxBalancerDelay = 2300 * time.Millisecond
	// maxClosingTime is the time that is kept for the requests in flight when
	// the jobs are not released.
	maxClosingTime = 2500 * time.Millisecond
)

// Plan holds the times at which the phases of a drain end at the latest, as
// durations since the signal. They never decrease.
type Plan struct {
	LeaveBy   time.Duration // the balancer sends no more callers
	ReleaseBy time.Duration // the release of the jobs is no longer awaited
	AnswerBy  time.Duration // requests in flight are cancelled
	StopBy    time.Duration // the process ends
}

// NewPlan returns the plan for a grace period, the time between the signal and
// the kill of the process. A period below a millisecond counts as one.
func NewPlan(grace time.Duration) Plan {
	grace = max(grace, time.Millisecond)
	stop := grace - min(maxStopMargin, grace/4)
	answer := stop - min(maxAnswerTime, stop/4)
	leave := min(maxBalancerDelay, answer/2)
	return Plan{LeaveBy: leave, ReleaseBy: max(leave, answer-maxClosingTime), AnswerBy: answer, StopBy: stop}
}

// ExitBy returns when a process with a grace period ends in any case, as a duration
// since the signal: half of what StopBy leaves is for the end of its log.
func ExitBy(grace time.Duration) time.Duration {
	return grace - (grace-NewPlan(grace).StopBy)/2
}

// stServing is the first state of Binding.
const stServing chart.State = 0

// Events of charts/drain.scxml, in the order of Binding.
const (
	evSignal chart.Event = iota
	evTimeout
	evReleased
	evQuiet
	evUnlinked
)

// Effect is an action that the entry has to perform.
type Effect uint8

// Kinds of effects.
const (
	LeaveRotation  Effect = iota // report not ready, and ask callers to use another entry
	ReleaseJobs                  // start the release of the jobs, and call Released when it is done
	CloseIdle                    // accept no connection, end idle ones, and call Quiet when none is open
	CancelRequests               // end the contexts of the requests in flight
	EndLinks                     // end the links in an orderly way, and call Unlinked when that is done
)

// Core is the state of a drain. It is not safe for concurrent use.
type Core struct {
	machine  *chart.Machine[Core]
	state    chart.State
	due      time.Duration // when the timeout of the state expires
	released bool
	unlinked bool
	effects  []Effect
}

// Binding binds charts/drain.scxml.
func Binding(p Plan) chart.Binding[Core] {
	return chart.Binding[Core]{
		Chart:  "drain",
		States: []string{"serving", "leaving", "releasing", "closing", "cancelling", "unlinking", "stopped"},
		Events: []string{"signal", "late", "released", "quiet", "unlinked"},
		Guards: map[string]func(*Core) bool{
			"released": (*Core).JobsReleased,
			"unlinked": func(c *Core) bool { return c.unlinked },
		},
		Actions: map[string]func(*Core){
			"leave":        func(c *Core) { c.emit(LeaveRotation) },
			"release":      func(c *Core) { c.emit(ReleaseJobs) },
			"noteRelease":  func(c *Core) { c.released = true },
			"close":        func(c *Core) { c.emit(CloseIdle) },
			"cancel":       func(c *Core) { c.emit(CancelRequests) },
			"endLinks":     func(c *Core) { c.emit(EndLinks) },
			"noteUnlinked": func(c *Core) { c.unlinked = true },
		},
		Delays: map[string]time.Duration{"leaveBy": p.LeaveBy, "releaseBy": p.ReleaseBy, "answerBy": p.AnswerBy, "stopBy": p.StopBy},
	}
}

// New returns the state of an entry that serves.
func New(p Plan) *Core {
	c := &Core{machine: chart.MustCompile(charts.Files, Binding(p))}
	c.state = c.machine.Initial()
	return c
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Effects returns the effects since the last call.
func (c *Core) Effects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) step(e chart.Event) {
	c.machine.Step(c, &c.state, e)
	c.due, _, _ = c.machine.Timeout(c.state)
}

// Signal starts the drain.
func (c *Core) Signal() { c.step(evSignal) }

// Released reports that the jobs are released.
func (c *Core) Released() { c.step(evReleased) }

// Quiet reports that no connection of a caller is open.
func (c *Core) Quiet() { c.step(evQuiet) }

// Unlinked reports that every link has ended.
func (c *Core) Unlinked() { c.step(evUnlinked) }

// Advance applies the timeouts that have expired at a time since the signal.
func (c *Core) Advance(since time.Duration) {
	for c.state != stServing && !c.Stopped() && since >= c.due {
		c.step(evTimeout)
	}
}

// Due returns when Advance has to be called, as a time since the signal.
func (c *Core) Due() time.Duration { return c.due }

// Phase returns the name of the current phase.
func (c *Core) Phase() string { return c.machine.StateName(c.state) }

// Stopped reports whether the process has to end.
func (c *Core) Stopped() bool { return c.machine.Final(c.state) }

// JobsReleased reports whether the jobs were released.
func (c *Core) JobsReleased() bool { return c.released }
