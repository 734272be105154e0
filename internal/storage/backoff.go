package storage

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay before an operation on a platform service is repeated,
// from docs/design.md section 5.6.
const (
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 10 * time.Second
)

const (
	// The delay after a failure is at most this multiple of the previous one.
	backoffGrowth = 3
	// Each success divides the pause before the next operation by this. After a
	// delay of MaxBackoff the first pause is at most 2.5 s, less than the 4 s
	// after which the owner of a cell that cannot write its heartbeat stops
	// placing tasks. Without pauses, all clients of a recovering service would
	// send their queues at once.
	backoffDecay = 4

	budgetBurst      = 10  // capacity of the retry budget, in retries
	budgetPerSuccess = 0.1 // retries added by a success
	budgetPerSecond  = 0.5 // retries added per second
)

// Backoff computes how long to wait between operations on a service. It is
// pure: the caller passes the time and waits. Only one actor may use it.
type Backoff struct {
	delay    time.Duration  // 0 while the service is healthy
	tokens   float64        // retry budget, in retries; negative when overdrawn
	refilled time.Time      // time of the last refill of tokens
	random   func() float64 // returns values in [0, 1)
}

// NewBackoff returns a Backoff with a full retry budget. random returns values
// in [0, 1) for the jitter; nil: math/rand/v2.
func NewBackoff(random func() float64) *Backoff {
	if random == nil {
		random = rand.Float64
	}
	return &Backoff{tokens: budgetBurst, random: random}
}

// Healthy reports whether the service has recovered from the last failure, so
// that Success returns 0.
func (b *Backoff) Healthy() bool { return b.delay == 0 }

// Failure records a failed operation and returns how long to wait before it
// may be repeated. The wait is random between MinBackoff and a bound that grows
// up to MaxBackoff. Each retry takes a token from the budget; when the budget
// is empty, the wait lasts at least until a token has been added.
func (b *Backoff) Failure(now time.Time) time.Duration {
	b.refill(now, 0)
	upper := min(max(b.delay, MinBackoff)*backoffGrowth, MaxBackoff)
	b.delay = MinBackoff + time.Duration(b.random()*float64(upper-MinBackoff))
	b.tokens--
	if b.tokens < 0 {
		return max(b.delay, time.Duration(-b.tokens/budgetPerSecond*float64(time.Second)))
	}
	return b.delay
}

// Success records a successful operation and returns how long to pause before
// the next one. The pause decreases to 0 within a few successes.
func (b *Backoff) Success(now time.Time) time.Duration {
	b.refill(now, budgetPerSuccess)
	b.delay /= backoffDecay
	if b.delay < MinBackoff {
		b.delay = 0
	}
	return time.Duration(b.random() * float64(b.delay))
}

// refill adds the tokens of the elapsed time and the given ones to the budget.
func (b *Backoff) refill(now time.Time, added float64) {
	if !b.refilled.IsZero() {
		added += now.Sub(b.refilled).Seconds() * budgetPerSecond
	}
	b.refilled = now
	b.tokens = min(b.tokens+added, budgetBurst)
}
