package actor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a message that is not flushed before the next tick, and
// against a batch without a bound, which would delay the flush.
func TestBatchesAreBoundedAndFlushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		in := make(chan int, 10)
		for i := range 5 {
			in <- i
		}
		sizes, ticks := make(chan int, 10), make(chan bool, 10)
		applied := 0
		done := make(chan error)
		b := BatchLoop[int]{
			Limit: 3, Interval: time.Second,
			Apply: func(int) { applied++ },
			Tick:  func() { ticks <- true },
			Flush: func() {
				sizes <- applied
				applied = 0
			},
		}
		go func() { done <- b.Run(ctx, in) }()
		synctest.Wait()
		require.Len(t, sizes, 2)
		require.Equal(t, 3, <-sizes)
		require.Equal(t, 2, <-sizes)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		require.Len(t, ticks, 1)
		cancel()
		require.NoError(t, <-done)
	})
}

// Guards against work that a flush leaves until the next tick, against messages
// that wait for the end of that work, and against a loop that spins when none is
// left.
func TestPendingWorkIsContinuedBetweenMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		in := make(chan int, 1)
		work, flushes, workAtMessage, workAtTick := 1000, 0, 0, -1
		done := make(chan error)
		b := BatchLoop[int]{
			Limit: 1, Interval: time.Second,
			Apply: func(int) { workAtMessage = work },
			Tick:  func() { workAtTick = work },
			Flush: func() {
				flushes++
				work = max(0, work-1)
				if work == 900 {
					in <- 1
				}
			},
			Pending: func() bool { return work > 0 },
		}
		go func() { done <- b.Run(ctx, in) }()
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		cancel()
		require.NoError(t, <-done)
		require.Greater(t, workAtMessage, 0, "the message was applied before the end of the work")
		require.Zero(t, workAtTick, "no tick was needed")
		require.Equal(t, 1001, flushes, "only the tick flushes when no work is left")
	})
}
