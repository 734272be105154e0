package jobs

import (
	"slices"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// maxFailedRunNumbers bounds the run numbers that are kept of one task, and so its
// part of a row.
const maxFailedRunNumbers = 8

// failedRuns counts the failed runs of a task, each once. An agent reports an end again
// to each new owner until the end is acknowledged, and the reports of several agents
// arrive in any order.
type failedRuns struct {
	count     int
	numbers   []uint64 // ascending, of the newest counted runs
	countedTo uint64   // runs up to this number count no more
}

// add counts the run of a number. It reports false if the run was counted before.
func (f *failedRuns) add(number uint64) bool {
	i, known := slices.BinarySearch(f.numbers, number)
	if known || number <= f.countedTo {
		return false
	}
	f.count++
	f.numbers = slices.Insert(f.numbers, i, number)
	if len(f.numbers) > maxFailedRunNumbers {
		f.countedTo = f.numbers[0]
		f.numbers = slices.Delete(f.numbers, 0, 1)
	}
	return true
}

// store sets the fields of a stored task that describe its failed runs.
func (f *failedRuns) store(a *workload.TaskAttempts) {
	a.Failed, a.FailedRuns = f.count, slices.Clone(f.numbers)
	if n := len(f.numbers); n > 0 {
		a.LastFailed = f.numbers[n-1]
	}
}

// restoreFailedRuns is the inverse of store. Rows of a former program have no numbers
// but the last.
func restoreFailedRuns(a workload.TaskAttempts) failedRuns {
	f := failedRuns{count: a.Failed, numbers: slices.Clone(a.FailedRuns)}
	switch {
	case len(f.numbers) == 0:
		f.countedTo = a.LastFailed
	case f.count > len(f.numbers):
		f.countedTo = f.numbers[0] - 1
	}
	return f
}
