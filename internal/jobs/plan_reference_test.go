package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// twinEpoch is the epoch of the cores of a twin.
const twinEpoch = 2

// twin is two cores that get the same events. One plans by Plan, the other by
// planByReference.
type twin struct {
	t     *rapid.T
	cores [2]*Core
	now   time.Duration
	hosts []workload.Host
	ends  map[workload.HostName]uint64
	jobs  int
}

// apply applies an event to both cores, plans, and compares the messages.
func (w *twin) apply(event func(c *Core)) {
	var orders [2][]string
	for i, c := range w.cores {
		c.Advance(w.now, w.now.Milliseconds())
		c.Tick()
		event(c)
		if names, changed := c.hostsToStore(); changed {
			c.hostsStored(names)
		}
		if i == 0 {
			for c.PlanPending() {
				c.Plan()
			}
		} else {
			planByReference(c)
		}
		orders[i] = describeOrders(c.Messages())
		c.Phases()
		c.Decisions()
	}
	require.Equal(w.t, orders[1], orders[0])
	w.requireCounts()
}

// describeOrders returns the starts and stops in a list of messages, ordered by
// host. Several passes may divide the orders for a host into several messages.
func describeOrders(list []HostMessage) []string {
	var orders []string
	for _, s := range list {
		switch m := s.Message.(type) {
		case *msg.StartRuns:
			for _, r := range m.Starts {
				orders = append(orders, fmt.Sprintf("%s starts %s", s.Host, r.Size.Run))
			}
		case *msg.StopRuns:
			for _, r := range m.Runs {
				orders = append(orders, fmt.Sprintf("%s stops %s", s.Host, r))
			}
		}
	}
	slices.Sort(orders)
	return orders
}

// requireCounts compares the counts that each host keeps with its runs.
func (w *twin) requireCounts() {
	for _, h := range w.cores[0].hostsByName {
		steps, images, serving, bestEffort := map[*step]int{}, map[string]int{}, map[servingGroup]int{}, map[string]bestEffortUse{}
		for _, r := range h.runs {
			s := r.task.step
			steps[s]++
			if s.spec.Serves() {
				images[s.spec.Image]++
				serving[servingGroup{s.job, s.spec.Image}]++
			}
			if s.spec.BestEffort {
				u := bestEffort[s.spec.Image]
				bestEffort[s.spec.Image] = bestEffortUse{s.spec.Image, u.runs + 1, u.milliCPU + s.spec.Need.MilliCPU}
			}
		}
		require.Equal(w.t, unprovenByReference(h), h.unproven)
		require.Zero(w.t, h.holds)
		require.Equal(w.t, steps, h.runsByStep)
		require.Equal(w.t, images, h.servingByImage)
		require.Equal(w.t, serving, h.servingByGroup)
		require.Len(w.t, h.bestEffortByImage, len(bestEffort))
		for _, u := range h.bestEffortByImage {
			require.Equal(w.t, bestEffort[u.image], u)
		}
	}
}

func (w *twin) link(h workload.Host) {
	w.apply(func(c *Core) {
		c.Linked(h)
		c.Inventory(&msg.HostInventory{Epoch: c.epoch, Host: h})
	})
}

func (w *twin) submit() {
	spec := w.drawJob()
	w.apply(func(c *Core) { c.Submit(spec) })
}

func (w *twin) restore() {
	spec := w.drawJob()
	w.apply(func(c *Core) { c.Restore(spec, nil) })
}

// drawJob returns a job that was accepted under the owner, or under one before or
// after it.
func (w *twin) drawJob() workload.Job {
	w.jobs++
	spec := newSpec(fmt.Sprintf("j%03d", w.jobs))
	spec.Epoch = rapid.SampledFrom([]uint64{0, twinEpoch - 1, twinEpoch, twinEpoch, twinEpoch + 1}).Draw(w.t, "epoch")
	spec.MaxAttempts = 20
	spec.Priority = rapid.IntRange(0, 2).Draw(w.t, "priority")
	for i := range rapid.IntRange(1, 2).Draw(w.t, "steps") {
		s := newStep(rapid.IntRange(1, 8).Draw(w.t, "tasks"), 500*rapid.Int64Range(1, 5).Draw(w.t, "cpu"))
		s.Image = rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "image")
		s.Label = rapid.SampledFrom([]string{"", "", "fast"}).Draw(w.t, "label")
		s.MaxPerHost = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(w.t, "most")
		switch rapid.IntRange(0, 3).Draw(w.t, "kind") {
		case 0:
			s.LongRunning, s.TargetLatency, s.Image = true, 100*time.Millisecond, "s"+s.Image
		case 1:
			s.BestEffort = true
		}
		if i > 0 && rapid.Bool().Draw(w.t, "after") {
			s.After = []int{0}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// runs returns the runs of a host in the order of their identifiers.
func (w *twin) runs(h workload.Host) []*run { return w.cores[0].host(h.Name).sortedRuns() }

// end reports the end of a run.
func (w *twin) end() {
	h := rapid.SampledFrom(w.hosts).Draw(w.t, "host")
	runs := w.runs(h)
	if len(runs) == 0 {
		return
	}
	reason := rapid.SampledFrom([]workload.EndReason{workload.EndDone, workload.EndDone, workload.EndFailed, workload.EndStopped}).Draw(w.t, "reason")
	id := runs[rapid.IntRange(0, len(runs)-1).Draw(w.t, "run")].id
	w.ends[h.Name]++
	w.apply(func(c *Core) {
		c.RunsChanged(h.Name, &msg.RunsChanged{
			Epoch: c.epoch, Instance: h.Instance, StartedAtMS: h.StartedAtMS, Ended: []msg.RunEnd{{Number: w.ends[h.Name], Run: id, Reason: reason}},
		})
	})
}

// report reports the latencies of the serving runs of a host.
func (w *twin) report() {
	h := rapid.SampledFrom(w.hosts).Draw(w.t, "host")
	m := &msg.RunsProgress{Epoch: twinEpoch, Instance: h.Instance, StartedAtMS: h.StartedAtMS}
	usage := rapid.IntRange(10, 200).Draw(w.t, "usage")
	for _, r := range w.runs(h) {
		m.Runs = append(m.Runs, msg.RunStatus{Run: r.id, Usage: int64(usage), CPULimitPercent: 100})
	}
	w.apply(func(c *Core) { c.RunsProgress(h.Name, m) })
}

// changeHost changes the state of a host, or cuts its link for a moment.
func (w *twin) changeHost() {
	i := rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host")
	h := &w.hosts[i]
	switch rapid.IntRange(0, 5).Draw(w.t, "change") {
	case 0:
		h.State = rapid.SampledFrom([]workload.HostState{workload.HostReady, workload.HostDraining, workload.HostUnavailable}).Draw(w.t, "state")
		h.Crashed = h.State == workload.HostUnavailable && rapid.Bool().Draw(w.t, "crashed")
		w.apply(func(c *Core) { c.Announced(*h) })
	case 1:
		h.Labels = rapid.SampledFrom([][]string{nil, {"fast"}}).Draw(w.t, "labels")
		w.apply(func(c *Core) { c.Announced(*h) })
	case 2:
		w.apply(func(c *Core) { c.Unlinked(h.Name) })
	case 3:
		w.ends[h.Name] = 0
		h.StartedAtMS++
		h.State, h.Crashed = workload.HostReady, false
		w.link(*h)
	case 4:
		h.Capacity.MilliCPU = 1000 * rapid.Int64Range(1, 8).Draw(w.t, "new capacity")
		w.apply(func(c *Core) { c.Announced(*h) })
	case 5:
		h.Service = rapid.SampledFrom([]workload.Service{"desk", "other"}).Draw(w.t, "service")
		w.apply(func(c *Core) { c.Announced(*h) })
	}
}

// Guards against a pass that leaves a task waiting although a host can run it, or
// starts it on another host than an examination of every host would choose,
// because of what it remembers of earlier passes.
func TestPlanPlacesAsAFullExaminationDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &twin{t: t, cores: [2]*Core{New(twinEpoch, 0), New(twinEpoch, 0)}, ends: map[workload.HostName]uint64{}}
		if rapid.Bool().Draw(t, "recovery") {
			former := rapid.SampledFrom([]FormerOwners{FormerOwnersActive, FormerOwnersFenced, FormerOwnersEnded}).Draw(t, "former owners")
			for range rapid.IntRange(0, 3).Draw(t, "restored jobs") {
				w.restore()
			}
			w.apply(func(c *Core) {
				c.ExpectHost("absent")
				c.Recover(former)
			})
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "hosts") {
			h := readyHost(fmt.Sprintf("h%d", i), 1000*rapid.Int64Range(2, 8).Draw(t, "capacity"))
			w.hosts = append(w.hosts, h)
			w.link(h)
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.now += rapid.SampledFrom([]time.Duration{speedInterval, 2 * speedInterval, time.Second}).Draw(t, "pause")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				w.submit()
			case 3, 4, 5, 6:
				w.end()
			case 7:
				w.report()
			case 8:
				w.changeHost()
			case 9:
				job := workload.JobID(fmt.Sprintf("j%03d", rapid.IntRange(1, 20).Draw(t, "job")))
				w.apply(func(c *Core) { c.Cancel(job) })
			}
		}
	})
}
