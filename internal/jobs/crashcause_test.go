package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// crash reports that the backend server of a host has crashed.
func (h *harness) crash(name workload.HostName) {
	info := h.core.hosts[name].info
	info.State, info.Crashed = workload.HostUnavailable, true
	h.core.Announced(info)
	h.core.Inventory(&msg.HostInventory{Epoch: h.core.epoch, Host: info})
	h.process()
}

// hostOfRun returns the host on which the last run of the only task of a job was
// ordered.
func (h *harness) hostOfRun(id workload.JobID) workload.HostName {
	h.t.Helper()
	t := h.core.task(workload.TaskID{Job: id})
	require.Len(h.t, t.runs, 1)
	return t.runs[0].host.info.Name
}

// Guards against a job that fails as the cause of crashes though it ran nowhere: a
// whole rack had crashed, and its task was ordered on one host after another before
// their crashes were known.
func TestRunsThatNeverStartedAreNoCauseOfACrash(t *testing.T) {
	h := newHarness(t, 1)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		h.link(readyHost(name, 1000))
	}
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	for range 5 {
		h.crash(h.hostOfRun("j"))
	}
	last := h.hostOfRun("j")
	require.Equal(t, taskTrusted, h.core.task(workload.TaskID{Job: "j"}).suspicion)
	h.reportEnd(h.core.task(workload.TaskID{Job: "j"}).runs[0].id, workload.EndDone, "")
	h.storeBatch()
	require.Equal(t, workload.Completed, h.lastPhase("j"), "it ended on %s", last)
}

// Guards against a task that crashes each backend server before the start is
// answered and is started without end, because none of its runs is known to have
// started.
func TestUnconfirmedRunsMayBeTheCauseOfACrash(t *testing.T) {
	h := newHarness(t, 1)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		h.link(readyHost(name, 1000))
	}
	h.core.Submit(newSpec("bad", newStep(1, 1000)))
	h.process()
	starts := 0
	for h.core.task(workload.TaskID{Job: "bad"}).suspicion != taskRejected {
		starts++
		require.LessOrEqual(t, starts, maxCrashStarts)
		run := h.core.task(workload.TaskID{Job: "bad"}).runs[0]
		h.core.RunsChanged(run.host.info.Name, &msg.RunsChanged{
			Epoch: 1, Instance: run.host.info.Instance, StartedAtMS: 1, Unconfirmed: []workload.RunID{run.id},
		})
		h.crash(run.host.info.Name)
		h.storeBatch()
		h.advance(time.Second)
	}
}

// Guards against a second run of a task while the first one goes on: its start has
// reached the next incarnation of its backend server.
func TestRunOnTheNextIncarnationIsNotLost(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.link(readyHost("b", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	run := h.core.task(workload.TaskID{Job: "j"}).runs[0]
	restarted := run.host.info
	restarted.StartedAtMS = 2
	h.core.Announced(restarted)
	h.process()
	require.Len(t, h.started, 1, "the inventory of the new incarnation may list the run")
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: restarted, Runs: []msg.RunStatus{{Run: run.id}}})
	h.process()
	h.advance(time.Second)
	require.Len(t, h.started, 1)
	require.Equal(t, runRunning, run.state)
}
