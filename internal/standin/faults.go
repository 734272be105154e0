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
	// A client may use a quarter of a second's operations at once.
	burstDivisor = 4
)

// errLost leaves the outcome unknown to the client.
var errOutcomeUnknown = storage.ErrOutcomeUnknown

// StoreFaults are the faults of a table service or an object store. The zero
// value simulates a healthy service with the default limits.
type StoreFaults struct {
	Outage  bool  `json:"outage"`  // every operation is refused and has no effect
	DelayMs int64 `json:"delayMs"` // half of it passes before an operation takes effect, half after
	// The next so many writes take effect but their answers are lost; -1: all.
	LoseAnswers int `json:"loseAnswers"`
	// The next so many writes are lost before they take effect; -1: all.
	LoseRequests    int `json:"loseRequests"`
	WritesPerSecond int `json:"writesPerSecond"` // 0: the default, -1: no limit
	ReadsPerSecond  int `json:"readsPerSecond"`  // 0: the default, -1: no limit
	// Committed transactions are not kept for History. A long run needs it:
	// 100 transactions a second of 50 rows are over 1 GB in 10 minutes.
	DropHistory bool `json:"dropHistory"`
}

// Counters count the operations of a table service or an object store.
type Counters struct {
	Writes  int `json:"writes"` // that arrived
	Reads   int `json:"reads"`  // that arrived
	Refused int `json:"refused"`
	Limited int `json:"limited"`
	Lost    int `json:"lost"`
}

// StoreState answers GET /control.
type StoreState struct {
	Faults   StoreFaults `json:"faults"`
	Counters Counters    `json:"counters"`
}

// gate applies faults and limits to the operations of a store.
type faultInjector struct {
	StoreState
	writes, reads *rate.Limiter
	timers        *callTimers
}

func newFaultInjector(f StoreFaults) *faultInjector {
	g := &faultInjector{timers: newCallTimers()}
	g.set(f)
	return g
}

func (g *faultInjector) set(f StoreFaults) {
	g.Faults = f
	g.writes = newLimiter(f.WritesPerSecond, DefaultWritesPerSecond)
	g.reads = newLimiter(f.ReadsPerSecond, DefaultReadsPerSecond)
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

// admit refuses an operation in an outage or above the limit.
func (g *faultInjector) admit(l *rate.Limiter) error {
	switch {
	case g.Faults.Outage:
		g.Counters.Refused++
		return storage.ErrUnavailable
	case !l.AllowN(time.Now(), 1):
		g.Counters.Limited++
		return errLimit
	}
	return nil
}

// take counts down a fault that applies to the next n operations.
func (g *faultInjector) consume(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	g.Counters.Lost++
	return true
}

// write runs a write under the faults and passes its outcome to reply.
func (g *faultInjector) write(effect func() error, reply func(error)) {
	g.Counters.Writes++
	if err := g.admit(g.writes); err != nil {
		reply(err)
		return
	}
	half := time.Duration(g.Faults.DelayMs) * time.Millisecond / 2
	g.timers.afterFunc(half, func() {
		if g.consume(&g.Faults.LoseRequests) {
			reply(errOutcomeUnknown)
			return
		}
		err := effect()
		if err == nil && g.consume(&g.Faults.LoseAnswers) {
			err = errOutcomeUnknown
		}
		g.timers.afterFunc(half, func() { reply(err) })
	})
}

// read runs a read under the faults; the function passes on the outcome.
func (g *faultInjector) read(reply func(error)) {
	g.Counters.Reads++
	if err := g.admit(g.reads); err != nil {
		reply(err)
		return
	}
	g.timers.afterFunc(time.Duration(g.Faults.DelayMs)*time.Millisecond, func() { reply(nil) })
}
