package singlecpu

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against the race detector ending the test process: goroutines of one bubble
// receive at the same time from timers that became due while nobody was blocked on
// them.
func TestDueTimersOfABubbleDoNotEndTheRaceDetector(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(*testing.T) {
			var wg sync.WaitGroup
			for range 64 {
				wg.Go(func() {
					for range 20 {
						timer := time.NewTimer(time.Millisecond)
						time.Sleep(time.Millisecond)
						<-timer.C
					}
				})
			}
			wg.Wait()
		})
	}
}
