package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// harness drives a Core as the entry does, and takes the part of the agents.
type harness struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	started map[workload.RunID]workload.HostName
	stopped map[workload.RunID]bool
	sent    map[workload.HostName][]msg.Control
	ends    map[workload.HostName]uint64
	phases  map[workload.JobID][]workload.Phase
}

func newHarness(t *testing.T, epoch uint64) *harness {
	w := &harness{
		t: t, core: New(epoch, 0), started: map[workload.RunID]workload.HostName{}, stopped: map[workload.RunID]bool{},
		sent: map[workload.HostName][]msg.Control{}, ends: map[workload.HostName]uint64{}, phases: map[workload.JobID][]workload.Phase{},
	}
	return w
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

// newStep returns a step of count tasks, each of cpu thousandths of a core.
func newStep(count int, cpu int64, after ...int) workload.Step {
	return workload.Step{Count: count, Need: workload.Resources{MilliCPU: cpu, MemoryMB: 1}, Estimate: time.Second, After: after}
}

// process plans, and records the messages and phases of the core.
func (w *harness) process() {
	w.core.Plan()
	for _, s := range w.core.Messages() {
		w.sent[s.Host] = append(w.sent[s.Host], s.Message)
		switch m := s.Message.(type) {
		case *msg.StartRuns:
			for _, r := range m.Starts {
				w.started[r.Size.Run] = s.Host
			}
		case *msg.StopRuns:
			for _, r := range m.Runs {
				w.stopped[r] = true
			}
		}
	}
	for _, p := range w.core.Phases() {
		w.phases[p.ID] = append(w.phases[p.ID], p.Phase)
	}
	w.core.Decisions()
}

func (w *harness) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 100 * time.Millisecond
		w.core.Advance(w.now, w.now.Milliseconds())
		w.core.Tick()
		w.process()
	}
}

// link links a host, answers the claim with an inventory of runs, and stores the
// list of hosts.
func (w *harness) link(h workload.Host, runs ...msg.RunStatus) {
	w.core.Linked(h)
	w.core.Inventory(&msg.HostInventory{Epoch: w.core.epoch, Host: h, Runs: runs})
	w.storeHosts()
	w.process()
}

// storeHosts stores the list of hosts; nothing starts on a host that is not in
// it.
func (w *harness) storeHosts() {
	if hosts, changed := w.core.hostsToStore(); changed {
		w.core.hostList.setStored(hosts)
		w.core.planNeeded = true
	}
}

// reportEnd reports the end of a run with the host's next number.
func (w *harness) reportEnd(run workload.RunID, reason workload.EndReason, checkpoint string) {
	name := w.started[run]
	w.ends[name]++
	w.core.RunsChanged(name, &msg.RunsChanged{
		Epoch: w.core.epoch, Instance: workload.Instance("i-" + string(name)), StartedAtMS: 1,
		Ended: []msg.RunEnd{{Number: w.ends[name], Run: run, Reason: reason, Checkpoint: checkpoint}},
	})
	w.process()
}

func (w *harness) storeBatch() {
	w.core.NextBatch()
	w.core.BatchCommitted()
	w.process()
}

// lastPhase returns the phase of a job that callers saw last.
func (w *harness) lastPhase(id workload.JobID) workload.Phase {
	require.NotEmpty(w.t, w.phases[id])
	return w.phases[id][len(w.phases[id])-1]
}

func runID(id string, step, index int, number uint64) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: workload.JobID(id), Step: step, Index: index}, Number: number}
}
