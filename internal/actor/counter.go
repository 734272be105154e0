package actor

import "sync/atomic"

// Counter generates consecutive numbers from 1. Any goroutine may use it.
type Counter struct{ last atomic.Uint64 }

// Next returns the next number.
func (c *Counter) Next() uint64 { return c.last.Add(1) }
