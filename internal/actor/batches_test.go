package actor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a message that waits for the next tick, and against a batch
// without a bound that keeps what it led to from being sent.
func TestBatchesAreBoundedAndFlushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		in := make(chan int, 10)
		for i := range 5 {
			in <- i
		}
		var applied, flushed, ticks int
		var sizes []int
		done := make(chan error)
		b := Batches[int]{Limit: 3, Interval: time.Second, Apply: func(int) { applied++ }, Tick: func() { ticks++ }, Flush: func() {
			sizes = append(sizes, applied-flushed)
			flushed = applied
		}}
		go func() { done <- b.Run(ctx, in) }()
		synctest.Wait()
		require.Equal(t, []int{3, 2}, sizes)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 1, ticks)
		cancel()
		require.NoError(t, <-done)
	})
}
