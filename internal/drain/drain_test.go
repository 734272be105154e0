package drain

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a drain that outlasts the grace period, skips a phase's action
// or cancels requests before it closes, whatever happens when.
func TestEveryDrainEndsWithinItsGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "grace in ms")) * time.Millisecond
		releasedAt := time.Duration(rapid.IntRange(0, 70_000).Draw(t, "released in ms")) * time.Millisecond
		quietAt := time.Duration(rapid.IntRange(0, 70_000).Draw(t, "quiet in ms")) * time.Millisecond
		unlinkedAt := time.Duration(rapid.IntRange(0, 70_000).Draw(t, "unlinked in ms")) * time.Millisecond
		p := NewPlan(grace)
		require.True(t, slices.IsSorted([]time.Duration{0, p.LeaveBy, p.ReleaseBy, p.AnswerBy, p.StopBy}), "%+v", p)
		require.LessOrEqual(t, p.StopBy, grace)

		c, now := New(p), time.Duration(0)
		c.Signal()
		effects := c.Effects()
		for !c.Stopped() {
			now = c.Due()
			if releasedAt < now && !c.JobsReleased() {
				c.Released()
			}
			if quietAt < now {
				c.Quiet()
			}
			effects = append(effects, c.Effects()...)
			if unlinkedAt < now && slices.Contains(effects, EndLinks) {
				c.Unlinked()
			}
			if c.Due() == now {
				c.Advance(now)
			}
			effects = append(effects, c.Effects()...)
		}
		require.LessOrEqual(t, now, grace)
		require.Equal(t, []Effect{LeaveRotation, ReleaseJobs, CloseIdle}, effects[:3])
		require.LessOrEqual(t, len(effects), 5)
		require.Equal(t, EndLinks, effects[len(effects)-1])
		require.NotContains(t, effects[3:len(effects)-1], EndLinks)
	})
}

// Guards against requests in flight that get less time than before when the
// jobs are not released: the phases of the sites' grace period of 6 s.
func TestPlanOfTheSites(t *testing.T) {
	require.Equal(t, Plan{
		LeaveBy: 2300 * time.Millisecond, ReleaseBy: 2700 * time.Millisecond, AnswerBy: 5200 * time.Millisecond, StopBy: 5500 * time.Millisecond,
	}, NewPlan(6*time.Second))
}

// Guards against a drain that waits for a release that is done, or ends while
// callers are still sent to it.
func TestReleaseRunsBesideTheBalancerDelay(t *testing.T) {
	p := NewPlan(6 * time.Second)
	c := New(p)
	c.Signal()
	c.Released()
	c.Quiet() // no caller is connected at the moment
	require.Equal(t, "leaving", c.Phase())
	c.Advance(p.LeaveBy)
	require.Equal(t, "closing", c.Phase())
	c.Quiet()
	require.Equal(t, "unlinking", c.Phase())
	c.Unlinked()
	require.True(t, c.Stopped())
}

// Guards against a process that ends before its drain, or after its grace period.
func TestProcessEndsBetweenItsDrainAndTheEndOfTheGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "grace in ms")) * time.Millisecond
		exit := ExitBy(grace)
		require.Greater(t, exit, NewPlan(grace).StopBy)
		require.Less(t, exit, grace)
	})
	require.Equal(t, 5750*time.Millisecond, ExitBy(6*time.Second))
}
