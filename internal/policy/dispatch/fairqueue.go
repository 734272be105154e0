package dispatch

import (
	"container/heap"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// fairQueue holds the queued requests of the short or of the long classes, by
// tenant. Tenants get equal shares of slot time: the tenant that has used least
// goes first. A tenant that was idle starts at the virtual time, so that it
// cannot catch up on the slot time that it did not use while it was idle.
type fairQueue struct {
	tenants     map[model.Tenant]*tenantQueue
	active      []*tenantQueue // with queued requests
	size        int
	used        time.Duration // expected slot time of the dequeued requests
	virtualTime time.Duration // used slot time of the tenant served last
}

type tenantQueue struct {
	name        model.Tenant
	requests    startHeap
	work        profile       // of the tenant's queued requests
	used        time.Duration // slot time charged to the tenant
	activeIndex int           // in fairQueue.active; -1: no request is queued
}

// queuedRequest is a request in the queue. Requests of a Queue are reused.
type queuedRequest struct {
	req         Request
	cost        time.Duration // expected slot time
	latestStart time.Time     // latest start that most likely still meets the deadline
	bucket      int64         // bucket in the tenant's profile
	queueIndex  int           // in Queue.queues
	tenant      *tenantQueue
	heapIndex   int
}

// maxTenants is the number of tenants at which a fairQueue removes idle ones.
// It bounds the state, because the names come from callers.
const maxTenants = 1024

// push queues item, which has to start in bucket latest at the latest. now is
// the current bucket.
func (f *fairQueue) push(item *queuedRequest, now, latest int64) {
	t := f.findOrCreate(item.req.Tenant)
	if t.activeIndex < 0 {
		t.activeIndex = len(f.active)
		t.used = max(t.used, f.virtualTime)
		f.active = append(f.active, t)
	}
	item.tenant = t
	heap.Push(&t.requests, item)
	t.work.advance(now)
	item.bucket = t.work.add(latest, item.cost)
	f.size++
}

func (f *fairQueue) findOrCreate(name model.Tenant) *tenantQueue {
	if t, ok := f.tenants[name]; ok {
		return t
	}
	if f.tenants == nil {
		f.tenants = map[model.Tenant]*tenantQueue{}
	}
	if len(f.tenants) >= maxTenants {
		f.removeIdleTenants()
	}
	t := &tenantQueue{name: name, used: f.virtualTime, activeIndex: -1}
	f.tenants[name] = t
	return t
}

func (f *fairQueue) removeIdleTenants() {
	for name, t := range f.tenants {
		if t.activeIndex < 0 {
			delete(f.tenants, name)
		}
	}
}

func (f *fairQueue) remove(item *queuedRequest) {
	t := item.tenant
	heap.Remove(&t.requests, item.heapIndex)
	t.work.remove(item.bucket, item.cost)
	f.size--
	if len(t.requests) > 0 {
		return
	}
	last := len(f.active) - 1
	f.active[t.activeIndex] = f.active[last]
	f.active[t.activeIndex].activeIndex = t.activeIndex
	f.active = f.active[:last]
	t.activeIndex = -1
}

// peek returns the request to serve next without removing it. The queue must
// not be empty.
func (f *fairQueue) peek() *queuedRequest {
	var best *tenantQueue
	for _, t := range f.active {
		if best == nil || t.used < best.used || (t.used == best.used && t.name < best.name) {
			best = t
		}
	}
	return best.requests[0]
}

// dequeue removes item and charges its expected slot time to its tenant.
func (f *fairQueue) dequeue(item *queuedRequest) {
	f.virtualTime = item.tenant.used
	item.tenant.used += item.cost
	f.used += item.cost
	f.remove(item)
}

// earliestDeadline returns the earliest deadline among the requests that each
// tenant has to start first; false if the queue is empty.
func (f *fairQueue) earliestDeadline() (time.Time, bool) {
	var first time.Time
	for _, t := range f.active {
		if at := t.requests[0].req.Deadline; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// startHeap is a heap of requests by the latest start, then by key. It
// implements heap.Interface.
type startHeap []*queuedRequest

func (q startHeap) Len() int { return len(q) }
func (q startHeap) Less(i, j int) bool {
	if !q[i].latestStart.Equal(q[j].latestStart) {
		return q[i].latestStart.Before(q[j].latestStart)
	}
	return q[i].req.Key < q[j].req.Key
}
func (q startHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}
func (q *startHeap) Push(x any) {
	item := x.(*queuedRequest)
	item.heapIndex = len(*q)
	*q = append(*q, item)
}
func (q *startHeap) Pop() any {
	old := *q
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return item
}
