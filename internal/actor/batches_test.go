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
