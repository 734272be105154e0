package actor

import "sync/atomic"

// Counter hands out increasing numbers to any number of goroutines. The first
// is 1.
type Counter struct{ last atomic.Uint64 }

// Next returns the next number.
func (c *Counter) Next() uint64 { return c.last.Add(1) }
