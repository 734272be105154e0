package actor

import (
	"container/heap"
	"time"
)

// Timers is a set of deadlines by key that share one runtime timer. It
// belongs to one actor and is not safe for concurrent use.
type Timers[K comparable] struct {
	heap    deadlineHeap[K]
	byKey   map[K]*deadline[K]
	timer   *time.Timer
	firesAt time.Time // time at which the runtime timer fires; zero if it is not set
}

type deadline[K comparable] struct {
	key       K
	at        time.Time
	heapIndex int
}

// NewTimers returns an empty set.
func NewTimers[K comparable]() *Timers[K] {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Timers[K]{byKey: map[K]*deadline[K]{}, timer: t}
}

// Set adds or changes the deadline of key.
func (t *Timers[K]) Set(key K, at time.Time) {
	if d, ok := t.byKey[key]; ok {
		d.at = at
		heap.Fix(&t.heap, d.heapIndex)
	} else {
		d = &deadline[K]{key: key, at: at}
		t.byKey[key] = d
		heap.Push(&t.heap, d)
	}
	t.arm()
}

// Clear removes the deadline of key, if any.
func (t *Timers[K]) Clear(key K) {
	if d, ok := t.byKey[key]; ok {
		delete(t.byKey, key)
		heap.Remove(&t.heap, d.heapIndex)
	}
}

// Len returns the number of deadlines.
func (t *Timers[K]) Len() int { return len(t.heap) }

// C returns the channel that receives a value when a deadline may have passed;
// call Pop until it returns false.
func (t *Timers[K]) C() <-chan time.Time { return t.timer.C }

// Pop removes and returns the key with the earliest deadline, if that is not
// after now.
func (t *Timers[K]) Pop(now time.Time) (K, bool) {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		t.firesAt = time.Time{}
		t.arm()
		var zero K
		return zero, false
	}
	d := heap.Pop(&t.heap).(*deadline[K])
	delete(t.byKey, d.key)
	return d.key, true
}

// Stop releases the runtime timer.
func (t *Timers[K]) Stop() { t.timer.Stop() }

func (t *Timers[K]) arm() {
	if len(t.heap) == 0 {
		return
	}
	next := t.heap[0].at
	if !t.firesAt.IsZero() && !next.Before(t.firesAt) {
		return // fires early enough; Pop arms it again
	}
	t.firesAt = next
	t.timer.Reset(time.Until(next))
}

type deadlineHeap[K comparable] []*deadline[K]

func (h deadlineHeap[K]) Len() int           { return len(h) }
func (h deadlineHeap[K]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap[K]) Push(x any) {
	d := x.(*deadline[K])
	d.heapIndex = len(*h)
	*h = append(*h, d)
}
func (h *deadlineHeap[K]) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return d
}
