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

// Maximum is the highest of the numbers that goroutines have passed to it. Any
// goroutine may use it.
type Maximum struct{ n atomic.Uint64 }

// Raise sets the number to n if that is higher.
func (m *Maximum) Raise(n uint64) {
	for {
		current := m.n.Load()
		if n <= current || m.n.CompareAndSwap(current, n) {
			return
		}
	}
}

// Get returns the present number, 0 before the first Raise.
func (m *Maximum) Get() uint64 { return m.n.Load() }
