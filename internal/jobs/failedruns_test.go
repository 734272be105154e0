package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// permutations returns all orders of the numbers below n.
func permutations(n int) [][]int {
	if n == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, p := range permutations(n - 1) {
		for i := range n {
			q := append(append(append([]int(nil), p[:i]...), n-1), p[i:]...)
			all = append(all, q)
		}
	}
	return all
}

// Guards against a task that is started after its last allowed attempt: its failed
// runs ended on several hosts, none is stored, and the hosts send their inventories to
// the new owner in any order.
func TestFailedRunsCountInAnyOrderOfInventories(t *testing.T) {
	const epoch, attempts = 3, 3
	task := workload.TaskID{Job: "j"}
	for stored := range attempts {
		for _, order := range permutations(attempts) {
			h := newHarness(t, epoch)
			spec := newSpec("j", newStep(1, 1000))
			spec.MaxAttempts, spec.Epoch = attempts, epoch-1
			run := func(n int) workload.RunID { return workload.RunID{Task: task, Number: 1<<epochShift + uint64(n) + 1} }
			h.core.Restore(spec, storedFailures(t, spec, stored, run))
			hosts := []workload.Host{readyHost("a", 4000), readyHost("b", 4000), readyHost("c", 4000)}
			for _, info := range hosts {
				h.core.ExpectHost(info.Name)
			}
			h.core.Recover(FormerOwnersActive)
			for _, i := range order {
				h.core.Linked(hosts[i])
				h.core.Inventory(&msg.HostInventory{Epoch: epoch, Host: hosts[i], Ended: []msg.RunEnd{{Number: 1, Run: run(i), Reason: workload.EndFailed}}})
				h.storeHosts()
				h.process()
			}
			require.Empty(t, h.started, "%d stored, order %v", stored, order)
			h.storeBatch()
			require.Equal(t, workload.Failed, h.lastPhase("j"), "%d stored, order %v", stored, order)
		}
	}
}

// storedFailures returns the progress of a job whose owner stored the first n failed
// runs of its task.
func storedFailures(t *testing.T, spec workload.Job, n int, run func(int) workload.RunID) *workload.Progress {
	if n == 0 {
		return nil
	}
	h := newHarness(t, 2)
	h.core.Submit(spec)
	for i := range n {
		h.core.task(run(i).Task).fail(run(i).Number, "a")
	}
	p := h.core.jobs[spec.ID].progress()
	return &p
}

// Guards against failed runs that count twice or not at all: agents report an end until
// it is acknowledged, owners change in between, and their reports arrive in any order.
func TestFailedRunsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfN(rapid.Uint64Range(1, 1<<50), 0, maxFailedRunNumbers).Draw(t, "reports")
		distinct := map[uint64]bool{}
		var f failedRuns
		for i, n := range numbers {
			require.Equal(t, !distinct[n], f.add(n))
			distinct[n] = true
			if rapid.Bool().Draw(t, "restart") {
				var a workload.TaskAttempts
				f.store(&a)
				f = restoreFailedRuns(a)
			}
			again := rapid.SampledFrom(numbers[:i+1]).Draw(t, "again")
			require.False(t, f.add(again))
		}
		require.Equal(t, len(distinct), f.count)
	})
}

// Guards against attempts beyond the limit when many runs have failed: the oldest
// numbers are not kept, and an end that was counted is not counted again.
func TestFailedRunsBeyondThoseKeptCountOnce(t *testing.T) {
	var f failedRuns
	for n := uint64(1); n <= 3*maxFailedRunNumbers; n++ {
		require.True(t, f.add(n))
		require.False(t, f.add(n))
		require.False(t, f.add(1))
	}
	require.Equal(t, 3*maxFailedRunNumbers, f.count)
	require.LessOrEqual(t, len(f.numbers), maxFailedRunNumbers)
}

// Guards against failed runs that count again after an owner of the former program: its
// rows have the number of the last failed run only.
func TestFailedRunsOfAFormerProgram(t *testing.T) {
	f := restoreFailedRuns(workload.TaskAttempts{Failed: 2, LastFailed: 7})
	require.False(t, f.add(5))
	require.False(t, f.add(7))
	require.True(t, f.add(8))
	require.Equal(t, 3, f.count)
	var a workload.TaskAttempts
	f.store(&a)
	require.Equal(t, workload.TaskAttempts{Failed: 3, LastFailed: 8, FailedRuns: []uint64{8}}, a)
	f = restoreFailedRuns(a)
	require.False(t, f.add(6))
}
