package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// backlog is a site whose hosts are full, with tasks that wait.
type backlog struct {
	*harness
	hosts, steps int
	running      []workload.RunID // in the order in which they end
}

// newBacklog returns a site of hosts that are full of runs of one core, and jobs
// of one step each whose tasks wait.
func newBacklog(t testing.TB, hosts, runsPerHost, steps, tasksPerStep int) *backlog {
	b := &backlog{harness: newHarness(t, 1), hosts: hosts, steps: steps}
	for i := range hosts {
		h := readyHost(fmt.Sprintf("h%03d", i), int64(1000*runsPerHost))
		h.Capacity.MemoryMB = 100 * int64(runsPerHost)
		b.core.Linked(h)
		b.core.Inventory(&msg.HostInventory{Epoch: b.core.epoch, Host: h})
	}
	b.storeHosts()
	full := newSpec("full", newStep(hosts*runsPerHost, 1000))
	b.core.Submit(full)
	b.drain()
	for id := range b.started {
		b.running = append(b.running, id)
	}
	require.Len(t, b.running, hosts*runsPerHost)
	for i := range steps {
		b.core.Submit(newSpec(fmt.Sprintf("w%03d", i), newStep(tasksPerStep, 1000)))
	}
	b.drain()
	require.Len(t, b.started, hosts*runsPerHost, "every host is full")
	return b
}

// allSteps returns every step with ready tasks.
func (w *waiting) allSteps() []*step {
	var list []*step
	for _, g := range w.groups {
		list = append(list, g.steps...)
	}
	return list
}

// drain plans until no work is left.
func (b *backlog) drain() {
	for b.core.planNeeded {
		b.process()
	}
}

// endOne reports the end of one run and plans once.
func (b *backlog) endOne() PassStats {
	id := b.running[0]
	b.running = b.running[1:]
	b.reportEnd(id, workload.EndDone, "")
	return b.core.LastPass()
}

// Guards against an owner that examines every host for every waiting task at each
// input. On a site of 72 hosts a backlog then made each step of its loop take 0.3
// to 0.5 s, leases expired because of it, and the backlog never ended. The end of
// a run changes one host, so each waiting step has to examine that host only.
func TestCostOfAPassFollowsTheChangedHosts(t *testing.T) {
	b := newBacklog(t, 72, 20, 100, 20)
	for range 5 {
		p := b.endOne()
		require.Equal(t, 1, p.Started)
		const changedHosts = 1
		require.LessOrEqual(t, p.Views, changedHosts*b.steps+p.Started)
		b.now += 10 * time.Millisecond
		b.core.Advance(b.now, b.now.Milliseconds())
	}
}

// Guards against a pass that delays leases and ends because there is much to plan,
// against work that is left over for ever, and against less urgent tasks that are
// placed first when a pass is cut short.
func TestPassIsBoundedAndContinued(t *testing.T) {
	for _, v := range []struct{ hosts, steps int }{{300, 40}, {maxPassViews + 100, 2}} {
		t.Run(fmt.Sprintf("hosts=%d", v.hosts), func(t *testing.T) { checkPassIsBounded(t, v.hosts, v.steps) })
	}
}

// checkPassIsBounded plans ten tasks of each step on empty hosts. A search of
// more hosts than a pass examines must start tasks too.
func checkPassIsBounded(t *testing.T, hosts, steps int) {
	h := newHarness(t, 1)
	for i := range hosts {
		info := readyHost(fmt.Sprintf("h%03d", i), 2000)
		h.core.Linked(info)
		h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info})
	}
	h.storeHosts()
	for i := range steps {
		spec := newSpec(fmt.Sprintf("j%02d", i), newStep(10, 500))
		spec.Priority = steps - i
		h.core.Submit(spec)
	}
	passes := 0
	for h.core.PlanPending() {
		before := len(h.started)
		h.process()
		passes++
		p := h.core.LastPass()
		require.LessOrEqual(t, p.Views, maxPassViews+hosts)
		require.Greater(t, len(h.started), before, "each pass makes progress")
		for id := range h.started {
			priority := h.core.task(id.Task).step.job.spec.Priority
			for _, s := range h.core.waiting.allSteps() {
				require.LessOrEqual(t, priority, s.job.spec.Priority)
			}
		}
	}
	require.Greater(t, passes, 1)
	require.LessOrEqual(t, passes, 20*steps)
	require.Len(t, h.started, 10*steps)
}

// BenchmarkPlanWithBacklog measures a pass after the end of one run, by number of
// hosts and of steps of 20 tasks that wait.
func BenchmarkPlanWithBacklog(b *testing.B) {
	for _, size := range []struct{ hosts, steps int }{{72, 100}, {690, 100}, {72, 500}, {72, 2000}} {
		b.Run(fmt.Sprintf("hosts=%d/steps=%d", size.hosts, size.steps), func(b *testing.B) {
			newSite := func() *backlog { return newBacklog(b, size.hosts, 20, size.steps, 20) }
			site := newSite()
			views := 0
			for b.Loop() {
				if len(site.running) == 0 {
					b.StopTimer()
					site = newSite()
					b.StartTimer()
				}
				views += site.endOne().Views
			}
			b.ReportMetric(float64(views)/float64(b.N), "views/op")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(1, views)), "ns/view")
		})
	}
}
