package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func jobIDs(prefix string, n int) (ids []model.JobID) {
	for i := range n {
		ids = append(ids, model.JobID(fmt.Sprintf("%s%d", prefix, i)))
	}
	return ids
}

// Guards against an accepted job that never runs or runs twice.
func TestJobRunsOnce(t *testing.T) {
	runScenario(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(10*time.Second, "j1", "j2", "j3")
		w.waitForPhase(20*time.Second, "done", "j1", "j2", "j3")
		require.Equal(t, 3, w.startedTasks())
		require.Equal(t, model.JobRow{Spec: w.table.job("j1").Spec, Phase: "done", Attempt: 1, Worker: w.table.job("j1").Worker,
			Result: "result/j1/1"}, w.table.job("j1"))
		w.sleep(5 * time.Minute)
		require.Equal(t, 3, w.startedTasks())
	})
}

// Guards against an eviction that loses the work done so far because the task
// is stopped before the name of its checkpoint is committed.
func TestEvictionResumesFromCommittedCheckpoint(t *testing.T) {
	runScenario(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(time.Minute, "j")
		w.waitForPhase(5*time.Second, "running", "j")
		w.sleep(30 * time.Second)
		require.NoError(t, w.entries["a"].controller.Send(w.ctx, control.EvictJob{Job: "j", Reason: "test"}))
		w.waitUntil(5*time.Second, "a second attempt", func() bool { return w.table.job("j").Attempt == 2 })
		require.Equal(t, "checkpoint/j/1/1", w.table.job("j").Checkpoint)
		require.Equal(t, uint32(1), w.table.job("j").Evictions)
		status, err := actor.Ask(w.ctx, w.entries["a"].controller, func(r actor.Reply[model.CellStatus]) control.Message { return control.StatusQuery{Reply: r} })
		require.NoError(t, err)
		require.Len(t, status.Evictions, 1)
		require.Equal(t, 1, status.Evictions[0].Count)
		w.waitForPhase(35*time.Second, "done", "j") // the 30 s before the eviction are not repeated
	})
}

// Guards against a completion that is counted twice, or that changes the job
// row again, when the agent repeats its report because the acknowledgement was
// lost.
func TestCompletionReportedTwiceCountsOnce(t *testing.T) {
	runScenario(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(10*time.Second, "j")
		w.waitForPhase(5*time.Second, "running", "j")
		w.agents["w1"].links["a"].dropToAgent.Store(true) // the agent receives neither renewals nor acknowledgements
		w.waitForPhase(12*time.Second, "done", "j")
		before := w.table.version("j")
		w.sleep(12 * time.Second)
		w.agents["w1"].links["a"].dropToAgent.Store(false)
		w.sleep(time.Minute)
		require.Equal(t, before, w.table.version("j"))
		require.Equal(t, 1, w.status()["a"].Phases["done"])
		require.Equal(t, 1, w.startedTasks())
	})
}

// Guards against jobs that are lost or run twice when a controller is killed
// while placements, evictions and completions are not yet committed.
func TestSuccessorTakesOver(t *testing.T) {
	for killDelay := time.Duration(0); killDelay < 3*time.Second; killDelay += 53 * time.Millisecond {
		runScenario(t, 3, []model.EntryID{"a", "b"}, func(w *world) {
			owner := w.owner()
			w.sleep(time.Second)
			w.table.withLock(func() { w.table.delay = 20 * time.Millisecond })
			early, late := jobIDs("e", 4), jobIDs("l", 4)
			w.submit(1500*time.Millisecond, early...)
			w.submit(20*time.Second, late...)
			w.waitForPhase(5*time.Second, "running", late[0])
			require.NoError(t, owner.controller.Send(w.ctx, control.EvictJob{Job: late[0], Reason: "test"}))
			w.submit(5*time.Second, jobIDs("n", 4)...)
			w.sleep(killDelay)
			w.killEntry(owner.id)
			w.waitForPhase(time.Minute, "done", append(append(jobIDs("n", 4), early...), late...)...)
			require.LessOrEqual(t, w.startedTasks(), 12+4, "attempts exceed the jobs plus one for each eviction and takeover")
		})
	}
}

// Guards against an owner that is paused, loses the cell to a successor, and
// goes on starting and stopping tasks when it resumes.
func TestPausedOwnerAfterTakeover(t *testing.T) {
	runScenario(t, 2, []model.EntryID{"a", "b"}, func(w *world) {
		pausedOwner := w.owner()
		w.submit(40*time.Second, jobIDs("r", 3)...)
		w.waitForPhase(5*time.Second, "running", jobIDs("r", 3)...)
		resume := make(chan struct{})
		pausedOwner.plannerPause.Store(&resume)
		w.submit(10*time.Second, jobIDs("n", 3)...)
		w.sleep(15 * time.Second)
		successor := w.owner()
		require.NotEqual(t, pausedOwner.id, successor.id)
		w.sleep(20 * time.Second)
		pausedOwner.plannerPause.Store(nil)
		close(resume)
		w.sleep(time.Second)
		require.Equal(t, "watching", w.status()[pausedOwner.id].State)
		w.waitForPhase(time.Minute, "done", append(jobIDs("n", 3), jobIDs("r", 3)...)...)
		require.Equal(t, 6, w.startedTasks())
	})
}

// Guards against an owner that stops running tasks when the table service is
// unavailable, places jobs during the outage, or renews leases beyond their
// renewal limits.
func TestTableServiceUnavailable(t *testing.T) {
	runScenario(t, 2, []model.EntryID{"a", "b"}, func(w *world) {
		owner := w.owner()
		w.submit(4*time.Minute, "short")
		w.submit(30*time.Minute, "batch", "watcher")
		w.table.edit("watcher", func(r *model.JobRow) { r.Spec.LongRunning = true })
		w.waitForPhase(5*time.Second, "running", "short", "batch", "watcher")
		w.submit(time.Second, "later")
		w.table.withLock(func() { w.table.unavailable = true })
		w.sleep(5 * time.Minute)
		require.Equal(t, "holding", w.status()[owner.id].State)
		require.Equal(t, 3, w.startedTasks())
		require.Equal(t, 1, w.completedRuns("short"))
		w.table.withLock(func() { w.table.unavailable = false })
		w.waitForPhase(20*time.Second, "done", "short", "later")
		require.Equal(t, owner.id, w.owner().id, "another entry claimed the cell after an outage of the table service")
		require.Equal(t, 4, w.startedTasks())

		w.table.withLock(func() { w.table.unavailable = true })
		w.sleep(12 * time.Minute)
		require.Equal(t, 1, w.runningTasks(), "only the long-running task runs")
		w.table.withLock(func() { w.table.unavailable = false })
		w.waitForPhase(40*time.Minute, "done", "batch", "watcher")
		require.Equal(t, 5, w.startedTasks())
		require.GreaterOrEqual(t, w.eventCount(owner, event.CellHolding), 2)
	})
}

// Guards against an effect that is lost or carried out twice because the
// response to its transaction was lost.
func TestLostCommitResponses(t *testing.T) {
	for _, fault := range []struct {
		name, valuePart string        // valuePart is in the rows of the transactions whose response is lost
		commitDelay     time.Duration // until these transactions take effect
	}{
		{"placement", `"phase":"placed"`, 0}, {"start", `"phase":"running"`, 0}, {"eviction", `"phase":"evicting"`, 0},
		{"checkpoint", `"checkpoint":"checkpoint/j0/1/1"`, 0}, {"completion", `"phase":"done"`, 0}, {"all", `"`, 0},
		{"takes effect during the read-back", `"`, time.Millisecond}, {"takes effect during the repetition", `"`, 150 * time.Millisecond},
		{"takes effect after later writes", `"`, 3 * time.Second},
	} {
		t.Run(fault.name, func(t *testing.T) {
			runScenario(t, 1, []model.EntryID{"a"}, func(w *world) {
				w.table.withLock(func() { w.table.lostCommitDelay = fault.commitDelay })
				lost := map[string]bool{}
				w.table.loseResponse = func(txn storage.Txn) bool {
					for _, p := range txn.Puts {
						if strings.HasPrefix(p.Key, "job/") && strings.Contains(string(p.Value), fault.valuePart) && !lost[txn.Operation] {
							lost[txn.Operation] = true
							return true
						}
					}
					return false
				}
				w.submit(20*time.Second, jobIDs("j", 3)...)
				w.waitForPhase(10*time.Second, "running", jobIDs("j", 3)...)
				w.sleep(3 * time.Second)
				require.NoError(t, w.entries["a"].controller.Send(w.ctx, control.EvictJob{Job: "j0"}))
				w.waitForPhase(time.Minute, "done", jobIDs("j", 3)...)
				require.NotEmpty(t, lost)
				require.Equal(t, 4, w.startedTasks())
			})
		})
	}
}

// Guards against an agent that is paused beyond its lease and whose attempts run
// at the same time as the attempts that replace them.
func TestAgentPausedBeyondItsLease(t *testing.T) {
	runScenario(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(10*time.Minute, jobIDs("j", 4)...)
		w.waitForPhase(5*time.Second, "running", jobIDs("j", 4)...)
		resume := w.pauseAgent(w.table.job("j0").Worker)
		w.waitUntil(2*time.Minute, "a new attempt", func() bool { return w.table.job("j0").Attempt == 2 && w.table.job("j0").Phase == "running" })
		resume()
		w.waitForPhase(11*time.Minute, "done", jobIDs("j", 4)...)
		require.Equal(t, w.startedTasks()-4, w.eventCount(w.entries["a"], event.AttemptLost))
	})
}

// Guards against running tasks that are lost or started again when their agent
// restarts.
func TestAgentRestarted(t *testing.T) {
	runScenario(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(time.Minute, jobIDs("j", 4)...)
		w.waitForPhase(5*time.Second, "running", jobIDs("j", 4)...)
		w.killAgent("w1")
		w.sleep(10 * time.Second)
		w.startAgent(w.agents["w1"])
		w.waitForPhase(time.Minute, "done", jobIDs("j", 4)...)
		require.Equal(t, 4, w.startedTasks())
	})
}

// Guards against a job that waits for ever for a failed host, and against a
// second attempt that starts before the first has certainly ended.
func TestHostFails(t *testing.T) {
	runScenario(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(2*time.Minute, "j")
		w.waitForPhase(5*time.Second, "running", "j")
		failed := w.table.job("j").Worker
		w.killAgent(failed)
		w.waitUntil(time.Minute, "a new attempt", func() bool { return w.table.job("j").Attempt == 2 })
		require.NotEqual(t, failed, w.table.job("j").Worker)
		w.waitForPhase(3*time.Minute, "done", "j")
	})
}

// Guards against jobs that are lost or run twice while a link delivers messages
// in one direction only.
func TestOneWayPartition(t *testing.T) {
	for _, dropToEntry := range []bool{false, true} {
		runScenario(t, 2, []model.EntryID{"a"}, func(w *world) {
			w.submit(3*time.Minute, jobIDs("j", 4)...)
			w.waitForPhase(5*time.Second, "running", jobIDs("j", 4)...)
			a := w.agents[w.table.job("j0").Worker]
			a.links["a"].dropToEntry.Store(dropToEntry)
			a.links["a"].dropToAgent.Store(!dropToEntry)
			w.sleep(90 * time.Second)
			a.links["a"].dropToEntry.Store(false)
			a.links["a"].dropToAgent.Store(false)
			w.waitForPhase(6*time.Minute, "done", jobIDs("j", 4)...)
		})
	}
}

// Guards against jobs that are lost or run twice because commands and renewals
// arrive long after they were sent.
func TestDelayedLink(t *testing.T) {
	runScenario(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(3*time.Minute, jobIDs("j", 4)...)
		w.waitForPhase(5*time.Second, "running", jobIDs("j", 4)...)
		a := w.agents[w.table.job("j0").Worker]
		a.links["a"].delayToAgent.Store(int64(50 * time.Second))
		w.submit(time.Minute, jobIDs("n", 8)...)
		w.sleep(4 * time.Minute)
		a.links["a"].delayToAgent.Store(0)
		w.waitForPhase(10*time.Minute, "done", append(jobIDs("n", 8), jobIDs("j", 4)...)...)
	})
}

// Guards against many cancellations that take one transaction each, and against
// a task that starts after its job was cancelled.
func TestManyCancellations(t *testing.T) {
	const cancellations = 10000
	runScenario(t, 2, []model.EntryID{"a"}, func(w *world) {
		ids := jobIDs("j", cancellations)
		w.submit(time.Hour, ids...)
		w.waitUntil(20*time.Second, "full workers", func() bool { return w.runningTasks() == 8 })
		w.sleep(5 * time.Second)
		before, started := w.commitCount(), w.startedTasks()
		for _, id := range ids {
			w.table.edit(id, func(r *model.JobRow) { r.CancelRequested = true })
		}
		w.waitForPhase(time.Minute, "cancelled", ids...)
		require.LessOrEqual(t, w.commitCount()-before, cancellations/100)
		require.Zero(t, w.runningTasks())
		w.sleep(time.Minute)
		require.Equal(t, started, w.startedTasks())
		require.Equal(t, cancellations, w.status()["a"].Phases["cancelled"])
	})
}
