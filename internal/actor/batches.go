package actor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// A loop ends when a function of it has panicked more than maxFailures times within
// failureWindow: what it serves is not usable any more.
const (
	maxFailures   = 10
	failureWindow = 10 * time.Second
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
	// Failed is called with the error of a function that has panicked, which may have
	// left the state half changed. The loop goes on. Without Failed a panic ends it.
	Failed func(error)
}

// Run serves the mailbox until ctx is done. It returns an error if the functions fail
// too often.
func (b BatchLoop[M]) Run(ctx context.Context, in <-chan M) error {
	tick := time.NewTicker(b.Interval)
	defer tick.Stop()
	ready := make(chan struct{})
	close(ready)
	var failures failureCount
	for {
		var pending <-chan struct{}
		if b.Pending != nil && b.Pending() {
			pending = ready
		}
		step := func() {}
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			step = func() { b.applyQueued(m, in) }
		case <-tick.C:
			step = b.Tick
		case <-pending:
		}
		if err := b.try(step); failures.exceeded(err) {
			return err
		}
		if err := b.try(b.Flush); failures.exceeded(err) {
			return err
		}
	}
}

func (b BatchLoop[M]) applyQueued(first M, in <-chan M) {
	b.Apply(first)
	for n := 1; n < b.Limit && len(in) > 0; n++ {
		b.Apply(<-in)
	}
}

// try calls f, and Failed if f panics.
func (b BatchLoop[M]) try(f func()) error {
	if b.Failed == nil {
		f()
		return nil
	}
	err := Try(f)
	if err != nil {
		b.Failed(err)
	}
	return err
}

// failureCount counts the failures of a loop.
type failureCount struct {
	since time.Time // start of the window
	count int
}

// exceeded counts an error, and reports whether there were too many.
func (f *failureCount) exceeded(err error) bool {
	if err == nil {
		return false
	}
	if time.Since(f.since) > failureWindow {
		f.since, f.count = time.Now(), 0
	}
	f.count++
	return f.count > maxFailures
}

// Try calls f and returns the panic of f as an error, with its stack.
func Try(f func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("%v\n%s", r, stack())
		}
	}()
	f()
	return nil
}
