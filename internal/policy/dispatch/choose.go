package dispatch

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Candidate is a backend server that could take a request now.
type Candidate struct {
	Backend model.BackendID
	Credits int // idle credits of this entry
	Running int // requests of this entry that run there
	Slots   int
	RTT     time.Duration // between the entry and the agent
	// Slowness is the backend server's slot time relative to that of the
	// service; 1 is average.
	Slowness float64
	Failures int // consecutive failures
}

// failurePenalty is added to the expected time for each consecutive failure,
// so that a backend server that fails quickly does not attract the work.
const failurePenalty = 100 * time.Millisecond

// maxPenalised bounds the penalty, so that a recovered backend server is tried
// again when the others are busy.
const maxPenalised = 10

// Choose returns the index of the candidate with the lowest expected time for
// a request with the mean slot time, or -1 when none has a credit. Ties go to
// the one with the most idle credits, which leaves room on each.
func Choose(candidates []Candidate, mean time.Duration) int {
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Credits <= 0 {
			continue
		}
		cost := c.expected(mean)
		if best < 0 || cost < bestCost || (cost == bestCost && c.Credits > candidates[best].Credits) {
			best, bestCost = i, cost
		}
	}
	return best
}

// expected grows with the share of busy slots, because requests on one host
// slow each other down.
func (c *Candidate) expected(mean time.Duration) time.Duration {
	busy := 0.0
	if c.Slots > 0 {
		busy = float64(c.Running) / float64(c.Slots)
	}
	slow := c.Slowness
	if slow <= 0 {
		slow = 1
	}
	run := time.Duration(float64(mean) * slow * (1 + busy/2))
	return c.RTT + run + time.Duration(min(c.Failures, maxPenalised))*failurePenalty
}

// RetryBudget allows retries as a share of requests, so that a failing system
// is not loaded further by its own retries.
type RetryBudget struct{ tokens float64 }

const (
	retryShare     = 0.1 // retries per request
	maxRetryTokens = 20  // burst
)

// AddRequest records a first try.
func (b *RetryBudget) AddRequest() { b.tokens = min(b.tokens+retryShare, maxRetryTokens) }

// TakeRetry spends a retry if the budget allows it.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
