// Package dispatch decides which queued request gets the next slot, which
// requests are refused, and which backend server a request goes to. It is
// pure: time comes in as an argument and nothing waits or sends.
package dispatch

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Key identifies a request within one entry.
type Key uint64

// Request is what the queue knows of a request.
type Request struct {
	Key      Key
	Class    model.Class
	Tenant   model.Tenant
	Arrived  time.Time
	Deadline time.Time
}

// Refusal says why a request is not queued or was dropped from the queue. A
// refused request was never sent.
type Refusal uint8

// Reasons for a refusal.
const (
	Accepted     Refusal = iota
	RefusedFull          // the queue or the tenant's share of it is full
	RefusedLate          // the predicted wait leaves too little time to run it
	RefusedNone          // there is no backend server to wait for
	RefusedTimed         // the deadline came while it was queued
)

// Options are the bounds of a queue. The zero value of a field selects its
// default.
type Options struct {
	MaxQueued int // requests; default 10,000
	// Headroom multiplies the predicted wait before it is compared with the
	// time left, because the prediction lags a rise in demand.
	Headroom float64 // default 1.0
}

const defaultMaxQueued = 10_000

func (o Options) withDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.Headroom <= 0 {
		o.Headroom = 1
	}
	return o
}

// Queue holds the queued requests of one service at one entry. It belongs to
// one actor.
type Queue struct {
	opts    Options
	bands   [2]band // short, long
	index   map[Key]*node
	free    []*node
	classes *Classes
	rate    rate
}

const (
	shortBand = iota
	longBand
)

// NewQueue returns an empty queue that takes its estimates from classes.
func NewQueue(opts Options, classes *Classes) *Queue {
	return &Queue{opts: opts.withDefaults(), index: map[Key]*node{}, classes: classes}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.index) }

// Short returns the number of queued requests of short classes.
func (q *Queue) Short() int { return q.bands[shortBand].size }

// Tightest returns the earliest deadline of the queued requests.
func (q *Queue) Tightest() (time.Time, bool) {
	var first time.Time
	for i := range q.bands {
		if at, ok := q.bands[i].tightest(); ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Admit queues a request, or refuses it when it could not be run before its
// deadline. idle says that a slot is free for it now.
func (q *Queue) Admit(now time.Time, r Request, idle bool) Refusal {
	long := q.classes.Long(r.Class)
	if !idle {
		if why := q.refuse(now, r, long); why != Accepted {
			return why
		}
	}
	n := q.node()
	n.req, n.cost, n.band = r, q.classes.Mean(r.Class), shortBand
	if long {
		n.band = longBand
	}
	q.index[r.Key] = n
	q.bands[n.band].push(n)
	return Accepted
}

func (q *Queue) refuse(now time.Time, r Request, long bool) Refusal {
	if len(q.index) >= q.opts.MaxQueued {
		return RefusedFull
	}
	b := &q.bands[shortBand]
	if long {
		b = &q.bands[longBand]
	}
	left := r.Deadline.Sub(now) - q.classes.Typical(r.Class)
	if left <= 0 {
		return RefusedLate
	}
	wait := time.Duration(float64(q.rate.predict(b.ahead(r.Tenant))) * q.opts.Headroom)
	if wait > left {
		return RefusedLate
	}
	return Accepted
}

// Requeue puts a request back that was offered but certainly not run. It is
// not refused for the predicted wait, because it has waited already.
func (q *Queue) Requeue(r Request) { q.Admit(r.Arrived, r, true) }

// Withdraw removes a queued request. It returns false when the request is not
// queued, for instance because it was dispatched.
func (q *Queue) Withdraw(k Key) bool {
	n, ok := q.index[k]
	if !ok {
		return false
	}
	q.bands[n.band].remove(n)
	q.release(n)
	return true
}

// Next removes and returns the request that gets a slot now. mayLong says
// that the slot may be used for a long class. Requests whose deadline leaves
// no time to run are passed to drop and skipped.
func (q *Queue) Next(now time.Time, mayLong bool, drop func(Request, Refusal)) (Request, bool) {
	for {
		n := q.pick(mayLong)
		if n == nil {
			return Request{}, false
		}
		r := n.req
		hopeless := now.Add(q.classes.Floor(r.Class)).After(r.Deadline)
		q.bands[n.band].take(n)
		q.release(n)
		if hopeless {
			drop(r, RefusedTimed)
			continue
		}
		q.rate.dispatched(now, len(q.index) > 0)
		return r, true
	}
}

// shortWeight is how much slot time the short band gets for each unit of the
// long band while both wait for the same slot. Long work holds its slots far
// longer, so even a small share keeps it progressing.
const shortWeight = 4

// pick chooses the band by the slot time that it has used, then the tenant
// by fair share, then the earliest deadline.
func (q *Queue) pick(mayLong bool) *node {
	short, long := &q.bands[shortBand], &q.bands[longBand]
	switch {
	case short.size == 0 && (long.size == 0 || !mayLong):
		return nil
	case short.size == 0:
		return long.pick()
	case long.size == 0 || !mayLong:
		return short.pick()
	case long.used*shortWeight < short.used:
		return long.pick()
	}
	return short.pick()
}

func (q *Queue) node() *node {
	if n := len(q.free); n > 0 {
		last := q.free[n-1]
		q.free = q.free[:n-1]
		return last
	}
	return &node{}
}

func (q *Queue) release(n *node) {
	delete(q.index, n.req.Key)
	*n = node{}
	q.free = append(q.free, n)
}
