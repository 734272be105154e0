package jobs

import "time"

const (
	// orderBurst is how much of its rate the owner may order at once, after a pause.
	orderBurst = 100 * time.Millisecond
	// orderOverheadBytes is about the encoding of a start request beside its
	// specification and checkpoint.
	orderOverheadBytes = 120
	// overdueShare is the part of the rate that overdue tasks may take ahead of more
	// urgent ones: one byte in so many.
	overdueShare = 4
)

// orderRate bounds the bytes of start requests, so that they leave the owner's network
// connection to heartbeats and leases. The tasks that may not start yet stay ready, in
// the order of their urgency. Overdue tasks have a part of the rate, since more urgent
// ones may take the rest without end.
type orderRate struct {
	bytesPerSecond float64 // 0: not bounded
	available      float64 // bytes
	forOverdue     float64 // bytes of available that overdue tasks may take
	refilledAt     time.Duration
	exhausted      bool // a pass ended because nothing was available
	continues      bool // the next pass continues one that had exhausted the rate
	overdue        bool // the orders are those of overdue tasks
}

// LimitOrders bounds the start requests, in bytes per second. 0 means no bound.
func (c *Core) LimitOrders(bytesPerSecond int64) {
	c.orders = orderRate{bytesPerSecond: float64(bytesPerSecond), refilledAt: c.now}
	c.orders.available = c.orders.burst()
	c.orders.forOverdue = c.orders.available / overdueShare
}

func (o *orderRate) burst() float64 { return o.bytesPerSecond * orderBurst.Seconds() }

// refill adds what has become available, and reports whether a pass waits for it.
func (o *orderRate) refill(now time.Duration) bool {
	added := o.bytesPerSecond * (now - o.refilledAt).Seconds()
	o.available = min(o.burst(), o.available+added)
	o.forOverdue = min(o.burst()/overdueShare, o.forOverdue+added/overdueShare)
	o.refilledAt = now
	waits := o.exhausted && o.available > 0
	if waits {
		o.exhausted, o.continues = false, true
	}
	return waits
}

// overdueDue reports whether the pass that begins places overdue tasks first: once
// after each refill that a pass has waited for.
func (o *orderRate) overdueDue() bool {
	due := o.continues
	o.continues = false
	return due
}

// admits reports whether a start may be requested now.
func (o *orderRate) admits() bool {
	if o.bytesPerSecond == 0 {
		return true
	}
	o.exhausted = o.available <= 0
	return !o.exhausted && (!o.overdue || o.forOverdue > 0)
}

// spend records a start request. A request may exceed what is available, which the
// next ones wait for.
func (o *orderRate) spend(bytes int) {
	n := float64(bytes + orderOverheadBytes)
	o.available -= n
	if o.overdue {
		o.forOverdue -= n
	}
}
