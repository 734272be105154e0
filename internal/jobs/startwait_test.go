package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// maxStartWait is the time within which a long-running task starts while a host has
// room for it.
const maxStartWait = 6 * time.Second

// lastingSpec returns a job of one long-running task.
func lastingSpec(id string, cpu int64) workload.Job {
	step := newStep(1, cpu)
	step.LongRunning = true
	return newSpec(id, step)
}

// startAll reports the ordered runs of a job as started.
func (h *harness) startAll(id workload.JobID) {
	for run, name := range h.started {
		if run.Task.Job == id {
			h.core.RunsChanged(name, &msg.RunsChanged{
				Epoch: h.core.epoch, Instance: workload.Instance("i-" + string(name)), StartedAtMS: 1, Started: []workload.RunID{run},
			})
		}
	}
	h.process()
}

// ordered reports whether a run of the job was ordered.
func (h *harness) ordered(id workload.JobID) bool {
	for run := range h.started {
		if run.Task.Job == id {
			return true
		}
	}
	return false
}

// Guards against suspects without a host that take all examinations of each planning
// pass: no other task of the site started while they waited.
func TestSuspectsWithoutAHostDelayNoOtherTask(t *testing.T) {
	h := newHarness(t, 1)
	special := readyHost("special", 100_000)
	special.Labels = []string{"special"}
	h.link(special)
	for i := range 60 {
		h.link(readyHost(fmt.Sprintf("host-%d", i), 4000))
	}
	crashing := newStep(100, 1000)
	crashing.Label = "special"
	h.core.Submit(newSpec("crashing", crashing))
	h.process()
	h.startAll("crashing")
	h.crash("special")
	h.storeBatch()
	require.Len(t, h.core.suspects, 100)
	h.core.Submit(lastingSpec("lasting", 1000))
	h.advance(maxStartWait)
	require.True(t, h.ordered("lasting"), "60 hosts are idle")
}

// Guards against a host that stays reserved for a task that does not fit beside a run
// which lasts: its free room was kept from all other tasks until that run ended.
func TestReservationForATaskThatDoesNotFitEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("stays", 4000))
	h.core.Submit(newSpec("busy", newStep(1, 2000)))
	h.process()
	h.startAll("busy")
	h.core.Submit(newSpec("crashing", newStep(1, 3000)))
	for _, name := range []string{"a", "b"} {
		h.link(readyHost(name, 3000))
		h.advance(100 * time.Millisecond)
		h.startAll("crashing")
		h.crash(h.hostOfRun("crashing"))
		h.storeBatch()
	}
	h.advance(100 * time.Millisecond)
	require.Len(t, h.core.reserved, 1)
	h.core.Submit(lastingSpec("lasting", 1000))
	h.advance(maxStartWait)
	require.True(t, h.ordered("lasting"), "the host has room")
}

// Guards against many isolated tasks that hold the only host of a service one after
// another, while a long-running task for which it has room waits.
func TestIsolatedTasksInTurnDelayNoLongRunningTask(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Submit(newSpec("innocent", newStep(100, 1000)))
	for _, name := range []string{"a", "b"} {
		h.link(readyHost(name, 100_000))
		h.advance(400 * time.Millisecond)
		h.startAll("innocent")
		h.crash(workload.HostName(name))
		h.storeBatch()
	}
	h.link(readyHost("stays", 200_000))
	h.core.Submit(lastingSpec("lasting", 1000))
	for range int(maxStartWait / (100 * time.Millisecond)) {
		h.advance(100 * time.Millisecond)
		h.startAll("innocent")
		h.reportProgress("stays")
	}
	t.Logf("%d runs beside the long-running task, %d tasks wait apart", len(h.core.hosts["stays"].runs), len(h.core.suspects))
	require.True(t, h.ordered("lasting"), "the host has room")
}

// reportProgress reports all runs of a host as running.
func (h *harness) reportProgress(name workload.HostName) {
	m := &msg.RunsProgress{Epoch: h.core.epoch, Instance: workload.Instance("i-" + string(name)), StartedAtMS: 1}
	for id := range h.core.hosts[name].runs {
		m.Runs = append(m.Runs, msg.RunStatus{Run: id, CPULimitPercent: 100})
	}
	h.core.RunsProgress(name, m)
	h.process()
}

// Guards against tasks that fail on a host at once and keep a sound long-running task
// of lower priority from starting there: each failure put off the end of the time in
// which the host gets no tasks, and at its end the next failing task started.
func TestFailingTasksDelayNoLongRunningTask(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	for i := range 10 {
		h.core.Submit(newSpec(fmt.Sprintf("failing-%d", i), newStep(1, 4000)))
	}
	lasting := lastingSpec("lasting", 1000)
	lasting.Priority = 1
	h.core.Submit(lasting)
	h.process()
	ended := map[workload.RunID]bool{}
	for range int(maxStartWait / (100 * time.Millisecond)) {
		for run := range h.started {
			if run.Task.Job != "lasting" && !ended[run] {
				ended[run] = true
				h.reportEnd(run, workload.EndFailed, "")
			}
		}
		h.advance(100 * time.Millisecond)
	}
	t.Logf("%d tasks have failed", len(ended))
	require.True(t, h.ordered("lasting"), "the host was idle but for tasks that failed at once")
}

// Guards against more urgent tasks that take the whole rate of start requests without
// end, while a long-running task waits and the hosts are nearly idle.
func TestRateOfOrdersDelaysNoLongRunningTask(t *testing.T) {
	h := newHarness(t, 1)
	h.core.LimitOrders(625_000) // half of a connection of 10 Mbit/s
	for i := range 10 {
		h.link(readyHost(fmt.Sprintf("host-%d", i), 32_000))
	}
	lasting := lastingSpec("lasting", 1000)
	lasting.Steps[0].Estimate = time.Hour
	h.core.Submit(lasting)
	ended := map[workload.RunID]bool{}
	for i := range int(maxStartWait / (100 * time.Millisecond)) {
		short := newSpec(fmt.Sprintf("short-%d", i), newStep(20, 100))
		short.Specification = strings.Repeat("x", 4000)
		h.core.Submit(short)
		h.advance(100 * time.Millisecond)
		for run := range h.started {
			if run.Task.Job != "lasting" && !ended[run] {
				ended[run] = true
				h.reportEnd(run, workload.EndDone, "")
			}
		}
	}
	t.Logf("%d short tasks have run", len(ended))
	require.True(t, h.ordered("lasting"), "the hosts have room")
}

// Guards against an isolated task that never starts because other tasks, whose runs
// last longer than a reservation, take the room each time one ends unused.
func TestIsolatedTaskStartsAmongLongRuns(t *testing.T) {
	const runTime = 5 * time.Second
	h := newHarness(t, 1)
	backlog := newSpec("backlog", newStep(1000, 1800))
	backlog.Priority = 1
	h.core.Submit(backlog)
	h.link(readyHost("stays", 4000))
	h.startAll("backlog")
	h.core.Submit(newSpec("crashing", newStep(1, 3000)))
	for _, name := range []string{"a", "b"} {
		h.link(readyHost(name, 3000))
		h.advance(100 * time.Millisecond)
		h.startAll("crashing")
		h.crash(h.hostOfRun("crashing"))
		h.storeBatch()
	}
	crashing := h.core.jobs["crashing"].steps[0].tasks[0]
	require.Equal(t, taskIsolated, crashing.suspicion)
	endsAt := map[workload.RunID]time.Duration{}
	for h.now < time.Minute && len(crashing.runs) == 0 {
		h.advance(100 * time.Millisecond)
		for run := range h.started {
			switch at, known := endsAt[run]; {
			case run.Task.Job != "backlog":
			case !known:
				endsAt[run] = h.now + runTime + time.Duration(len(endsAt)%2)*runTime/2
			case at == h.now:
				h.reportEnd(run, workload.EndDone, "")
			}
		}
	}
	t.Logf("ordered after %v, %d other runs", h.now, len(endsAt))
	require.NotEmpty(t, crashing.runs)
}

// Guards against an isolated task that is not looked at again when the pause between
// two reservations of a host ends, since nothing else has changed.
func TestIsolatedTaskStartsAfterThePauseOfReservations(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("stays", 4000))
	h.core.Submit(newSpec("busy", newStep(1, 2000)))
	h.process()
	h.startAll("busy")
	h.core.Submit(newSpec("crashing", newStep(1, 3000)))
	for _, name := range []string{"a", "b"} {
		h.link(readyHost(name, 3000))
		h.advance(100 * time.Millisecond)
		h.startAll("crashing")
		h.crash(h.hostOfRun("crashing"))
		h.storeBatch()
	}
	h.advance(maxReservation + 500*time.Millisecond)
	require.Empty(t, h.core.reserved)
	h.reportEnd(runID("busy", 0, 0, 1), workload.EndDone, "")
	h.advance(reservationPause)
	require.NotEmpty(t, h.core.jobs["crashing"].steps[0].tasks[0].runs)
}

// Guards against a probation that lasts as long as the runs of a host fail one after
// another: each failed run put off its end, though no new run had started.
func TestRunsFailingInTurnDelayNoLongRunningTask(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 32_000))
	for i := range 10 {
		h.core.Submit(newSpec(fmt.Sprintf("failing-%d", i), newStep(1, 1000)))
	}
	h.process()
	for i := range 2 {
		h.reportEnd(runID(fmt.Sprintf("failing-%d", i), 0, 0, 1), workload.EndFailed, "")
	}
	h.core.Submit(lastingSpec("lasting", 1000))
	for i := 2; i < 8; i++ {
		h.advance(maxStartWait / 6)
		h.reportEnd(runID(fmt.Sprintf("failing-%d", i), 0, 0, 1), workload.EndFailed, "")
	}
	require.True(t, h.ordered("lasting"), "the host has room")
}

// Guards against a long-running task that never finds room: its host is full of short
// tasks that end one at a time, and each leaves room for another short one only.
func TestShortTasksInTurnDelayNoLargerLongRunningTask(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("short", newStep(100, 1000)))
	h.process()
	h.core.Submit(lastingSpec("lasting", 2000))
	ended := 0
	for i := range int(maxStartWait / (100 * time.Millisecond)) {
		h.advance(100 * time.Millisecond)
		if runs := h.core.hosts["a"].sortedRuns(); i%5 == 0 && len(runs) > 0 && runs[0].id.Task.Job == "short" {
			ended++
			h.reportEnd(runs[0].id, workload.EndDone, "")
		}
	}
	t.Logf("%d short tasks have ended", ended)
	require.True(t, h.ordered("lasting"), "the host could have kept the room of two of them")
}
