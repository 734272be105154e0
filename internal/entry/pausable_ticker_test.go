package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a ticker that wakes an idle dispatcher, that does not tick
// after a restart, or that never ticks because each message restarts it.
func TestPausableTickerTicksOnlyWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticker := newPausableTicker(20 * time.Millisecond)
		defer ticker.Stop()
		countTicks := func(d time.Duration) (n int) {
			for end := time.After(d); ; {
				select {
				case <-ticker.C:
					n++
				case <-end:
					return n
				}
			}
		}
		require.Zero(t, countTicks(time.Second))
		ticker.setRunning(true)
		for range 10 {
			require.Zero(t, countTicks(1900*time.Microsecond))
			ticker.setRunning(true)
		}
		require.Equal(t, 1, countTicks(2*time.Millisecond))
		require.Equal(t, 5, countTicks(100*time.Millisecond))
		ticker.setRunning(false)
		require.Zero(t, countTicks(time.Second))
		ticker.setRunning(true)
		require.Equal(t, 5, countTicks(101*time.Millisecond))
	})
}
