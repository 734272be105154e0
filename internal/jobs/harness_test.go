package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// harness drives a Core as the entry does, and stands in for the agents.
type harness struct {
	t       testing.TB
	core    *Core
	now     time.Duration
	started map[workload.RunID]workload.HostName
	stopped map[workload.RunID]bool
	sent    map[workload.HostName][]msg.Control
	ends    map[workload.HostName]uint64        // number of the last reported end
	phases  map[workload.JobID][]workload.Phase // as callers saw them

	linked    map[workload.HostName]workload.Host // whose agents report their runs
	noReports map[workload.HostName]bool          // whose agents don't
}

func newHarness(t testing.TB, epoch uint64) *harness {
	h := &harness{
		t: t, core: New(epoch, 0), started: map[workload.RunID]workload.HostName{}, stopped: map[workload.RunID]bool{},
		sent: map[workload.HostName][]msg.Control{}, ends: map[workload.HostName]uint64{}, phases: map[workload.JobID][]workload.Phase{},
		linked: map[workload.HostName]workload.Host{}, noReports: map[workload.HostName]bool{},
	}
	return h
}

func readyHost(name string, cpu int64) workload.Host {
	return workload.Host{
		Name: workload.HostName(name), Instance: workload.Instance("i-" + name), StartedAtMS: 1, Service: "desk", State: workload.HostReady,
		Capacity: workload.Resources{MilliCPU: cpu, MemoryMB: 1000},
	}
}

func newSpec(id string, steps ...workload.Step) workload.Job {
	return workload.Job{ID: workload.JobID(id), Queue: "q", Service: "desk", MaxAttempts: 2, TargetSlowdown: 2, TargetLatency: time.Second, Steps: steps}
}

// newStep returns a step of count tasks, each of cpu thousandths of a core. It
// may start when the steps of the numbers after are done.
func newStep(count int, cpu int64, after ...int) workload.Step {
	return workload.Step{Count: count, Need: workload.Resources{MilliCPU: cpu, MemoryMB: 1}, Estimate: time.Second, After: after}
}

// process plans, records the messages and phases of the core, and discards its
// decisions.
func (h *harness) process() {
	h.core.Plan()
	for _, s := range h.core.Messages() {
		h.sent[s.Host] = append(h.sent[s.Host], s.Message)
		switch m := s.Message.(type) {
		case *msg.StartRuns:
			for _, r := range m.Starts {
				h.started[r.Size.Run] = s.Host
			}
		case *msg.StopRuns:
			for _, r := range m.Runs {
				h.stopped[r] = true
			}
		}
	}
	for _, p := range h.core.Phases() {
		h.phases[p.ID] = append(h.phases[p.ID], p.Phase)
	}
	h.core.Decisions()
}

// advance advances the time in steps of 100 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * time.Millisecond
		h.core.Advance(h.now, h.now.Milliseconds())
		if h.now%reportInterval == 0 {
			h.report()
		}
		h.core.Tick()
		h.process()
	}
}

// reportInterval is the interval at which agents report their runs.
const reportInterval = 500 * time.Millisecond

// report lets the agents of the linked hosts report their runs, for which the core
// extends their leases.
func (h *harness) report() {
	for name, info := range h.linked {
		if !h.noReports[name] {
			h.core.RunsProgress(name, &msg.RunsProgress{Epoch: h.core.epoch, Instance: info.Instance, StartedAtMS: info.StartedAtMS})
		}
	}
}

// link links a host, answers the claim with an inventory of runs, and stores the
// list of hosts.
func (h *harness) link(info workload.Host, runs ...msg.RunStatus) {
	h.linked[info.Name] = info
	h.core.Linked(info)
	h.core.Inventory(&msg.HostInventory{Epoch: h.core.epoch, Host: info, Runs: runs})
	h.storeHosts()
	h.process()
}

// storeHosts stores the list of hosts; nothing starts on a host that is not in
// it.
func (h *harness) storeHosts() {
	if hosts, changed := h.core.hostsToStore(); changed {
		h.core.hostsStored(hosts)
	}
}

// reportEnd reports the end of a run with the host's next number.
func (h *harness) reportEnd(run workload.RunID, reason workload.EndReason, checkpoint string) {
	name := h.started[run]
	h.ends[name]++
	h.core.RunsChanged(name, &msg.RunsChanged{
		Epoch: h.core.epoch, Instance: workload.Instance("i-" + string(name)), StartedAtMS: 1,
		Ended: []msg.RunEnd{{Number: h.ends[name], Run: run, Reason: reason, Checkpoint: checkpoint}},
	})
	h.process()
}

// storeBatch writes and commits the next batch.
func (h *harness) storeBatch() {
	h.core.NextBatch()
	h.core.BatchCommitted()
	h.process()
}

// lastPhase returns the phase of a job that callers saw last.
func (h *harness) lastPhase(id workload.JobID) workload.Phase {
	require.NotEmpty(h.t, h.phases[id])
	return h.phases[id][len(h.phases[id])-1]
}

func runID(id string, step, index int, number uint64) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: workload.JobID(id), Step: step, Index: index}, Number: number}
}
