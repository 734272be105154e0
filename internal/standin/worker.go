package standin

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	// DefaultUsageLag is the smallest delay of usage reports in
	// docs/design.md section 1.3.
	DefaultUsageLag = 10 * time.Second
	// endedRetention is how long the record of an ended task is kept, so that a
	// repeated start has no effect and an agent that was unavailable learns the
	// outcome.
	endedRetention    = 10 * time.Minute
	objectRetryDelay  = 200 * time.Millisecond
	objectCallTimeout = 5 * time.Second
)

// Errors of commands to a worker's tasks.
var (
	ErrUnknownTask = errors.New("the worker has no task with this id")
	ErrNotRunning  = errors.New("the task is not running: it has ended, or is loading its checkpoint or writing its result")
)

// WorkerConfig describes a simulated worker.
type WorkerConfig struct {
	ID       model.WorkerID
	Capacity model.Resources
	UsageLag time.Duration   // 0: DefaultUsageLag
	Objects  storage.Objects // for checkpoints and results
}

// TaskSpec is the body of POST /v1/tasks.
type TaskSpec struct {
	ID string `json:"id"`
	model.Resources
	LeaseMs          int64  `json:"leaseMs"`
	Program          string `json:"program"`                    // text form of Program
	Checkpoint       string `json:"checkpoint,omitempty"`       // object to resume from
	ResultName       string `json:"resultName,omitempty"`       // object to write; empty: none
	CheckpointPrefix string `json:"checkpointPrefix,omitempty"` // of the names of checkpoint objects
}

// TaskView is a task as GET /v1/tasks and the answers to commands report it.
type TaskView struct {
	ID         string          `json:"id"`
	State      model.TaskState `json:"state"`
	Reason     string          `json:"reason,omitempty"`
	Checkpoint string          `json:"checkpoint,omitempty"` // newest that this task stored
	Result     string          `json:"result,omitempty"`     // object name, once it is done
	Step       int             `json:"step"`                 // complete steps
	Steps      int             `json:"steps"`
	Percent    int             `json:"percent"`         // speed, 0 to 100
	LeaseMs    int64           `json:"leaseMs"`         // remaining; 0 once the task has ended
	RanMs      int64           `json:"ranMs"`           // time from its start to now or its end, independent of its speed
	Usage      *UsageView      `json:"usage,omitempty"` // absent until the first measurement is as old as the usage lag
}

// UsageView is the consumption that was measured AgeMs ago.
type UsageView struct {
	model.Resources
	AgeMs int64 `json:"ageMs"`
}

// WorkerView is the answer to GET /v1/worker.
type WorkerView struct {
	ID       model.WorkerID  `json:"id"`
	Capacity model.Resources `json:"capacity"`
	Usage    UsageView       `json:"usage"`
	Tasks    int             `json:"tasks"` // that have not ended
}

// WorkerFaults are the faults of a worker.
type WorkerFaults struct {
	Outage     bool   `json:"outage"`     // /v1/ answers 503; tasks and leases continue
	FailAll    bool   `json:"failAll"`    // every task fails when it starts
	UsageLagMs *int64 `json:"usageLagMs"` // absent: WorkerConfig.UsageLag
}

// WorkerState is the answer to GET and POST /control.
type WorkerState struct {
	Faults       WorkerFaults `json:"faults"`
	Overcommits  int          `json:"overcommits"`  // starts that exceeded the declared capacity
	RepeatStarts int          `json:"repeatStarts"` // starts of a known task, which had no effect
	Expired      int          `json:"expired"`      // tasks stopped because their lease expired
}

// TaskRun is one run of a task, for a history checker. Times are in nanoseconds
// since the Unix epoch.
type TaskRun struct {
	Task       string          `json:"task"`
	Started    int64           `json:"started"`
	Ended      int64           `json:"ended"` // 0 while it runs
	State      model.TaskState `json:"state"`
	Reason     string          `json:"reason,omitempty"`
	FromStep   int             `json:"fromStep"` // complete steps at the start
	ToStep     int             `json:"toStep"`   // complete steps at the end
	Declared   model.Resources `json:"declared"`
	Overcommit bool            `json:"overcommit,omitempty"` // its start exceeded the worker's capacity
}

// Worker simulates a host that runs tasks under leases. It starts every task,
// even if its capacity does not suffice, and records the overcommit.
type Worker struct {
	to actor.Address[message[*workerState]]
}

// workerState is owned by the worker's actor.
type workerState struct {
	WorkerConfig
	group   *actor.Group
	self    actor.Address[message[*workerState]]
	objects storage.Objects
	timers  *callTimers
	clock   clock
	faults  WorkerFaults
	counts  WorkerState
	tasks   map[string]*task
	runs    []TaskRun
}

// NewWorker starts a worker in g.
func NewWorker(g *actor.Group, c WorkerConfig) *Worker {
	if c.UsageLag == 0 {
		c.UsageLag = DefaultUsageLag
	}
	s := &workerState{WorkerConfig: c, group: g, objects: c.Objects, timers: newCallTimers(), clock: newClock(), tasks: map[string]*task{}}
	to := spawn(g, "worker "+string(c.ID), s.timers, s)
	_ = to.Send(g.Context(), workerSelfMsg{to})
	return &Worker{to}
}

// workerSelfMsg is the first message; it gives the actor its own address.
type workerSelfMsg struct {
	to actor.Address[message[*workerState]]
}

func (m workerSelfMsg) handle(s *workerState) { s.self = m.to }

// retryObjectCall repeats an operation of the object store in a goroutine of
// its own until it succeeds, finds that the object does not exist, or ctx ends.
// In the first two cases it sends the message that op returned to the worker's
// actor.
func (s *workerState) retryObjectCall(ctx context.Context, op func(context.Context) (message[*workerState], error)) {
	self := s.self
	actor.Go(s.group, "worker's object access", func(context.Context) error {
		for {
			callCtx, cancel := context.WithTimeout(ctx, objectCallTimeout)
			m, err := op(callCtx)
			cancel()
			if err == nil || errors.Is(err, storage.ErrNotFound) {
				_ = self.Send(ctx, m)
				return nil
			}
			if !actor.Sleep(ctx, objectRetryDelay) {
				return nil
			}
		}
	})
}

// usageLag returns the delay of usage reports.
func (s *workerState) usageLag() time.Duration {
	if ms := s.faults.UsageLagMs; ms != nil {
		return time.Duration(*ms) * time.Millisecond
	}
	return s.UsageLag
}

// recordStart records the start of a task and whether it exceeds the worker's
// capacity.
func (s *workerState) recordStart(t *task, fromStep int) {
	total := t.spec.Resources
	for _, o := range s.tasks {
		if o != t && o.active() {
			total = total.Add(o.spec.Resources)
		}
	}
	overcommit := !total.Fits(s.Capacity)
	if overcommit {
		s.counts.Overcommits++
	}
	t.runIndex = len(s.runs)
	s.runs = append(s.runs, TaskRun{Task: t.spec.ID, Started: s.clock.now(), State: model.TaskRunning,
		FromStep: fromStep, Declared: t.spec.Resources, Overcommit: overcommit})
}

// recordEnd completes the record of a task's run.
func (s *workerState) recordEnd(t *task) {
	if t.runIndex < 0 {
		return // stopped before its start arrived
	}
	run := &s.runs[t.runIndex]
	run.Ended, run.State, run.Reason = s.clock.now(), t.reportedState(), t.reason
	run.ToStep = t.program.completedSteps(t.runTime)
}

// reportedState maps the state of the chart to that of the HTTP interface.
func (t *task) reportedState() model.TaskState {
	switch t.state {
	case taskDone:
		return model.TaskDone
	case taskFailed:
		return model.TaskFailed
	case taskStopped:
		return model.TaskStopped
	}
	return model.TaskRunning
}

func (t *task) view() TaskView {
	t.updateRunTime()
	v := TaskView{ID: t.spec.ID, State: t.reportedState(), Reason: t.reason, Checkpoint: t.checkpoint,
		Step: t.program.completedSteps(t.runTime), Steps: t.program.Steps, Percent: t.percent, RanMs: time.Since(t.startedAt).Milliseconds()}
	if v.State == model.TaskDone {
		v.Result = t.spec.ResultName
	}
	if t.active() {
		v.LeaseMs = time.Until(t.leaseExpiresAt).Milliseconds()
	} else {
		v.RanMs = t.endedAt.Sub(t.startedAt).Milliseconds()
	}
	if r, ok := t.usageAt(time.Now().Add(-t.worker.usageLag())); ok {
		v.Usage = &UsageView{r, t.worker.usageLag().Milliseconds()}
	}
	return v
}

// views returns the tasks in the order of their ids.
func (s *workerState) views() []TaskView {
	list := make([]TaskView, 0, len(s.tasks))
	for _, t := range s.tasks {
		list = append(list, t.view())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
