package control

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
)

// States of charts/attempt.scxml.
const (
	stReserved chart.State = iota
	stStarting
	stRunning
	stUnknown
	stCheckpointing
	stStopping
	stEnded
)

// Events of charts/attempt.scxml.
const (
	evAdopt chart.Event = iota
	evCommitted
	evRunning
	evEnded
	evStop
	evEvict
	evExpire
	evAbsent
	evCheckpointCommitted
	evAttemptTimeout
)

const (
	commandRetryInterval = 2 * time.Second
	checkpointTimeout    = 30 * time.Second // after it, the task is stopped and resumes from its last checkpoint
)

// attempt is the live attempt of a job, or its last attempt.
type attempt struct {
	live            bool // charged to the worker; it may be running
	state           chart.State
	deadline        time.Duration // of the state's timeout; 0 when it has none
	number          uint32
	worker          model.WorkerID
	report          msg.TaskReport // the newest of the agent
	cpuLimitPercent int            // newest processor limit sent to the agent; 0: none yet
	cpuLimitSentAt  time.Duration  // when cpuLimitPercent was sent
}

// AttemptBinding binds charts/attempt.scxml to its guards, actions and timeouts.
func AttemptBinding() chart.Binding[job] {
	return chart.Binding[job]{
		Chart:  "attempt",
		States: []string{"reserved", "starting", "running", "unknown", "checkpointing", "stopping", "over"},
		Events: []string{"adopt", "committed", "running", "ended", "stop", "evict", "expire", "absent", "checkpointCommitted", "timeout"},
		Guards: map[string]func(*job) bool{
			"evicting": func(j *job) bool { return j.phase == stEvicting },
		},
		Actions: map[string]func(*job){
			"sendStart": func(j *job) { j.core.sendStart(j) },
			"sendStop": func(j *job) {
				j.core.ledger.MarkStopping(j.attemptID())
				j.command(&msg.StopTask{Command: j.core.newCommand(), Attempt: j.attemptID()})
			},
			"sendCheckpoint": func(j *job) {
				j.core.ledger.MarkStopping(j.attemptID())
				j.command(&msg.CheckpointTask{Command: j.core.newCommand(), Attempt: j.attemptID()})
			},
			"reportStarted": func(j *job) { j.core.stepJob(j, evJobStarted) },
			"endByReport":   func(j *job) { j.core.endByReport(j) },
			"abandon":       func(j *job) { j.core.abandon(j) },
			"withdraw":      func(j *job) { j.core.release(j, evInterrupted, outcomeNone) },
		},
		Delays: map[string]time.Duration{"commandRetry": commandRetryInterval, "checkpointTimeout": checkpointTimeout},
	}
}

// stepAttempt feeds an event to the chart of the job's live attempt. It reports
// whether the chart has a transition for it.
func (c *Core) stepAttempt(j *job, e chart.Event) bool {
	j.core = c
	a := &j.attempt
	if !a.live || !attemptChart.Step(j, &a.state, e) {
		return false
	}
	a.deadline = 0
	if d, _, ok := attemptChart.Timeout(a.state); ok && a.live {
		a.deadline = c.now + d
	}
	return true
}

// command sends a command to the agent of the attempt's worker.
func (j *job) command(m msg.Control) { j.core.send(j.core.peers[j.attempt.worker], m) }

// sendStart sends the start command of a committed attempt. It sends nothing
// while the owner holds or the agent is not ready; the chart calls it again
// after commandRetryInterval, until the agent reports the attempt.
func (c *Core) sendStart(j *job) {
	p := c.peers[j.attempt.worker]
	if c.cell.state != stOwning || p.state != stReady {
		return
	}
	c.send(p, &msg.StartTask{
		Command: c.newCommand(), Attempt: j.attemptID(), Spec: j.row.Spec, Checkpoint: j.row.Checkpoint, TTL: lease.TTL,
	})
}

// endByReport ends an attempt according to the final report of its agent.
func (c *Core) endByReport(j *job) {
	switch j.attempt.report.State {
	case model.TaskDone:
		c.release(j, evFinished, outcomeDone)
	case model.TaskFailed:
		c.release(j, evFailed, outcomeFailed)
	default:
		c.release(j, evInterrupted, outcomeNone)
	}
}

// abandon gives up an attempt whose lease has certainly expired.
func (c *Core) abandon(j *job) {
	c.log(event.AttemptLost, map[string]any{"attempt": j.attemptID().String(), "worker": j.attempt.worker})
	c.peers[j.attempt.worker].abandoned[j.attemptID()] = true
	j.row.Reason = "the lease of attempt " + j.attemptID().String() + " expired"
	c.release(j, evInterrupted, outcomeNone)
}

// release ends the charge of the attempt to its worker and steps the job.
func (c *Core) release(j *job, e chart.Event, o outcome) {
	j.attempt.live = false
	c.trackOutcome(j, o)
	c.peers[j.attempt.worker].chargedAttempts--
	if size, ok := c.ledger.Release(j.attemptID()); ok {
		j.size = j.size.Max(size)
	}
	c.planNeeded = true
	c.stepJob(j, e)
}
