package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// orderBytes returns the bytes of specifications in the start requests so far.
func (h *harness) orderBytes() int {
	n := 0
	for _, list := range h.sent {
		for _, m := range list {
			if m, ok := m.(*msg.StartRuns); ok {
				for _, s := range m.Starts {
					n += len(s.Specification)
				}
			}
		}
	}
	return n
}

// Pattern: all machines have restarted, and every restored task may start at once.
// Guards against start requests that occupy the owner's network connection until its
// peers take it for lost: 555 requests were sent within 0.1 s over 2 Mbit/s. The most
// urgent tasks start first.
func TestOrdersAfterARestartOfAllMachinesArePaced(t *testing.T) {
	const hosts, jobs, tasks, bytes, rate = 50, 20, 40, 1000, 125_000
	h := newHarness(t, 1)
	h.core.LimitOrders(rate)
	for i := range hosts {
		h.link(readyHost(fmt.Sprintf("h%02d", i), 32000))
	}
	for i := range jobs {
		spec := newSpec(fmt.Sprintf("j%02d", i), newStep(tasks, 1000))
		spec.Specification = strings.Repeat("x", bytes)
		spec.TargetLatency = time.Duration(jobs-i) * time.Second
		h.core.Submit(spec)
	}
	h.process()
	firstDone := time.Duration(0)
	for len(h.started) < jobs*tasks {
		before := h.orderBytes()
		require.False(t, h.core.PlanPending(), "the owner's loop must not spin while it waits")
		h.advance(100 * time.Millisecond)
		require.LessOrEqual(t, h.orderBytes()-before, rate/10+bytes+orderOverheadBytes)
		require.Less(t, h.now, 10*time.Second)
		if firstDone == 0 && len(h.core.jobs["j19"].steps[0].ready) == 0 {
			firstDone = h.now
			require.Len(t, h.core.jobs["j00"].steps[0].ready, tasks, "the least urgent job starts last")
		}
	}
	require.NotZero(t, firstDone)
	require.LessOrEqual(t, h.now, time.Duration(1.3*jobs*tasks*bytes/rate*float64(time.Second)))
}

// Guards against tasks that wait for the rate of orders although the connection is
// idle: the orders of one large job fit into the burst.
func TestOrdersOfOneJobAreNotDelayed(t *testing.T) {
	const linkBytes = 20_000_000 / 8
	h := newHarness(t, 1)
	h.core.LimitOrders(linkBytes / 2)
	for i := range 50 {
		h.link(readyHost(fmt.Sprintf("h%02d", i), 32000))
	}
	h.advance(time.Second)
	spec := newSpec("j", newStep(40, 1000))
	spec.Specification = strings.Repeat("x", 2000)
	h.core.Submit(spec)
	h.process()
	require.Len(t, h.started, 40)
}

// Guards against start requests of many suspects that are sent without regard to the
// rate: they occupy the owner's connection, and no other task starts until the rate
// has made up for them.
func TestOrdersOfSuspectsArePaced(t *testing.T) {
	const rate, tasks, bytes = 125_000, 100, 4000
	h := newHarness(t, 1)
	h.link(readyHost("crashes", 100_000))
	spec := newSpec("many", newStep(tasks, 1000))
	spec.Specification = strings.Repeat("x", bytes)
	h.core.Submit(spec)
	h.process()
	h.startAll("many")
	h.crash("crashes")
	h.storeBatch()
	require.Len(t, h.core.suspects, tasks)
	h.core.LimitOrders(rate)
	before := h.orderBytes()
	for i := range 10 {
		h.link(readyHost(fmt.Sprintf("h%d", i), 100_000))
	}
	require.LessOrEqual(t, h.orderBytes()-before, rate/10+bytes+orderOverheadBytes)
	urgent := newSpec("urgent", newStep(1, 1000))
	urgent.Priority = -1
	h.core.Submit(urgent)
	h.advance(200 * time.Millisecond)
	require.True(t, h.ordered("urgent"))
	require.NotEmpty(t, h.core.suspects)
	for len(h.core.suspects) > 0 && h.now < 20*time.Second {
		before := h.orderBytes()
		require.False(t, h.core.PlanPending(), "the owner's loop must not spin while it waits")
		h.advance(100 * time.Millisecond)
		require.LessOrEqual(t, h.orderBytes()-before, rate/10+bytes+orderOverheadBytes)
	}
	t.Logf("all suspects were ordered after %v", h.now)
	require.Empty(t, h.core.suspects)
}
