package actor

import (
	"context"
	"time"
)

// Loop runs an actor around a core that decides without input or output: it
// applies messages, the answers of helper actors and expired timers to the
// core as events. Times are durations since the actor started.
type Loop[M, E any] struct {
	Now func() time.Duration
	// NextTick returns the time at which Tick is applied next.
	NextTick func() time.Duration
	// Translate returns the event for a message; ok is false if the message
	// leads to none.
	Translate func(M) (e E, ok bool)
	Apply     func(E)
	Tick      E // applied when the timer has expired
	// Paused is applied before the next event when the loop wakes up more than
	// PauseGap after the time of its tick, as after a suspension of the process.
	Paused   E
	PauseGap time.Duration
}

// Run serves the mailbox and the answers until ctx is done.
func (l Loop[M, E]) Run(ctx context.Context, in <-chan M, answers <-chan E) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextTick := time.Duration(0)
	for {
		e, ok := l.Tick, true
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			e, ok = l.Translate(m)
		case e = <-answers:
		case <-timer.C:
		}
		if l.Now()-nextTick > l.PauseGap {
			l.Apply(l.Paused)
		}
		if ok {
			l.Apply(e)
		}
		nextTick = max(l.NextTick(), l.Now())
		timer.Reset(nextTick - l.Now())
	}
}
