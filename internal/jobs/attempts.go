package jobs

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// MaxRowBytes bounds the value of a row, in bytes. It has 64 KB in base64, which is as
	// much as the table service accepts.
	MaxRowBytes = 48 << 10
	// tasksPerPart is the number of tasks whose attempts are stored in one row. A job
	// of no more tasks has them in its progress row, a larger one in rows of their own.
	tasksPerPart = 256
	// maxRowCheckpoints bounds the checkpoints in a row, in bytes. With the other
	// figures of tasksPerPart tasks, 106 bytes each at most, a row stays below
	// MaxRowBytes. A task whose checkpoint is not stored may lose its
	// progress when the owner changes.
	maxRowCheckpoints = 20 << 10
	// maxJobParts bounds the rows of attempts of one job in a batch, so that a large job
	// leaves room for others.
	maxJobParts = 16
	// maxBatchBytes bounds the job rows of a batch by their estimated size. The store
	// accepts 1 MB in base64.
	maxBatchBytes  = 600 << 10
	attemptBytes   = 42 // of the encoding of a task's attempts without its lists and checkpoint
	failedRunBytes = 8  // of the number of a failed run
	progressBytes  = 64 // of the encoding of a progress row without its lists
)

// AttemptsPart is a row with the attempts of some tasks of a job.
type AttemptsPart struct {
	Number   int
	Attempts []workload.TaskAttempts
}

func (p *AttemptsPart) size() int { return attemptsSize(p.Attempts) }

func attemptsSize(attempts []workload.TaskAttempts) int {
	n := 0
	for _, a := range attempts {
		n += attemptBytes + failedRunBytes*len(a.FailedRuns) + len(a.Checkpoint)
	}
	return n
}

func progressSize(p *workload.Progress) int {
	return progressBytes + len(p.Done) + len(p.Failure) + attemptsSize(p.Attempts)
}

// taskCount returns the number of tasks of the job.
func (j *job) taskCount() int {
	n := 0
	for _, s := range j.steps {
		n += len(s.tasks)
	}
	return n
}

// parts returns the number of rows of attempts that the job may have.
func (j *job) parts() int {
	if n := j.taskCount(); n > tasksPerPart {
		return (n + tasksPerPart - 1) / tasksPerPart
	}
	return 0
}

// attemptsChanged makes the next batch that writes the job store the attempts of the
// task.
func (t *task) attemptsChanged() {
	j := t.step.job
	if j.parts() == 0 {
		return // they are in the progress row
	}
	j.addPart(&j.dirtyParts, t.part())
}

// part returns the number of the row with the attempts of the task in a large job.
func (t *task) part() int { return (t.step.firstTask + t.index) / tasksPerPart }

// nextParts returns rows of attempts to store, up to a number and an estimated size,
// and removes them from the changed ones. Those of the round come first.
func (j *job) nextParts(count, bytes int) []AttemptsPart {
	numbers := slices.SortedFunc(maps.Keys(j.dirtyParts), func(a, b int) int {
		_, first := j.roundParts[a]
		if _, other := j.roundParts[b]; first != other {
			if first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	var parts []AttemptsPart
	for _, n := range numbers[:min(len(numbers), count, maxJobParts)] {
		p := AttemptsPart{Number: n, Attempts: j.attempts(n*tasksPerPart, (n+1)*tasksPerPart)}
		if bytes -= p.size(); bytes < 0 {
			break
		}
		parts = append(parts, p)
		delete(j.dirtyParts, n)
		delete(j.roundParts, n)
	}
	return parts
}

// attempts returns the attempts of the tasks from the number first to below end.
func (j *job) attempts(first, end int) []workload.TaskAttempts {
	var list []workload.TaskAttempts
	left := maxRowCheckpoints
	for _, s := range j.steps {
		low, high := max(0, first-s.firstTask), min(len(s.tasks), end-s.firstTask)
		for i := low; i < high; i++ {
			a, any := s.tasks[i].attempts()
			if !any {
				continue
			}
			if left -= len(a.Checkpoint); left < 0 {
				left += len(a.Checkpoint)
				a.Checkpoint = ""
			}
			list = append(list, a)
		}
	}
	return list
}

// attempts returns what is stored of the task besides whether it is done, and whether
// there is anything.
func (t *task) attempts() (workload.TaskAttempts, bool) {
	a := workload.TaskAttempts{
		Step: t.step.number, Index: t.index, Checkpoint: t.checkpoint,
		Crashes: t.crashes.possible, CrashesAlone: t.crashes.alone, CrashAge: t.crashes.age,
	}
	t.failedRuns.store(&a)
	return a, a.Failed > 0 || t.checkpoint != "" && !t.done || t.crashes.possible > 0 && !t.done
}
