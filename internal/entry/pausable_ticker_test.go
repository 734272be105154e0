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
		a := newPausableTicker(20 * time.Millisecond)
		defer a.Stop()
		fired := func(d time.Duration) (n int) {
			for end := time.After(d); ; {
				select {
				case <-a.C:
					n++
				case <-end:
					return n
				}
			}
		}
		require.Zero(t, fired(time.Second))
		a.setRunning(true)
		for range 10 {
			require.Zero(t, fired(1900*time.Microsecond))
			a.setRunning(true)
		}
		require.Equal(t, 1, fired(2*time.Millisecond))
		require.Equal(t, 5, fired(100*time.Millisecond))
		a.setRunning(false)
		require.Zero(t, fired(time.Second))
		a.setRunning(true)
		require.Equal(t, 5, fired(101*time.Millisecond))
	})
}
