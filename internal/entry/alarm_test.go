package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an alarm that wakes an idle dispatcher, that stays silent
// after it was started again, or that never fires because each message
// restarts it.
func TestAlarmFiresOnlyWhileItIsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAlarm(20 * time.Millisecond)
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
		a.run(true)
		for range 10 {
			require.Zero(t, fired(1900*time.Microsecond))
			a.run(true)
		}
		require.Equal(t, 1, fired(2*time.Millisecond))
		require.Equal(t, 5, fired(100*time.Millisecond))
		a.run(false)
		require.Zero(t, fired(time.Second))
		a.run(true)
		require.Equal(t, 5, fired(101*time.Millisecond))
	})
}
