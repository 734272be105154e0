package jobs

import (
	"fmt"
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/crashsuspect.scxml, in the order of SuspectBinding.
const (
	taskTrusted chart.State = iota
	taskSuspect
	taskUnstored
	taskIsolated
	taskRejected
)

// Events of charts/crashsuspect.scxml, in the order of SuspectBinding.
const (
	evCrashed chart.Event = iota
	evStored
	evSurvived
)

const (
	// crashWindow is the age up to which a run counts as a possible cause of the
	// crash of its backend server. It includes the time until the crash is noticed.
	crashWindow = 500 * time.Millisecond
	// minLosses is the number of crashes in succession after which a task is a
	// possible cause whatever the age of its runs.
	minLosses = 3
	// lossMemory is the age from which a run shows that its task is not the cause of
	// earlier crashes.
	lossMemory = time.Minute

	// A task is given up after maxCrashes if one of them happened while only it could
	// be the cause, and in any case after maxCrashesAtAll: after three crashes it may
	// be started twice more.
	maxCrashes      = 3
	maxCrashesAtAll = 5

	// A run is no longer a possible cause when it is twice as old as those of its
	// task at the crashes, and survivalMargin, for late reports of crashes.
	survivalMargin  = 200 * time.Millisecond
	minSurvivalTime = 400 * time.Millisecond
	maxSurvivalTime = 3 * time.Second
)

var suspectChart *chart.Machine[task]

func init() { suspectChart = chart.MustCompile(charts.Files, SuspectBinding()) }

// SuspectBinding binds charts/crashsuspect.scxml.
func SuspectBinding() chart.Binding[task] {
	return chart.Binding[task]{
		Chart:  "crashsuspect",
		States: []string{"trusted", "suspect", "unstored", "isolated", "rejected"},
		Events: []string{"crashed", "stored", "survived"},
		Guards: map[string]func(*task) bool{
			"proven":   func(t *task) bool { return t.crashes.prove() },
			"repeated": func(t *task) bool { return t.crashes.possible >= minIsolatedCrashes },
			"possible": func(t *task) bool { return t.crashes.possible > 0 || t.crashes.losses >= minLosses },
		},
		Actions: map[string]func(*task){
			"report": (*task).reportFirstCrash,
			"store":  (*task).storeCrashes,
			"queue":  (*task).release,
			"clear":  (*task).clearSuspicion,
			"reject": (*task).rejectSuspect,
		},
	}
}

// crashes counts the crashes of backend servers that ran a task, since a run of it
// has survived.
type crashes struct {
	losses   int           // crashes in succession with a run of the task
	possible int           // crashes of which the task may be the cause
	alone    int           // crashes of which only the task can be the cause, after it was a suspect
	age      time.Duration // greatest age of a run at a crash of which it may be the cause
}

// prove reports whether the counts are enough to give the task up.
func (c crashes) prove() bool {
	return c.alone > 0 && c.possible >= maxCrashes || c.possible >= maxCrashesAtAll
}

// survivalTime returns the age at which a run shows that the task is not the cause.
func (c crashes) survivalTime() time.Duration {
	return min(max(2*c.age+survivalMargin, minSurvivalTime), maxSurvivalTime)
}

// attributeCrash records for the tasks with runs on the host that its backend
// server has crashed, and which of them may be the cause.
func (h *host) attributeCrash() {
	runs := h.possiblyStartedRuns()
	possible := possibleCauses(runs)
	for _, r := range runs {
		c, age := &r.task.crashes, r.age()
		if age >= lossMemory {
			*c = crashes{}
		}
		c.losses++
		if possible[r] {
			c.possible++
			c.age = max(c.age, age)
		}
		if r.unproven && len(possible) == 1 {
			c.alone++
		}
	}
	for _, r := range runs {
		suspectChart.Step(r.task, &r.task.suspicion, evCrashed)
	}
}

// possiblyStartedRuns returns the runs that the backend server has started or may
// have started. A run that is only ordered cannot have crashed it: its start was
// refused or not sent.
func (h *host) possiblyStartedRuns() []*run {
	var list []*run
	for _, r := range h.sortedRuns() {
		if r.mayHaveStarted {
			list = append(list, r)
		}
	}
	return list
}

// possibleCauses returns the runs that may have crashed their backend server:
// those that were ordered within crashWindow, and those of tasks that may have
// crashed one before. The latter do not clear the former: while many tasks are
// suspects, one of them is on every host.
func possibleCauses(runs []*run) map[*run]bool {
	possible := map[*run]bool{}
	for _, r := range runs {
		if r.unproven || r.age() <= crashWindow {
			possible[r] = true
		}
	}
	return possible
}

func (r *run) age() time.Duration { return r.core().now - r.orderedAt }

// observe makes the run one that may still show that its task crashes backend
// servers, until it survives. Nothing starts beside a run of an isolated task.
func (r *run) observe() {
	r.unproven = true
	r.host.unproven++
	if r.task.suspicion == taskIsolated {
		r.holds = true
		r.host.holds++
	}
}

// endObservation ends what observe began.
func (r *run) endObservation() {
	if !r.unproven {
		return
	}
	r.unproven = false
	r.host.unproven--
	if r.holds {
		r.holds = false
		r.host.holds--
		r.host.heldUntil = r.core().now
	}
	r.host.improve()
}

// checkSurvival ends the observation of the run if its host reports it at an age at
// which its task would have crashed the backend server. Without a report the crash
// may have happened and not be known yet.
func (r *run) checkSurvival() {
	if !r.unproven || r.state != runRunning || r.core().now-r.startedAt < r.task.crashes.survivalTime() {
		return
	}
	r.endObservation()
	suspectChart.Step(r.task, &r.task.suspicion, evSurvived)
}

// isSuspect reports whether the task is placed apart from others.
func (t *task) isSuspect() bool { return t.suspicion == taskSuspect || t.suspicion == taskIsolated }

func (t *task) reportSuspect(state string) {
	detail := fmt.Sprintf("%s crashes=%d alone=%d", state, t.crashes.possible, t.crashes.alone)
	t.step.job.core.addDecision(Decision{Kind: TaskSuspected, Job: t.step.job.spec.ID, Run: t.lastRun(), Detail: detail})
}

func (t *task) reportFirstCrash() {
	t.reportSuspect("suspect")
	t.attemptsChanged()
	t.step.job.markDirty()
}

// storeCrashes makes the next batch store the counts, after which the task may
// start again.
func (t *task) storeCrashes() {
	t.reportSuspect("isolated")
	j := t.step.job
	j.unstoredCrashes = append(j.unstoredCrashes, t)
	t.attemptsChanged()
	j.markDirty()
}

// crashesStored lets the task start again.
func (t *task) crashesStored() { suspectChart.Step(t, &t.suspicion, evStored) }

func (t *task) clearSuspicion() {
	t.reportSuspect("cleared")
	t.crashes = crashes{}
	t.attemptsChanged()
	t.step.job.markDirty()
}

// rejectSuspect fails the job of the task.
func (t *task) rejectSuspect() {
	t.reportSuspect("rejected")
	j := t.step.job
	j.failure = fmt.Sprintf("task %d of step %d crashed %d backend servers", t.index, t.step.number, t.crashes.possible)
	j.step(evFail)
}

// restoreCrashes sets the counts to those that are stored.
func (t *task) restoreCrashes(a workload.TaskAttempts) {
	t.crashes = crashes{losses: a.Crashes, possible: a.Crashes, alone: a.CrashesAlone, age: a.CrashAge}
	switch {
	case a.Crashes >= minIsolatedCrashes:
		t.suspicion = taskIsolated
	case a.Crashes > 0:
		t.suspicion = taskSuspect
	}
}
