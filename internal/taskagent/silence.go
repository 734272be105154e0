package taskagent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
)

// renewSilence is how long a worker may have answered nothing when its leases are renewed.
// A renewal without an answer may have an effect, so the end of the worker's tasks is known
// only once none is sent any more.
const renewSilence = lease.WorkerTTL

// answered records an answer of the worker.
func (c *Core) answered() { c.answeredAt = c.now }

// silentSince returns when the worker answered last, or when it was asked to start the
// attempt if that was later: an idle worker is not called.
func (a *attempt) silentSince() time.Duration { return max(a.core.answeredAt, a.startCalledAt) }

// renewable reports whether the worker's lease of the attempt is renewed.
func (a *attempt) renewable() bool {
	return a.core.lease.Valid(a.core.now, a.spec.LongRunning) && a.core.now-a.silentSince() < renewSilence
}

// loseSilentAttempts ends the attempts of a worker that has answered nothing for so long
// that its tasks have certainly ended with the worker's own leases.
func (c *Core) loseSilentAttempts() {
	lost := 0
	for _, a := range c.sortedAttempts() {
		a.core = c
		if c.now >= a.silentSince()+renewSilence+lease.WorkerEnd && c.stepAttempt(a, evLost) {
			lost++
		}
	}
	if lost > 0 {
		c.emit(Log{event.TaskWorkerSilent, map[string]any{"attempts": lost, "silent-ms": (c.now - c.answeredAt).Milliseconds()}})
	}
}
