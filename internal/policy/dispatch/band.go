package dispatch

import (
	"container/heap"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// band holds the queued requests of the short or of the long classes, by
// tenant. Tenants share the slot time of a band equally: the tenant that has
// used least goes first. A tenant that was idle starts at the level of the
// others, so it cannot claim the past.
type band struct {
	tenants map[model.Tenant]*tenant
	active  []*tenant // with queued requests
	size    int
	used    time.Duration // slot time given to the band
	level   time.Duration // use of the tenant served last
}

type tenant struct {
	name  model.Tenant
	queue startQueue
	work  profile
	used  time.Duration
	pos   int // index in active, -1 when idle
}

type node struct {
	req    Request
	cost   time.Duration // expected slot time
	latest time.Time     // start that most likely still meets the deadline
	due    int64         // bucket in the tenant's profile
	band   int
	tenant *tenant
	pos    int
}

// maxTenants bounds the remembered tenants of a band: names come from callers.
const maxTenants = 1024

// push queues n, which has to start in bucket latest; the present is now.
func (b *band) push(n *node, now, latest int64) {
	t := b.tenant(n.req.Tenant)
	if t.pos < 0 {
		t.pos = len(b.active)
		t.used = max(t.used, b.level)
		b.active = append(b.active, t)
	}
	n.tenant = t
	heap.Push(&t.queue, n)
	t.work.advance(now)
	n.due = t.work.add(latest, n.cost)
	b.size++
}

func (b *band) tenant(name model.Tenant) *tenant {
	if t, ok := b.tenants[name]; ok {
		return t
	}
	if b.tenants == nil {
		b.tenants = map[model.Tenant]*tenant{}
	}
	if len(b.tenants) >= maxTenants {
		b.forgetIdle()
	}
	t := &tenant{name: name, used: b.level, pos: -1}
	b.tenants[name] = t
	return t
}

func (b *band) forgetIdle() {
	for name, t := range b.tenants {
		if t.pos < 0 {
			delete(b.tenants, name)
		}
	}
}

func (b *band) remove(n *node) {
	t := n.tenant
	heap.Remove(&t.queue, n.pos)
	t.work.remove(n.due, n.cost)
	b.size--
	if len(t.queue) > 0 {
		return
	}
	last := len(b.active) - 1
	b.active[t.pos] = b.active[last]
	b.active[t.pos].pos = t.pos
	b.active = b.active[:last]
	t.pos = -1
}

// pick returns the request to serve next, without removing it.
func (b *band) pick() *node {
	var best *tenant
	for _, t := range b.active {
		if best == nil || t.used < best.used || (t.used == best.used && t.name < best.name) {
			best = t
		}
	}
	return best.queue[0]
}

// take removes n and charges its expected slot time.
func (b *band) take(n *node) {
	b.level = n.tenant.used
	n.tenant.used += n.cost
	b.used += n.cost
	b.remove(n)
}

func (b *band) tightest() (time.Time, bool) {
	var first time.Time
	for _, t := range b.active {
		if at := t.queue[0].req.Deadline; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// startQueue is a heap of requests, the one that has to start first on top.
type startQueue []*node

func (q startQueue) Len() int { return len(q) }
func (q startQueue) Less(i, j int) bool {
	if !q[i].latest.Equal(q[j].latest) {
		return q[i].latest.Before(q[j].latest)
	}
	return q[i].req.Key < q[j].req.Key
}
func (q startQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].pos, q[j].pos = i, j
}
func (q *startQueue) Push(x any) {
	n := x.(*node)
	n.pos = len(*q)
	*q = append(*q, n)
}
func (q *startQueue) Pop() any {
	old := *q
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return n
}
