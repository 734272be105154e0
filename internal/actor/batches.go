package actor

import (
	"context"
	"time"
)

// BatchLoop serves a mailbox in batches: it applies the queued messages, at
// most Limit, and then calls Flush once to send their results. Tick is called
// at each Interval and is followed by Flush. While Pending reports that Flush has
// left work, Flush is called again without waiting for a message, in turn with
// the batches of queued messages and the ticks.
type BatchLoop[M any] struct {
	Limit    int
	Interval time.Duration
	Apply    func(M)
	Tick     func()
	Flush    func()
	Pending  func() bool // may be nil
}

// Run serves the mailbox until ctx is done.
func (b BatchLoop[M]) Run(ctx context.Context, in <-chan M) error {
	tick := time.NewTicker(b.Interval)
	defer tick.Stop()
	ready := make(chan struct{})
	close(ready)
	for {
		var pending <-chan struct{}
		if b.Pending != nil && b.Pending() {
			pending = ready
		}
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
		case <-pending:
		}
		b.Flush()
	}
}
