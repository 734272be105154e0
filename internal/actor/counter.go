package actor

import "sync/atomic"

// Counter generates consecutive numbers from 1. Any goroutine may use it.
type Counter struct{ last atomic.Uint64 }

// Next returns the next number.
func (c *Counter) Next() uint64 { return c.last.Add(1) }

// Gauge is a number that goes up and down. Any goroutine may use it.
type Gauge struct{ n atomic.Int64 }

// Add adds d, which may be negative, and returns the sum.
func (g *Gauge) Add(d int64) int64 { return g.n.Add(d) }

// Get returns the current number.
func (g *Gauge) Get() int64 { return g.n.Load() }

// Flag is a boolean that any goroutine may read and set.
type Flag struct{ b atomic.Bool }

// Set sets the flag.
func (f *Flag) Set(v bool) { f.b.Store(v) }

// Get returns the flag.
func (f *Flag) Get() bool { return f.b.Load() }
