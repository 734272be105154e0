package jobs

import (
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// progress returns the progress row of the job. Done has a bit for each task, in
// the order of the steps. The attempts of a large job are in rows of their own.
func (j *job) progress() workload.Progress {
	p := workload.Progress{Phase: j.phase(), EndedAtMS: j.endedAtMS, Failure: j.failure}
	if j.phase().Final() {
		return p
	}
	n := 0
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if n%8 == 0 {
				p.Done = append(p.Done, 0)
			}
			if t.done {
				p.Done[n/8] |= 1 << (n % 8)
			}
			n++
		}
	}
	if j.parts() == 0 {
		p.Attempts = j.attempts(0, n)
	}
	return p
}

// restore sets the job to the state of its progress row.
func (j *job) restore(p *workload.Progress) {
	j.storedPhase = p.Phase
	j.endedAtMS, j.failure = p.EndedAtMS, p.Failure
	if p.Phase.Final() {
		j.removeLater()
		j.state = chart.State(p.Phase)
		return
	}
	if p.Phase == workload.Running {
		j.step(evBegin)
	}
	n := 0
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if n/8 < len(p.Done) && p.Done[n/8]&(1<<(n%8)) != 0 {
				t.done = true
				s.unfinished--
			}
			n++
		}
	}
	for _, a := range p.Attempts {
		if t := j.task(workload.TaskID{Step: a.Step, Index: a.Index}); t != nil {
			t.failedRuns, t.checkpoint = restoreFailedRuns(a), a.Checkpoint
			t.restoreCrashes(a)
		}
	}
}
