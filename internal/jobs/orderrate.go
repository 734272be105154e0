package jobs

import "time"

const (
	// orderBurst is how much of its rate the owner may order at once, after a pause.
	orderBurst = 100 * time.Millisecond
	// orderOverheadBytes is about the encoding of a start request beside its
	// specification and checkpoint.
	orderOverheadBytes = 120
)

// orderRate bounds the bytes of start requests, so that they leave the owner's network
// connection to heartbeats and leases. The tasks that may not start yet stay ready, in
// the order of their urgency.
type orderRate struct {
	bytesPerSecond float64 // 0: not bounded
	available      float64 // bytes
	refilledAt     time.Duration
	exhausted      bool // a pass ended because nothing was available
}

// LimitOrders bounds the start requests, in bytes per second. 0 means no bound.
func (c *Core) LimitOrders(bytesPerSecond int64) {
	c.orders = orderRate{bytesPerSecond: float64(bytesPerSecond), refilledAt: c.now}
	c.orders.available = c.orders.burst()
}

func (o *orderRate) burst() float64 { return o.bytesPerSecond * orderBurst.Seconds() }

// refill adds what has become available, and reports whether a pass waits for it.
func (o *orderRate) refill(now time.Duration) bool {
	o.available = min(o.burst(), o.available+o.bytesPerSecond*(now-o.refilledAt).Seconds())
	o.refilledAt = now
	waits := o.exhausted && o.available > 0
	if waits {
		o.exhausted = false
	}
	return waits
}

// admits reports whether a start may be requested now.
func (o *orderRate) admits() bool {
	o.exhausted = o.bytesPerSecond > 0 && o.available <= 0
	return !o.exhausted
}

// spend records a start request. A request may exceed what is available, which the
// next ones wait for.
func (o *orderRate) spend(bytes int) { o.available -= float64(bytes + orderOverheadBytes) }
