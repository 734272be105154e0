package storage

import (
	"math/rand/v2"
	"time"
)

// Limits of the delay before an operation at a platform service is repeated,
// from docs/design.md section 5.6.
const (
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 10 * time.Second
)

const (
	// A failure waits at most this many times the delay before it.
	backoffGrowth = 3
	// Each success divides the pause before the next operation by this. After
	// MaxBackoff the first pause is at most 2.5 s, less than the 4 s after which
	// the owner of a cell that cannot write its heartbeat stops placing tasks.
	// Without pauses, every client of a recovering service would send its queue
	// at once.
	backoffDecay = 4

	budgetBurst      = 10  // retries without a success
	budgetPerSuccess = 0.1 // retries earned by a success
	budgetPerSecond  = 0.5 // retries earned per second
)

// Backoff decides how long to wait between operations at a service. It is
// pure: the caller gives the time and waits. It belongs to one actor.
type Backoff struct {
	delay    time.Duration // 0 while the service is healthy
	tokens   float64       // retry budget
	refilled time.Time     // when tokens was brought up to date
	random   func() float64
}

// NewBackoff returns a Backoff with a full retry budget. random returns values
// in [0, 1) for the jitter; nil: math/rand/v2.
func NewBackoff(random func() float64) *Backoff {
	if random == nil {
		random = rand.Float64
	}
	return &Backoff{tokens: budgetBurst, random: random}
}

// Healthy reports whether no failure was noted since the service recovered.
func (b *Backoff) Healthy() bool { return b.delay == 0 }

// Failure notes a failed operation and returns how long to wait before it may
// be repeated. The wait is drawn between MinBackoff and a bound that grows to
// MaxBackoff. Each retry takes a token of the budget; once it is spent, the
// wait lasts at least until a token has been earned.
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

// Success notes a successful operation and returns how long to pause before
// the next one; 0 once the service has been healthy for a few operations.
func (b *Backoff) Success(now time.Time) time.Duration {
	b.refill(now, budgetPerSuccess)
	b.delay /= backoffDecay
	if b.delay < MinBackoff {
		b.delay = 0
	}
	return time.Duration(b.random() * float64(b.delay))
}

func (b *Backoff) refill(now time.Time, added float64) {
	if !b.refilled.IsZero() {
		added += now.Sub(b.refilled).Seconds() * budgetPerSecond
	}
	b.refilled = now
	b.tokens = min(b.tokens+added, budgetBurst)
}
