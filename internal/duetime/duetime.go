// Package duetime orders items by the time at which they are due, so that expired
// timeouts are found without a visit of every item. It has no clock: times are
// durations on the caller's monotonic clock.
package duetime

import (
	"container/heap"
	"time"
)

// Queue holds each item at most once. The zero value is an empty queue. It is not
// safe for concurrent use.
type Queue[T comparable] struct {
	entries entries[T]
	byItem  map[T]*entry[T]
	sets    uint64 // number of calls of Set
}

// entry is an item in the heap.
type entry[T comparable] struct {
	item  T
	at    time.Duration
	order uint64 // orders items that are due at the same time
	index int    // in the heap
}

// Set makes the item due at a time, which replaces an earlier one. Items that are
// due at the same time are returned in the order of their calls of Set.
func (q *Queue[T]) Set(item T, at time.Duration) {
	q.sets++
	if e, ok := q.byItem[item]; ok {
		e.at, e.order = at, q.sets
		heap.Fix(&q.entries, e.index)
		return
	}
	if q.byItem == nil {
		q.byItem = map[T]*entry[T]{}
	}
	e := &entry[T]{item: item, at: at, order: q.sets}
	q.byItem[item] = e
	heap.Push(&q.entries, e)
}

// Remove removes the item. It has no effect if the queue does not hold it.
func (q *Queue[T]) Remove(item T) {
	e, ok := q.byItem[item]
	if !ok {
		return
	}
	heap.Remove(&q.entries, e.index)
	delete(q.byItem, item)
}

// Next removes and returns the item that was due first, or false if none is due
// at now.
func (q *Queue[T]) Next(now time.Duration) (T, bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		var none T
		return none, false
	}
	item := q.entries[0].item
	q.Remove(item)
	return item, true
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// entries implements heap.Interface.
type entries[T comparable] []*entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].order < e[k].order
}

func (e entries[T]) Swap(i, k int) {
	e[i], e[k] = e[k], e[i]
	e[i].index, e[k].index = i, k
}

func (e *entries[T]) Push(x any) {
	added := x.(*entry[T])
	added.index = len(*e)
	*e = append(*e, added)
}

func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	removed := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return removed
}
