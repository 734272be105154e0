package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against measurements that include an earlier window, and against
// unused classes that are kept for ever: the paths that callers choose decide
// which classes exist.
func TestUsageWindows(t *testing.T) {
	var u usage
	for i := range 100 {
		u.requestArrived("read")
		u.requestEnded("read", time.Duration(i+1)*10*time.Millisecond)
	}
	for range 10 {
		require.Zero(t, u.classes["read"].lastWindow.P99, "the window has not ended")
		u.endSecond(8)
	}
	last := u.classes["read"].lastWindow
	require.Equal(t, time.Second, last.P99)
	require.Equal(t, 100, last.Requests)
	require.InDelta(t, 50.5/80, last.Busy, 1e-9, "50.5 s of slot time in 10 s on 8 slots")
	require.Less(t, u.classes["read"].arrivals, 0.2, "the arrivals of the first second have little weight")
	for range 10 * maxIdleWindows {
		u.endSecond(8)
	}
	require.Empty(t, u.classes)
}
