package standin

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/bambooscale/bambooscale/internal/storage"
)

// Default limits of the table service and the object store, from
// docs/design.md section 1.3.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// burstDivisor sets the burst to a quarter of a second's operations.
	burstDivisor = 4
)

// errOutcomeUnknown is the error of a call whose request or answer is lost.
var errOutcomeUnknown = storage.ErrOutcomeUnknown

// StoreFaults are the faults of a table service or an object store. The zero
// value simulates a healthy service with the default limits.
type StoreFaults struct {
	Outage  bool  `json:"outage"`  // every operation is refused and has no effect
	DelayMs int64 `json:"delayMs"` // half of it passes before an operation takes effect, half after
	// Number of coming writes that take effect but whose answers are lost; -1: all.
	LoseAnswers int `json:"loseAnswers"`
	// Number of coming writes that are lost before they take effect; -1: all.
	LoseRequests    int `json:"loseRequests"`
	WritesPerSecond int `json:"writesPerSecond"` // 0: the default, -1: no limit
	ReadsPerSecond  int `json:"readsPerSecond"`  // 0: the default, -1: no limit
	// Don't keep committed transactions for History. Long runs need this: 100
	// transactions a second of 50 rows each use over 1 GB in 10 minutes.
	DropHistory bool `json:"dropHistory"`
}

// Counters count the operations of a table service or an object store.
type Counters struct {
	Writes  int `json:"writes"`  // that arrived
	Reads   int `json:"reads"`   // that arrived
	Refused int `json:"refused"` // in an outage
	Limited int `json:"limited"` // above the rate limit
	Lost    int `json:"lost"`    // whose request or answer was lost
}

// StoreState is the answer to GET and POST /control.
type StoreState struct {
	Faults   StoreFaults `json:"faults"`
	Counters Counters    `json:"counters"`
}

// faultInjector applies faults and rate limits to the operations of a store. It
// belongs to the store's actor.
type faultInjector struct {
	StoreState
	writes, reads *rate.Limiter
	timers        *callTimers
}

func newFaultInjector(f StoreFaults) *faultInjector {
	i := &faultInjector{timers: newCallTimers()}
	i.set(f)
	return i
}

func (i *faultInjector) set(f StoreFaults) {
	i.Faults = f
	i.writes = newLimiter(f.WritesPerSecond, DefaultWritesPerSecond)
	i.reads = newLimiter(f.ReadsPerSecond, DefaultReadsPerSecond)
}

func newLimiter(perSecond, defaultRate int) *rate.Limiter {
	switch {
	case perSecond < 0:
		return rate.NewLimiter(rate.Inf, 0)
	case perSecond == 0:
		perSecond = defaultRate
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstDivisor))
}

// admit returns an error for an operation in an outage or above the rate limit.
func (i *faultInjector) admit(l *rate.Limiter) error {
	switch {
	case i.Faults.Outage:
		i.Counters.Refused++
		return storage.ErrUnavailable
	case !l.AllowN(time.Now(), 1):
		i.Counters.Limited++
		return errLimit
	}
	return nil
}

// consume reports whether a fault that applies to the next n operations applies
// to this one, and counts n down unless it is -1 (all).
func (i *faultInjector) consume(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	i.Counters.Lost++
	return true
}

// write applies the faults to a write, runs effect unless they prevent it, and
// passes the outcome to reply.
func (i *faultInjector) write(effect func() error, reply func(error)) {
	i.Counters.Writes++
	if err := i.admit(i.writes); err != nil {
		reply(err)
		return
	}
	half := time.Duration(i.Faults.DelayMs) * time.Millisecond / 2
	i.timers.afterFunc(half, func() {
		if i.consume(&i.Faults.LoseRequests) {
			reply(errOutcomeUnknown)
			return
		}
		err := effect()
		if err == nil && i.consume(&i.Faults.LoseAnswers) {
			err = errOutcomeUnknown
		}
		i.timers.afterFunc(half, func() { reply(err) })
	})
}

// read applies the faults to a read and calls reply with the error, or with nil
// once the read may look up its answer.
func (i *faultInjector) read(reply func(error)) {
	i.Counters.Reads++
	if err := i.admit(i.reads); err != nil {
		reply(err)
		return
	}
	i.timers.afterFunc(time.Duration(i.Faults.DelayMs)*time.Millisecond, func() { reply(nil) })
}
