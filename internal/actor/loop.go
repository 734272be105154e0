package actor

import (
	"context"
	"time"
)

// Loop runs an actor around a core that decides without input or output: it
// feeds messages, the answers of helper actors and due timers to the core as
// events. Times are durations since the actor began.
type Loop[M, E any] struct {
	Now func() time.Duration
	// Next is when the core wants its next tick.
	NextTick func() time.Duration
	// Translate returns the event of a message; ok is false when it has none.
	Translate func(M) (e E, ok bool)
	Apply     func(E)
	Tick      E // applied when a timer is due
	Paused    E // applied first when the loop was late by more than PauseGap
	PauseGap  time.Duration
}

// Run serves the mailbox and the answers until ctx ends.
func (l Loop[M, E]) Run(ctx context.Context, in <-chan M, answers <-chan E) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Duration(0)
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
		if l.Now()-due > l.PauseGap {
			l.Apply(l.Paused)
		}
		if ok {
			l.Apply(e)
		}
		due = max(l.NextTick(), l.Now())
		timer.Reset(due - l.Now())
	}
}
