package dispatch

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Candidate is a backend server that could take a request now.
type Candidate struct {
	Backend model.BackendID
	Credits int // idle credits of this entry
	Running int // requests of this entry that hold a slot
	Slots   int
	RTT     time.Duration // between the entry and the agent
	// Slowness is the mean slot time on this backend server relative to that
	// of the service; 1 is average, 0 is unknown and counts as 1.
	Slowness float64
	Failures int // consecutive failures
}

// failurePenalty is added to the expected time for each consecutive failure.
// Without it a backend server that fails quickly would get most requests.
const failurePenalty = 100 * time.Millisecond

// maxPenalisedFailures bounds the penalty, so that a recovered backend server is
// tried again when the others are busy.
const maxPenalisedFailures = 10

// Choose returns the index of the candidate with the lowest expected time for
// a request, or -1 when none has a credit. mean is the mean slot time of the
// request's class. Ties go to the one with the most idle credits, so that each
// keeps some.
func Choose(candidates []Candidate, mean time.Duration) int {
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Credits <= 0 {
			continue
		}
		cost := c.expectedTime(mean)
		if best < 0 || cost < bestCost || (cost == bestCost && c.Credits > candidates[best].Credits) {
			best, bestCost = i, cost
		}
	}
	return best
}

// expectedTime returns the round-trip time, the expected slot time and the
// penalty for failures. The slot time grows with the share of busy slots,
// because requests on one host slow each other down.
func (c *Candidate) expectedTime(mean time.Duration) time.Duration {
	busy := 0.0
	if c.Slots > 0 {
		busy = float64(c.Running) / float64(c.Slots)
	}
	slowness := c.Slowness
	if slowness <= 0 {
		slowness = 1
	}
	run := time.Duration(float64(mean) * slowness * (1 + busy/2))
	return c.RTT + run + time.Duration(min(c.Failures, maxPenalisedFailures))*failurePenalty
}

// RetryBudget limits retries to a share of requests, so that retries do not add
// much load to a failing system.
type RetryBudget struct{ tokens float64 }

const (
	retryShare     = 0.1 // retries per request
	maxRetryTokens = 20  // retries in a burst
)

// AddRequest records the first try of a request.
func (b *RetryBudget) AddRequest() { b.tokens = min(b.tokens+retryShare, maxRetryTokens) }

// TakeRetry uses one retry of the budget. It returns false if none is left.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
