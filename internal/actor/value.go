package actor

import "sync/atomic"

// Value publishes the current version of an immutable value, such as a table
// that one actor maintains, to any number of goroutines.
type Value[T any] struct{ p atomic.Pointer[T] }

// Set publishes v, which must not be changed afterwards.
func (v *Value[T]) Set(p *T) { v.p.Store(p) }

// Get returns the current value, nil before the first Set.
func (v *Value[T]) Get() *T { return v.p.Load() }
