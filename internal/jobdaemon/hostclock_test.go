package jobdaemon

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
)

// Guards against an owner that acts on a permission which ran out while its host was
// suspended, and against one that stops because somebody set the wall clock.
func TestHostClockTellsSuspensionsFromStepsOfTheWallClock(t *testing.T) {
	const start = 1000 * time.Hour // of the wall clock
	for name, c := range map[string]struct {
		wall, suspended time.Duration // how far the clocks advance while the monotonic one advances by a second
		known           bool
		want            time.Duration
	}{
		"nothing":          {time.Second, 0, true, 0},
		"slewed":           {time.Second + 100*time.Millisecond, 0, true, 0},
		"suspended":        {11 * time.Second, 10 * time.Second, true, 10 * time.Second},
		"step forward":     {11 * time.Second, 0, true, 0},
		"step back":        {-9 * time.Second, 0, true, 0},
		"step, not known":  {11 * time.Second, 0, false, 10 * time.Second},
		"suspended before": {time.Second, 10 * time.Second, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var clock hostClock
			total := 5 * time.Second
			suspended := func() (time.Duration, bool) { return total, c.known }
			require.Zero(t, clock.observe(start, 0, suspended))
			total += c.suspended
			require.Equal(t, c.want, clock.observe(start+c.wall, time.Second, suspended))
			require.Zero(t, clock.observe(start+c.wall+time.Second, 2*time.Second, suspended))
		})
	}
}

// Guards against a system on which suspensions cannot be told from steps.
func TestSystemTellsSuspensions(t *testing.T) {
	_, known := timeSuspended()
	require.True(t, known)
	var clock hostClock
	require.Zero(t, clock.suspendedSinceLastCall())
	require.Zero(t, clock.suspendedSinceLastCall())
}

// Guards against an agent that applies what it finds in its buffers before it shortens
// the leases by a suspension.
func TestAgentNoticesASuspensionBeforeItAppliesMessages(t *testing.T) {
	logged := memory.New()
	a := &agent{core: hostagent.New(hostagent.Config{Name: "a"}), startedAt: time.Now(), log: &log.Logger{Handler: logged, Level: log.DebugLevel}}
	a.advance()
	require.Empty(t, logged.Entries)
	const suspended = 5 * time.Second
	a.clock.wallOffset -= suspended
	a.clock.suspended -= suspended
	a.apply(&linkMessage{})
	require.Len(t, logged.Entries, 1)
	require.Equal(t, event.AgentSuspended.ID, logged.Entries[0].Fields["event"])
	require.InDelta(t, suspended.Milliseconds(), logged.Entries[0].Fields["suspended-ms"], 100)
}
