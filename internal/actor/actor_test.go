package actor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a panic that ends the process, and against an actor that is
// not restarted after a panic although its policy is OnFailure.
func TestPanicRestartsTheActor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var exits []Exit
		g := NewGroup(t.Context(), func(e Exit) { exits = append(exits, e) })
		runs := 0
		a := Spawn(g, Spec[int]{Name: "counter", Mailbox: 1, Restart: OnFailure,
			Run: func(ctx context.Context, in <-chan int) error {
				runs++
				if <-in == 0 {
					panic("zero")
				}
				return nil
			}})
		require.NoError(t, a.Send(t.Context(), 0))
		require.NoError(t, a.Send(t.Context(), 1))
		<-a.Done()
		require.Equal(t, 2, runs)
		require.Len(t, exits, 1)
		require.True(t, exits[0].WillRestart)
		require.ErrorContains(t, exits[0].Err, "zero")
		require.ErrorIs(t, a.Send(t.Context(), 1), ErrStopped)
		g.Stop()
	})
}

// Guards against Ask waiting forever when the actor ends without an answer.
func TestAskEndsWithTheActor(t *testing.T) {
	g := NewGroup(t.Context(), nil)
	a := Spawn(g, Spec[Reply[int]]{Name: "mute", Mailbox: 1,
		Run: func(ctx context.Context, in <-chan Reply[int]) error { <-in; return errors.New("gave up") }})
	_, err := Ask(t.Context(), a, func(r Reply[int]) Reply[int] { return r })
	require.ErrorIs(t, err, ErrStopped)
	g.Stop()
}

// Guards against an answer that is lost because the actor ends right after it: the
// asker finds the answer and the end of the actor at the same time.
func TestAnswerOfAnActorThatHasEndedIsReceived(t *testing.T) {
	const rounds = 100 // of two ready cases one is chosen at random
	ended := make(chan struct{})
	close(ended)
	for range rounds {
		r := NewReply[int]()
		r.Put(1)
		v, err := r.await(t.Context(), ended)
		require.NoError(t, err)
		require.Equal(t, 1, v)
	}
}

// Guards against deadlines that fire late or out of order, or fire after they
// were cleared.
func TestTimersFireInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := NewTimers[string]()
		start := time.Now()
		for key, after := range map[string]time.Duration{"c": 3 * time.Second, "a": time.Second, "b": 2 * time.Second, "x": time.Second} {
			timers.Set(key, start.Add(after))
		}
		timers.Set("c", start.Add(1500*time.Millisecond))
		timers.Clear("x")
		var order []string
		var at []time.Duration
		for timers.Len() > 0 {
			<-timers.C()
			for key, ok := timers.Pop(time.Now()); ok; key, ok = timers.Pop(time.Now()) {
				order = append(order, key)
				at = append(at, time.Since(start))
			}
		}
		require.Equal(t, []string{"a", "c", "b"}, order)
		require.Equal(t, []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second}, at)
	})
}

// Guards against an allocation for each message between actors.
func TestMessageHopDoesNotAllocate(t *testing.T) {
	g := NewGroup(t.Context(), nil)
	defer g.Stop()
	back := make(chan int)
	a := Spawn(g, Spec[int]{Name: "echo", Mailbox: 1, Run: func(ctx context.Context, in <-chan int) error {
		for {
			select {
			case v := <-in:
				back <- v
			case <-ctx.Done():
				return nil
			}
		}
	}})
	ctx := t.Context()
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		if a.Send(ctx, 1) == nil {
			<-back
		}
	}))
}

func BenchmarkMessageHop(b *testing.B) {
	g := NewGroup(b.Context(), nil)
	defer g.Stop()
	a := Spawn(g, Spec[int]{Name: "sink", Mailbox: 64, Run: func(ctx context.Context, in <-chan int) error {
		for {
			select {
			case <-in:
			case <-ctx.Done():
				return nil
			}
		}
	}})
	ctx := b.Context()
	b.ReportAllocs()
	for b.Loop() {
		_ = a.Send(ctx, 1)
	}
}
