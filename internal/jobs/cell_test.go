package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Size of one cell at the target of docs/CAPACITY.md, with a backlog.
const (
	cellHosts        = 690
	cellRunsPerHost  = 19
	cellRunningJobs  = 200 // without those that serve or are best-effort
	cellWaitingSteps = 2000
	cellStepTasks    = 10
	cellStepsPerJob  = 4
	cellEndedJobs    = 1000 // kept for queries
	cellServingJobs  = 30   // and as many best-effort jobs
)

// cell is a cell of the target size whose hosts are full.
type cell struct {
	*backlog
	hostNames []workload.HostName
	reports   map[workload.HostName]*msg.RunsProgress
}

// cellSize varies the size of a cell.
type cellSize struct {
	hosts, steps int
	kinds        int // distinct requirements of the waiting steps; a quarter of them is best-effort
}

// newCell returns a cell in which every host has one serving run, one
// best-effort run, and other runs of one core. Nothing is left to plan or store.
func newCell(t testing.TB, size cellSize) *cell {
	c := &cell{backlog: &backlog{harness: newHarness(t, 1), hosts: size.hosts, steps: size.steps}, reports: map[workload.HostName]*msg.RunsProgress{}}
	for i := range size.hosts {
		h := readyHost(fmt.Sprintf("h%03d", i), 1000*(cellRunsPerHost-1))
		h.Capacity.MemoryMB = 50 * cellRunsPerHost
		h.Labels = []string{groupLabel(i % cellServingJobs)}
		c.core.Linked(h)
		c.core.Inventory(&msg.HostInventory{Epoch: 1, Host: h})
		c.hostNames = append(c.hostNames, h.Name)
	}
	c.storeHosts()
	c.fill()
	c.addEndedJobs()
	c.addWaitingJobs(size.kinds)
	c.store()
	for _, name := range c.hostNames {
		c.reports[name] = c.report(name)
	}
	return c
}

func groupLabel(i int) string { return fmt.Sprintf("g%02d", i) }

func cellStep(count int, cpu int64) workload.Step {
	s := newStep(count, cpu)
	s.Need.MemoryMB = 50
	return s
}

// fill starts the running jobs.
func (c *cell) fill() {
	perGroup := c.hosts / cellServingJobs
	for i := range cellServingJobs {
		serving, bestEffort := cellStep(perGroup, 1000), cellStep(perGroup, 1000)
		serving.LongRunning, serving.TargetLatency, serving.Image = true, 100*time.Millisecond, fmt.Sprintf("s%d", i%5)
		bestEffort.BestEffort, bestEffort.Checkpointing, bestEffort.Image = true, true, fmt.Sprintf("b%d", i%5)
		for _, s := range []*workload.Step{&serving, &bestEffort} {
			s.MaxPerHost, s.Label = 1, groupLabel(i)
		}
		c.core.Submit(newSpec(fmt.Sprintf("s%03d", i), serving))
		c.core.Submit(newSpec(fmt.Sprintf("b%03d", i), bestEffort))
	}
	c.drain()
	batch := c.hosts * (cellRunsPerHost - 2)
	for i := range cellRunningJobs {
		n := batch / (cellRunningJobs - i)
		batch -= n
		c.core.Submit(newSpec(fmt.Sprintf("r%03d", i), cellStep(n, 1000)))
	}
	c.drain()
	require.Len(c.t, c.started, c.hosts*cellRunsPerHost)
	c.advance(2 * time.Second)
	for _, name := range c.hostNames {
		m := &msg.RunsChanged{Epoch: 1, Instance: workload.Instance("i-" + string(name)), StartedAtMS: 1}
		for _, r := range c.core.hosts[name].sortedRuns() {
			m.Started = append(m.Started, r.id)
			if r.id.Task.Job[0] == 'r' {
				c.running = append(c.running, r.id)
			}
		}
		c.core.RunsChanged(name, m)
	}
	c.drain()
}

// addEndedJobs adds jobs that are kept for queries.
func (c *cell) addEndedJobs() {
	for i := range cellEndedJobs {
		id := fmt.Sprintf("e%04d", i)
		c.core.Submit(newSpec(id, cellStep(1, 1_000_000)))
		c.core.Cancel(workload.JobID(id))
	}
	c.drain()
}

// addWaitingJobs adds jobs whose tasks wait.
func (c *cell) addWaitingJobs(kinds int) {
	for i := range c.steps / cellStepsPerJob {
		spec := newSpec(fmt.Sprintf("w%04d", i))
		for k := range cellStepsPerJob {
			kind := (i*cellStepsPerJob + k) % kinds
			s := cellStep(cellStepTasks, 1000)
			s.Need.MemoryMB = 50 + int64(kind)
			s.BestEffort = kind%4 == 3
			spec.Steps = append(spec.Steps, s)
		}
		c.core.Submit(spec)
	}
	c.drain()
	c.advance(2 * time.Second)
}

// store writes everything that waits to be stored.
func (c *cell) store() {
	for {
		if pending, _ := c.core.Pending(); !pending {
			return
		}
		c.storeBatch()
	}
}

// report returns the report of a host on its runs.
func (c *cell) report(name workload.HostName) *msg.RunsProgress {
	m := &msg.RunsProgress{Epoch: 1, Instance: workload.Instance("i-" + string(name)), StartedAtMS: 1}
	for _, r := range c.core.hosts[name].sortedRuns() {
		m.Runs = append(m.Runs, msg.RunStatus{Run: r.id, Usage: 80, CPULimitPercent: 100, ProgressPercent: 50})
	}
	return m
}

// flush does what the controller does after each batch of messages.
func (c *cell) flush() {
	c.core.Plan()
	for _, s := range c.core.Messages() {
		if m, ok := s.Message.(*msg.StartRuns); ok {
			for _, r := range m.Starts {
				c.started[r.Size.Run] = s.Host
				c.running = append(c.running, r.Size.Run)
			}
		}
	}
	c.core.Phases()
	c.core.Decisions()
	c.core.Pending()
}

// end reports the end of one run.
func (c *cell) end() {
	id := c.running[0]
	c.running = c.running[1:]
	name := c.started[id]
	c.ends[name]++
	c.core.RunsChanged(name, &msg.RunsChanged{
		Epoch: 1, Instance: workload.Instance("i-" + string(name)), StartedAtMS: 1,
		Ended: []msg.RunEnd{{Number: c.ends[name], Run: id, Reason: workload.EndDone}},
	})
}

// allPairs returns a coefficient for each pair of a number of serving images and
// as many best-effort ones.
func allPairs(images int) []msg.Interference {
	var list []msg.Interference
	for i := range images {
		for k := range images {
			list = append(list, msg.Interference{ServingImage: fmt.Sprintf("s%d", i), BestEffortImage: fmt.Sprintf("b%d", k), Coefficient: 0.1})
		}
	}
	return list
}

// smallCell is large enough that a visit of all hosts, runs, jobs or waiting
// steps exceeds every bound of the tests.
var smallCell = cellSize{hosts: 120, steps: 200, kinds: 8}
