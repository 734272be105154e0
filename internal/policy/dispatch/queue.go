// Package dispatch decides which queued request gets the next slot, which
// requests are refused, and which backend server a request goes to. It is
// pure: time comes in as an argument and nothing waits or sends.
package dispatch

import (
	"math"
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

// Count is a number of requests by whether their class was long when they
// were dispatched.
type Count struct{ Short, Long int }

// Add changes the count of one kind.
func (c *Count) Add(long bool, n int) {
	if long {
		c.Long += n
	} else {
		c.Short += n
	}
}

// Load is what an entry has in progress at the backend servers of a service:
// the requests that it sent, and those of them that hold a slot. Slots is what
// the ready backend servers have, for all entries.
type Load struct {
	Sent, Started Count
	Instances     int // backend servers of the service
	Slots         int
}

// Refusal says why a request is not queued or was dropped from the queue. A
// refused request was never sent.
type Refusal uint8

// Reasons for a refusal.
const (
	Accepted         Refusal = iota
	RefusedFull              // the queue or the tenant's share of it is full
	RefusedLate              // it could not start in time, or would make others late
	RefusedNoBackend         // there is no backend server to wait for
	RefusedExpired           // the deadline came while it was queued
)

// Options are the bounds of a queue. The zero value of a field selects its
// default.
type Options struct {
	MaxQueued int // requests; default 10,000
}

const (
	defaultMaxQueued = 10_000
	// Part of the requests in progress that admission counts on as slots. Some
	// wait at an agent as look-ahead, and the estimates of cost lag. At twice
	// the capacity 0.9 refused 1,611 of 38,488 requests later than 50 ms after
	// their arrival, 0.7 refused 123 and 0.5 refused 4, with goodput between 0.993 and 1.005.
	speedShare  = 0.5
	speedMemory = 20 * time.Millisecond // of the smoothed speed
)

func (o Options) withDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
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
	classes *ClassEstimates
	speed   [2]float64 // slots that serve each band, smoothed
	learned time.Time  // when speed was updated
	origin  time.Time  // of the profiles' buckets
}

const (
	shortBand = iota
	longBand
)

// NewQueue returns an empty queue that takes its estimates from classes.
func NewQueue(opts Options, classes *ClassEstimates) *Queue {
	return &Queue{opts: opts.withDefaults(), index: map[Key]*node{}, classes: classes}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.index) }

// ShortLen returns the number of queued requests of short classes.
func (q *Queue) ShortLen() int { return q.bands[shortBand].size }

// EarliestDeadline returns the earliest deadline of the queued requests.
func (q *Queue) EarliestDeadline() (time.Time, bool) {
	var first time.Time
	for i := range q.bands {
		if at, ok := q.bands[i].tightest(); ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Admit queues a request, or refuses it when it could not be started early
// enough to end before its deadline, or would make another one late. load is
// what the entry has in progress; idle says that a slot is free for this one now.
func (q *Queue) Admit(now time.Time, r Request, load Load, idle bool) Refusal {
	n := q.node()
	q.describe(n, r)
	if !idle {
		q.learnSpeed(now, load)
		if why := q.refuse(now, n); why != Accepted {
			q.free = append(q.free, n)
			return why
		}
	}
	q.push(now, n)
	return Accepted
}

func (q *Queue) describe(n *node, r Request) {
	n.req, n.cost, n.band = r, q.classes.Mean(r.Class), shortBand
	n.latest = r.Deadline.Add(-q.classes.Typical(r.Class))
	if q.classes.IsLong(r.Class) {
		n.band = longBand
	}
}

func (q *Queue) push(now time.Time, n *node) {
	if q.origin.IsZero() {
		q.origin = now
	}
	q.index[n.req.Key] = n
	q.bands[n.band].push(n, bucketAt(q.origin, now), bucketAt(q.origin, n.latest))
}

// learnSpeed follows the slots that serve each band. The requests sent are
// the first guess, because the agents' word that they started takes a round
// trip; they are too many for good, because some wait at agents.
func (q *Queue) learnSpeed(now time.Time, load Load) {
	weight := 1 - math.Exp(-now.Sub(q.learned).Seconds()/speedMemory.Seconds())
	q.learned = now
	q.learnBand(shortBand, weight, load.Slots, load.Sent.Short, load.Started.Short)
	q.learnBand(longBand, weight, load.Slots/2, load.Sent.Long, load.Started.Long)
	// An entry that has just started, or was idle, has little in progress, but
	// each backend server lends it a slot as soon as it has a queue.
	for i := range q.speed {
		q.speed[i] = max(q.speed[i], float64(load.Instances))
	}
}

func (q *Queue) learnBand(band int, weight float64, slots, sent, started int) {
	if sent == 0 || q.bands[band].size == 0 {
		// The requests in progress tell how many slots there are only while
		// others wait. Taken for the slots, they refused bursts although most
		// slots were free: agents lend them once they hear of the demand.
		q.speed[band] = float64(max(slots, sent, 1))
		return
	}
	if q.speed[band] < 1 {
		q.speed[band] = float64(sent)
		return
	}
	q.speed[band] += (float64(started) - q.speed[band]) * weight
}

func (q *Queue) refuse(now time.Time, n *node) Refusal {
	if len(q.index) >= q.opts.MaxQueued {
		return RefusedFull
	}
	if !now.Before(n.latest) {
		return RefusedLate
	}
	b := &q.bands[n.band]
	t := b.tenants[n.req.Tenant]
	if t == nil || t.pos < 0 {
		return Accepted // its first request is served after at most one of each other tenant
	}
	at := bucketAt(q.origin, now)
	t.work.advance(at)
	offset := now.Sub(q.origin) - time.Duration(at)*bucketWidth
	speed := q.speed[n.band] * speedShare / float64(len(b.active))
	if !t.work.feasible(bucketAt(q.origin, n.latest), offset, n.cost, speed) {
		return RefusedLate
	}
	return Accepted
}

// Requeue puts a request back that was offered but certainly not run. It is
// not refused for the expected wait, because it has waited already.
func (q *Queue) Requeue(now time.Time, r Request) { q.Admit(now, r, Load{}, true) }

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
		if now.After(n.latest) { // it gets no slot time, so its tenant is not charged
			q.bands[n.band].remove(n)
			q.release(n)
			drop(r, RefusedExpired)
			continue
		}
		q.bands[n.band].take(n)
		q.release(n)
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
