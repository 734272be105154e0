package actor

import (
	"context"
	"time"
)

// Batches serves a mailbox: it applies the messages that wait, up to Limit,
// and then flushes what they led to once. Tick is called at each Interval.
type BatchLoop[M any] struct {
	Limit    int
	Interval time.Duration
	Apply    func(M)
	Tick     func()
	Flush    func()
}

// Run serves the mailbox until ctx ends.
func (b BatchLoop[M]) Run(ctx context.Context, in <-chan M) error {
	tick := time.NewTicker(b.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			b.Apply(m)
			for n := 1; n < b.Limit && len(in) > 0; n++ {
				b.Apply(<-in)
			}
		case <-tick.C:
			b.Tick()
		}
		b.Flush()
	}
}
