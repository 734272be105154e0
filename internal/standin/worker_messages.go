package standin

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
)

type workerReply[T any] = actor.Reply[answer[T]]

type startMsg struct {
	spec    TaskSpec
	program Program
	reply   workerReply[TaskView]
}

func (m startMsg) handle(s *workerState) {
	t, known := s.tasks[m.spec.ID]
	if known {
		s.counts.RepeatStarts++
	} else {
		t = s.newTask(m.spec, m.program)
		s.recordStart(t, 0)
		t.renew(m.spec.LeaseMs)
		t.step(taskStart)
	}
	m.reply.Put(answer[TaskView]{value: t.view()})
}

func (s *workerState) newTask(spec TaskSpec, p Program) *task {
	t := &task{worker: s, spec: spec, program: p, state: taskChart.Initial(), percent: 100, startedAt: time.Now(), runIndex: -1}
	t.ctx, t.cancel = context.WithCancel(s.group.Context())
	s.tasks[spec.ID] = t
	return t
}

// renew sets the lease to end ms milliseconds from now, on the worker's clock.
func (t *task) renew(ms int64) {
	d := time.Duration(ms) * time.Millisecond
	t.worker.timers.cancel(t.leaseTimer)
	t.leaseExpiresAt = time.Now().Add(d)
	t.leaseTimer = t.worker.timers.afterFunc(max(d, time.Nanosecond), func() {
		if t.step(taskExpire) {
			t.worker.counts.Expired++
		}
	})
}

// commandMsg is a command to a task: an event of its chart, or a renewal of its
// lease.
type commandMsg struct {
	id      string
	event   chart.Event
	renewMs int64 // if positive: renew the lease and ignore event
	percent int   // new speed; only with taskThrottle
	reply   workerReply[TaskView]
}

func (m commandMsg) handle(s *workerState) {
	t, known := s.tasks[m.id]
	switch {
	case !known && m.event == taskStop && m.renewMs == 0:
		t = s.newTask(TaskSpec{ID: m.id}, Program{Steps: 1}) // recorded, so that a start that arrives later has no effect
	case !known:
		m.reply.Put(answer[TaskView]{err: ErrUnknownTask})
		return
	}
	m.reply.Put(t.command(m))
}

func (t *task) command(m commandMsg) answer[TaskView] {
	switch {
	case m.renewMs > 0 && t.active():
		t.renew(m.renewMs)
	case m.renewMs > 0:
		return answer[TaskView]{t.view(), ErrNotRunning}
	case m.event == taskThrottle && t.state == taskRunning:
		t.updateRunTime()
		t.percent = m.percent
		t.step(taskThrottle)
	case m.event == taskThrottle && t.active():
		t.percent = m.percent // takes effect when the program starts
	case !t.step(m.event) && m.event != taskStop:
		return answer[TaskView]{t.view(), ErrNotRunning}
	}
	return answer[TaskView]{value: t.view()}
}

// checkpointMsg requests a checkpoint. The reply is sent when it is stored.
type checkpointMsg struct {
	id    string
	reply workerReply[TaskView]
}

func (m checkpointMsg) handle(s *workerState) {
	t, known := s.tasks[m.id]
	if !known {
		m.reply.Put(answer[TaskView]{err: ErrUnknownTask})
		return
	}
	if !t.step(taskCheckpoint) {
		m.reply.Put(answer[TaskView]{t.view(), ErrNotRunning})
		return
	}
	t.checkpointReplies = append(t.checkpointReplies, m.reply)
}

// loadedMsg reports the content of a checkpoint. ok is false if the object is
// absent or malformed.
type loadedMsg struct {
	id   string
	step int
	ok   bool
}

func (m loadedMsg) handle(s *workerState) {
	t, known := s.tasks[m.id]
	switch {
	case !known || t.state != taskLoading:
	case !m.ok:
		t.step(taskMissing)
	default:
		t.runTime = t.program.runTimeTo(m.step)
		s.runs[t.runIndex].FromStep = m.step
		t.step(taskLoaded)
	}
}

// savedMsg reports that a checkpoint is stored. number counts the checkpoints of
// the task from 1.
type savedMsg struct {
	id, name string
	number   int
}

func (m savedMsg) handle(s *workerState) {
	t, known := s.tasks[m.id]
	if !known || !t.active() {
		return
	}
	t.checkpoint = m.name
	if m.number == t.checkpointsStarted {
		t.answerCheckpoints(nil)
	}
}

// writtenMsg reports that the result is stored.
type writtenMsg struct{ id string }

func (m writtenMsg) handle(s *workerState) {
	if t, known := s.tasks[m.id]; known {
		t.step(taskWritten)
	}
}

type tasksMsg struct{ reply workerReply[[]TaskView] }

func (m tasksMsg) handle(s *workerState) { m.reply.Put(answer[[]TaskView]{value: s.views()}) }

type infoMsg struct{ reply workerReply[WorkerView] }

func (m infoMsg) handle(s *workerState) {
	v := WorkerView{ID: s.ID, Capacity: s.Capacity, Usage: UsageView{AgeMs: s.usageLag().Milliseconds()}}
	for _, t := range s.tasks {
		if r, ok := t.usageAt(time.Now().Add(-s.usageLag())); ok {
			v.Usage.Resources = v.Usage.Add(r)
		}
		if t.active() {
			v.Tasks++
		}
	}
	m.reply.Put(answer[WorkerView]{value: v})
}

type workerControlMsg struct {
	faults *WorkerFaults
	reply  workerReply[WorkerState]
}

func (m workerControlMsg) handle(s *workerState) {
	if m.faults != nil {
		s.faults = *m.faults
	}
	state := s.counts
	state.Faults = s.faults
	m.reply.Put(answer[WorkerState]{value: state})
}

type runsMsg struct{ reply workerReply[[]TaskRun] }

func (m runsMsg) handle(s *workerState) {
	m.reply.Put(answer[[]TaskRun]{value: append([]TaskRun{}, s.runs...)})
}
