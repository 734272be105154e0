package actor

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a loop that ends with the first message that makes a function panic,
// and against one that goes on for ever although nothing works any more.
func TestBatchLoopSurvivesSomeFailures(t *testing.T) {
	for failures, survives := range map[int]bool{1: true, maxFailures: true, maxFailures + 1: false} {
		in := make(chan int, 100)
		for range failures {
			in <- -1
		}
		in <- 1
		ctx, cancel := context.WithCancel(t.Context())
		failed, applied := 0, 0
		b := BatchLoop[int]{
			Limit: 1, Interval: time.Hour, Tick: func() {}, Flush: func() {},
			Apply: func(m int) {
				if m < 0 {
					panic("malformed message")
				}
				applied++
				cancel()
			},
			Failed: func(err error) {
				require.ErrorContains(t, err, "malformed message")
				failed++
			},
		}
		err := b.Run(ctx, in)
		cancel()
		require.Equal(t, failures, failed)
		require.Equal(t, survives, err == nil)
		require.Equal(t, survives, applied == 1)
	}
}
