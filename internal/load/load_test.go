package load

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// stallingConnection responds after 1 ms. Requests between from and until are
// delayed to until.
type stallingConnection struct{ from, until time.Time }

func (s stallingConnection) Send(ctx context.Context) Response {
	if now := time.Now(); now.After(s.from) && now.Before(s.until) {
		actor.Sleep(ctx, s.until.Sub(now))
	}
	if !actor.Sleep(ctx, time.Millisecond) {
		return Response{Failure: "timeout"}
	}
	return Response{Status: 200}
}
func (stallingConnection) Close() {}

// planOf returns a plan with one class.
func planOf(c Class) Plan {
	c.Name, c.Path = "reads", "/"
	return Plan{Target: "http://127.0.0.1:1", Seed: 1, Classes: []Class{c}}
}

// Guards against a closed loop, in which a stall of one second delays only one
// request per connection, so that the percentiles do not show it.
func TestStallIsNotHidden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := planOf(Class{Connections: 1, DeadlineMs: 500, Phases: []Phase{{Seconds: 10, From: 100}}})
		require.NoError(t, p.Check().Err())
		stall := stallingConnection{time.Now().Add(4 * time.Second), time.Now().Add(5 * time.Second)}
		c := Run(t.Context(), p, func(Class) Connection { return stall }).Classes[0]
		require.InDelta(t, 1000, c.Sent, 150)
		require.Equal(t, c.Sent, c.Done)
		require.Less(t, c.Latency.P50, 10.0)
		require.Greater(t, c.Latency.P99, 800.0, "100 requests were due during the stall")
		require.Greater(t, c.Late, 30)
		require.Greater(t, c.Windows[4].Latency.P50, 300.0)
		require.Less(t, c.Windows[2].Latency.Max, 20.0)
	})
}

// Guards against a run that does not end while the target does not respond, and
// against more requests than the plan allows.
func TestRunIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := planOf(Class{Phases: []Phase{{Seconds: 60, From: 100}}})
		p.Requests = 50
		require.NoError(t, p.Check().Err())
		c := Run(t.Context(), p, func(Class) Connection { return stallingConnection{} }).Classes[0]
		require.Equal(t, 50, c.Sent)
		hung := stallingConnection{time.Time{}, time.Now().Add(24 * time.Hour)}
		p.Requests = MaxRequests
		start := time.Now()
		c = Run(t.Context(), p, func(Class) Connection { return hung }).Classes[0]
		require.LessOrEqual(t, time.Since(start), 2*time.Minute)
		require.NotZero(t, c.Unfinished)
		require.NotZero(t, c.Errors["timeout"])
	})
}

// Guards against a schedule whose rates differ from those of the plan's phases.
func TestScheduleFollowsPhases(t *testing.T) {
	s := newSchedule(Class{Phases: []Phase{{Seconds: 10, From: 10}, {Seconds: 10, From: 0, To: 1000}, {Seconds: 10, From: 0}, {Seconds: 10, From: 500}}}, 7, 0)
	var counts [4]int
	for at, ok := s.next(); ok; at, ok = s.next() {
		counts[int(at/(10*time.Second))]++
	}
	require.InDelta(t, 100, counts[0], 40)
	require.InDelta(t, 5000, counts[1], 300)
	require.Zero(t, counts[2])
	require.InDelta(t, 5000, counts[3], 300)
}

// Guards against a check that reports only the first finding of a plan.
func TestPlanFindings(t *testing.T) {
	p := Plan{Target: "127.0.0.1:8080", Classes: []Class{{Name: "a", Path: "x"}, {Name: "a", Path: "/", Connections: -1, Phases: []Phase{{Seconds: 1e9, From: -1}}}}}
	require.Len(t, p.Check(), 7)
}
