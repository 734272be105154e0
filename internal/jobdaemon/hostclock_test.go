package jobdaemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an owner that acts on a permission which ran out while its host was
// suspended, and against one that stops because somebody set the wall clock.
func TestHostClockTellsSuspensionsFromStepsOfTheWallClock(t *testing.T) {
	const start = 1000 * time.Hour // of the wall clock
	for name, c := range map[string]struct {
		wall, suspended time.Duration // how far the clocks advance while the monotonic one advances by a second
		known, want     bool
	}{
		"nothing":          {time.Second, 0, true, false},
		"slewed":           {time.Second + 100*time.Millisecond, 0, true, false},
		"suspended":        {11 * time.Second, 10 * time.Second, true, true},
		"step forward":     {11 * time.Second, 0, true, false},
		"step back":        {-9 * time.Second, 0, true, false},
		"step, not known":  {11 * time.Second, 0, false, true},
		"suspended before": {time.Second, 10 * time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			var clock hostClock
			total := 5 * time.Second
			suspended := func() (time.Duration, bool) { return total, c.known }
			require.False(t, clock.observe(start, 0, suspended))
			total += c.suspended
			require.Equal(t, c.want, clock.observe(start+c.wall, time.Second, suspended))
			require.False(t, clock.observe(start+c.wall+time.Second, 2*time.Second, suspended))
		})
	}
}

// Guards against a system on which suspensions cannot be told from steps.
func TestSystemTellsSuspensions(t *testing.T) {
	_, known := timeSuspended()
	require.True(t, known)
	var clock hostClock
	require.False(t, clock.suspendedSinceLastCall())
	require.False(t, clock.suspendedSinceLastCall())
}
