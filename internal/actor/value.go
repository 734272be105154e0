package actor

import "sync/atomic"

// Value publishes the newest version of an immutable value to any number of
// readers, such as a table that one actor maintains.
type Value[T any] struct{ p atomic.Pointer[T] }

// Set publishes v, which must not be changed afterwards.
func (v *Value[T]) Set(p *T) { v.p.Store(p) }

// Get returns the newest value, nil before the first Set.
func (v *Value[T]) Get() *T { return v.p.Load() }
