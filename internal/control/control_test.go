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

func names(prefix string, n int) (ids []model.JobID) {
	for i := range n {
		ids = append(ids, model.JobID(fmt.Sprintf("%s%d", prefix, i)))
	}
	return ids
}

// Guards against an accepted job that is not run, or is run twice.
func TestJobRunsOnce(t *testing.T) {
	run(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(10*time.Second, "j1", "j2", "j3")
		w.reaches(20*time.Second, "done", "j1", "j2", "j3")
		require.Equal(t, 3, w.started())
		require.Equal(t, model.JobRow{Spec: w.table.job("j1").Spec, Phase: "done", Attempt: 1, Worker: w.table.job("j1").Worker,
			Result: "result/j1/1"}, w.table.job("j1"))
		w.pass(5 * time.Minute)
		require.Equal(t, 3, w.started())
	})
}

// Guards against work that is lost by an eviction, and against a stop before
// the checkpoint's name is committed.
func TestEvictionResumesFromCommittedCheckpoint(t *testing.T) {
	run(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(time.Minute, "j")
		w.reaches(5*time.Second, "running", "j")
		w.pass(30 * time.Second)
		require.NoError(t, w.entries["a"].ctl.Send(w.ctx, control.EvictJob{Job: "j", Reason: "test"}))
		w.until(5*time.Second, "a second attempt", func() bool { return w.table.job("j").Attempt == 2 })
		require.Equal(t, "checkpoint/j/1/1", w.table.job("j").Checkpoint)
		require.Equal(t, uint32(1), w.table.job("j").Evictions)
		status, err := actor.Ask(w.ctx, w.entries["a"].ctl, func(r actor.Reply[model.CellStatus]) control.Message { return control.StatusQuery{Reply: r} })
		require.NoError(t, err)
		require.Len(t, status.Evictions, 1)
		require.Equal(t, 1, status.Evictions[0].Count)
		w.reaches(35*time.Second, "done", "j") // the 30 s before the eviction are not repeated
	})
}

// Guards against a completion that is counted twice or whose repetition
// changes the row.
func TestCompletionReportedTwiceCountsOnce(t *testing.T) {
	run(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(10*time.Second, "j")
		w.reaches(5*time.Second, "running", "j")
		w.agents["w1"].links["a"].loseDown.Store(true) // neither renewals nor acknowledgements arrive
		w.reaches(12*time.Second, "done", "j")
		before := w.table.version("j")
		w.pass(12 * time.Second)
		w.agents["w1"].links["a"].loseDown.Store(false)
		w.pass(time.Minute)
		require.Equal(t, before, w.table.version("j"))
		require.Equal(t, 1, w.status()["a"].Phases["done"])
		require.Equal(t, 1, w.started())
	})
}

// Guards against jobs that are lost or doubled when a controller is killed at
// any moment with placements, evictions and completions in flight.
func TestSuccessorTakesOver(t *testing.T) {
	for kill := time.Duration(0); kill < 3*time.Second; kill += 53 * time.Millisecond {
		run(t, 3, []model.EntryID{"a", "b"}, func(w *world) {
			owner := w.owner()
			w.pass(time.Second)
			w.table.set(func() { w.table.delay = 20 * time.Millisecond })
			early, late := names("e", 4), names("l", 4)
			w.submit(1500*time.Millisecond, early...)
			w.submit(20*time.Second, late...)
			w.reaches(5*time.Second, "running", late[0])
			require.NoError(t, owner.ctl.Send(w.ctx, control.EvictJob{Job: late[0], Reason: "test"}))
			w.submit(5*time.Second, names("n", 4)...)
			w.pass(kill)
			w.killEntry(owner.id)
			w.reaches(time.Minute, "done", append(append(names("n", 4), early...), late...)...)
			require.LessOrEqual(t, w.started(), 12+4, "more attempts than evictions and takeovers explain")
		})
	}
}

// Guards against a frozen owner that acts on after its successor took over.
func TestTwoControllersBelieveTheyOwn(t *testing.T) {
	run(t, 2, []model.EntryID{"a", "b"}, func(w *world) {
		first := w.owner()
		w.submit(40*time.Second, names("r", 3)...)
		w.reaches(5*time.Second, "running", names("r", 3)...)
		thaw := make(chan struct{})
		first.pause.Store(&thaw)
		w.submit(10*time.Second, names("n", 3)...)
		w.pass(15 * time.Second)
		second := w.owner()
		require.NotEqual(t, first.id, second.id)
		w.pass(20 * time.Second)
		first.pause.Store(nil)
		close(thaw)
		w.pass(time.Second)
		require.Equal(t, "watching", w.status()[first.id].State)
		w.reaches(time.Minute, "done", append(names("n", 3), names("r", 3)...)...)
		require.Equal(t, 6, w.started())
	})
}

// Guards against running tasks that are stopped by an outage of the table,
// against placements during it, and against leases renewed past the bound.
func TestStoreAway(t *testing.T) {
	run(t, 2, []model.EntryID{"a", "b"}, func(w *world) {
		owner := w.owner()
		w.submit(4*time.Minute, "short")
		w.submit(30*time.Minute, "batch", "watcher")
		w.table.edit("watcher", func(r *model.JobRow) { r.Spec.LongRunning = true })
		w.reaches(5*time.Second, "running", "short", "batch", "watcher")
		w.submit(time.Second, "later")
		w.table.set(func() { w.table.away = true })
		w.pass(5 * time.Minute)
		require.Equal(t, "holding", w.status()[owner.id].State)
		require.Equal(t, 3, w.started())
		require.Equal(t, 1, w.done("short"))
		w.table.set(func() { w.table.away = false })
		w.reaches(20*time.Second, "done", "short", "later")
		require.Equal(t, owner.id, w.owner().id, "an outage is not a silent owner")
		require.Equal(t, 4, w.started())

		w.table.set(func() { w.table.away = true })
		w.pass(12 * time.Minute)
		require.Equal(t, 1, w.running(), "the watcher only")
		w.table.set(func() { w.table.away = false })
		w.reaches(40*time.Minute, "done", "batch", "watcher")
		require.Equal(t, 5, w.started())
		require.GreaterOrEqual(t, w.logged(owner, event.CellHolding), 2)
	})
}

// Guards against an effect that is missing or doubled because the response of
// the transaction that carries it was lost.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name, mark string
		late       time.Duration
	}{
		{"placement", `"phase":"placed"`, 0}, {"start", `"phase":"running"`, 0}, {"eviction", `"phase":"evicting"`, 0},
		{"checkpoint", `"checkpoint":"checkpoint/j0/1/1"`, 0}, {"completion", `"phase":"done"`, 0}, {"all", `"`, 0},
		{"takes effect during the read-back", `"`, time.Millisecond}, {"takes effect during the repetition", `"`, 150 * time.Millisecond},
		{"takes effect after later writes", `"`, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, []model.EntryID{"a"}, func(w *world) {
				w.table.set(func() { w.table.late = c.late })
				lost := map[string]bool{}
				w.table.lose = func(txn storage.Txn) bool {
					for _, p := range txn.Puts {
						if strings.HasPrefix(p.Key, "job/") && strings.Contains(string(p.Value), c.mark) && !lost[txn.Operation] {
							lost[txn.Operation] = true
							return true
						}
					}
					return false
				}
				w.submit(20*time.Second, names("j", 3)...)
				w.reaches(10*time.Second, "running", names("j", 3)...)
				w.pass(3 * time.Second)
				require.NoError(t, w.entries["a"].ctl.Send(w.ctx, control.EvictJob{Job: "j0"}))
				w.reaches(time.Minute, "done", names("j", 3)...)
				require.NotEmpty(t, lost)
				require.Equal(t, 4, w.started())
			})
		})
	}
}

// Guards against a frozen agent whose attempts run on beside their successors.
func TestAgentFrozenPastItsLease(t *testing.T) {
	run(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(10*time.Minute, names("j", 4)...)
		w.reaches(5*time.Second, "running", names("j", 4)...)
		thaw := w.freezeAgent(w.table.job("j0").Worker)
		w.until(2*time.Minute, "a new attempt", func() bool { return w.table.job("j0").Attempt == 2 && w.table.job("j0").Phase == "running" })
		thaw()
		w.reaches(11*time.Minute, "done", names("j", 4)...)
		require.Equal(t, w.started()-4, w.logged(w.entries["a"], event.AttemptLost))
	})
}

// Guards against a restarted agent that loses or doubles running tasks.
func TestAgentRestarted(t *testing.T) {
	run(t, 1, []model.EntryID{"a"}, func(w *world) {
		w.submit(time.Minute, names("j", 4)...)
		w.reaches(5*time.Second, "running", names("j", 4)...)
		w.killAgent("w1")
		w.pass(10 * time.Second)
		w.startAgent(w.agents["w1"])
		w.reaches(time.Minute, "done", names("j", 4)...)
		require.Equal(t, 4, w.started())
	})
}

// Guards against a job that waits for ever for a host that has failed, and
// against a second attempt before the first has certainly ended.
func TestHostFails(t *testing.T) {
	run(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(2*time.Minute, "j")
		w.reaches(5*time.Second, "running", "j")
		failed := w.table.job("j").Worker
		w.killAgent(failed)
		w.until(time.Minute, "a new attempt", func() bool { return w.table.job("j").Attempt == 2 })
		require.NotEqual(t, failed, w.table.job("j").Worker)
		w.reaches(3*time.Minute, "done", "j")
	})
}

// Guards against a link that works in one direction only.
func TestOneWayPartition(t *testing.T) {
	for _, up := range []bool{false, true} {
		run(t, 2, []model.EntryID{"a"}, func(w *world) {
			w.submit(3*time.Minute, names("j", 4)...)
			w.reaches(5*time.Second, "running", names("j", 4)...)
			a := w.agents[w.table.job("j0").Worker]
			a.links["a"].loseUp.Store(up)
			a.links["a"].loseDown.Store(!up)
			w.pass(90 * time.Second)
			a.links["a"].loseUp.Store(false)
			a.links["a"].loseDown.Store(false)
			w.reaches(6*time.Minute, "done", names("j", 4)...)
		})
	}
}

// Guards against commands and renewals that arrive long after they were sent.
func TestDelayedLink(t *testing.T) {
	run(t, 2, []model.EntryID{"a"}, func(w *world) {
		w.submit(3*time.Minute, names("j", 4)...)
		w.reaches(5*time.Second, "running", names("j", 4)...)
		a := w.agents[w.table.job("j0").Worker]
		a.links["a"].delayDown.Store(int64(50 * time.Second))
		w.submit(time.Minute, names("n", 8)...)
		w.pass(4 * time.Minute)
		a.links["a"].delayDown.Store(0)
		w.reaches(10*time.Minute, "done", append(names("n", 8), names("j", 4)...)...)
	})
}

// Guards against a wave of cancellations that takes a transaction each, and
// against a start after a cancellation.
func TestCancellationWave(t *testing.T) {
	const wave = 10000
	run(t, 2, []model.EntryID{"a"}, func(w *world) {
		ids := names("j", wave)
		w.submit(time.Hour, ids...)
		w.until(20*time.Second, "full workers", func() bool { return w.running() == 8 })
		w.pass(5 * time.Second)
		before, started := w.commits(), w.started()
		for _, id := range ids {
			w.table.edit(id, func(r *model.JobRow) { r.CancelRequested = true })
		}
		w.reaches(time.Minute, "cancelled", ids...)
		require.LessOrEqual(t, w.commits()-before, wave/100)
		require.Zero(t, w.running())
		w.pass(time.Minute)
		require.Equal(t, started, w.started())
		require.Equal(t, wave, w.status()["a"].Phases["cancelled"])
	})
}
