package jobs

import "time"

const (
	// orderBurst is how much of its rate the owner may order at once, after a pause.
	orderBurst = 100 * time.Millisecond
	// orderOverheadBytes is about the encoding of a start request beside its
	// specification and checkpoint.
	orderOverheadBytes = 120
)

// orderClass distinguishes the orders that have a part of the rate of their own.
type orderClass uint8

const (
	ordersByUrgency  orderClass = iota // any part of the rate
	ordersOverdue                      // of overdue tasks, ahead of more urgent ones
	ordersOfSuspects                   // of suspects that are not isolated
	orderClasses
)

// orderShares is the part of the rate that each class may take.
var orderShares = [orderClasses]float64{ordersByUrgency: 1, ordersOverdue: 0.25, ordersOfSuspects: 0.5}

// orderRate bounds the bytes of start requests, so that they leave the owner's network
// connection to heartbeats and leases. The tasks that may not start yet stay ready, in
// the order of their urgency. Overdue tasks have a part of the rate, since more urgent
// ones may take the rest without end. Suspects are limited to a part, since a loss of
// power can make many at once. Isolated tasks are few at a time and do not wait.
type orderRate struct {
	bytesPerSecond float64               // 0: not bounded
	available      [orderClasses]float64 // bytes; those by urgency are of all classes
	refilledAt     time.Duration
	exhausted      bool       // a pass ended because nothing was available
	suspectsWait   bool       // a pass ended the orders of suspects because nothing was available
	continues      bool       // the next pass continues one that had exhausted the rate
	class          orderClass // of the orders at present
}

// LimitOrders bounds the start requests, in bytes per second. 0 means no bound.
func (c *Core) LimitOrders(bytesPerSecond int64) {
	c.orders = orderRate{bytesPerSecond: float64(bytesPerSecond), refilledAt: c.now}
	for class, share := range orderShares {
		c.orders.available[class] = share * c.orders.burst()
	}
}

func (o *orderRate) burst() float64 { return o.bytesPerSecond * orderBurst.Seconds() }

// refill adds what has become available, and reports whether a pass waits for it.
func (o *orderRate) refill(now time.Duration) bool {
	added := o.bytesPerSecond * (now - o.refilledAt).Seconds()
	for class, share := range orderShares {
		o.available[class] = min(share*o.burst(), o.available[class]+share*added)
	}
	o.refilledAt = now
	waits := (o.exhausted || o.suspectsWait) && o.available[ordersByUrgency] > 0
	if waits {
		o.exhausted, o.suspectsWait, o.continues = false, false, true
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
	o.exhausted = o.available[ordersByUrgency] <= 0
	admitted := !o.exhausted && o.available[o.class] > 0
	if o.class == ordersOfSuspects {
		o.suspectsWait = !admitted
	}
	return admitted
}

// spend records a start request. A request may exceed what is available, which the
// next ones wait for.
func (o *orderRate) spend(bytes int) {
	n := float64(bytes + orderOverheadBytes)
	o.available[ordersByUrgency] -= n
	if o.class != ordersByUrgency {
		o.available[o.class] -= n
	}
}
