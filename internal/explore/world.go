// Package explore runs the very charts and pure cores of controllers and
// agents through schedules with faults, and checks that no job ever has two
// live attempts, that no worker gets more than it has room for and that every
// job comes to its end. It is used by tests.
package explore

import (
	"fmt"
	"time"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

const (
	controllers = 2
	agents      = 2
	cellName    = "c"
	// grid is the step of time. Timers fire late by less than that, which is
	// a schedule that an overloaded host gives.
	grid = time.Second
)

// world is one state: the processes, what is under way between them, the
// table and the workers. Every process has the same clock.
type world struct {
	now     time.Duration
	model   *Model
	table   table
	ctl     [controllers]controller
	agent   [agents]agent
	link    [controllers][agents]link
	active  []active // faults in force
	spent   int      // faults begun
	boots   model.Boot
	events  bool // the last round did something
	trace   *step
	failure string
}

// step is one line of a trace, with those before it.
type step struct {
	before *step
	at     time.Duration
	text   string
}

// controller is an entry's controller with its operations at the table.
type controller struct {
	core   *control.Core // nil: killed
	frozen bool
	since  time.Duration // when it was frozen
	inbox  []control.Event
	ops    []operation
	away   bool // the table is not reachable from here
	lossy  bool // responses of the table are lost
}

// agent is an agent with its worker.
type agent struct {
	id     model.WorkerID
	core   *taskagent.Core // nil: killed
	boot   model.Boot
	frozen bool
	since  time.Duration
	inbox  []taskagent.Event
	calls  []taskagent.Effect
	lossy  bool // answers of the worker are lost
	runs   []task
}

// link is a connection of a controller and an agent. Each direction keeps its
// order and may be held.
type link struct {
	up               bool
	down, upward     []msg.Control // to the agent, to the controller
	holdDown, holdUp bool
}

func entryID(i int) model.EntryID   { return model.EntryID([]string{"a", "b"}[i]) }
func workerID(i int) model.WorkerID { return model.WorkerID([]string{"w1", "w2"}[i]) }

func newWorld(m *Model) *world {
	w := &world{model: m, table: newTable(m.Jobs)}
	for i := range w.agent {
		w.agent[i].id = workerID(i)
		w.startAgent(i)
	}
	for i := range w.ctl {
		w.startController(i)
	}
	for c := range w.link {
		for a := range w.link[c] {
			w.connect(c, a)
		}
	}
	return w
}

func (w *world) startController(i int) {
	w.boots++
	w.ctl[i].core = control.NewCore(control.Options{Cell: cellName, Entry: entryID(i), Boot: w.boots, Planner: firstFit{}})
	w.ctl[i].inbox, w.ctl[i].ops, w.ctl[i].frozen = []control.Event{control.Tick{}}, nil, false
}

func (w *world) startAgent(i int) {
	w.boots++
	a := &w.agent[i]
	a.core = taskagent.NewCore(model.Worker{ID: a.id, Capacity: model.Resources{CPU: capacityCPU}}, cellName)
	if w.model.Charts != nil {
		if err := a.core.UseCharts(w.model.Charts); err != nil {
			w.failure = err.Error()
		}
	}
	a.boot, a.inbox, a.calls, a.frozen = w.boots, []taskagent.Event{taskagent.Tick{}}, nil, false
}

func (w *world) connect(c, a int) {
	l := &w.link[c][a]
	if l.up || w.ctl[c].core == nil || w.agent[a].core == nil || w.cut(c, a) {
		return
	}
	l.up, l.down, l.upward = true, nil, nil
	w.ctl[c].inbox = append(w.ctl[c].inbox, control.PeerUp{
		Worker: model.Worker{ID: workerID(a), Capacity: model.Resources{CPU: capacityCPU}}, Boot: w.agent[a].boot})
	w.agent[a].inbox = append(w.agent[a].inbox, taskagent.LinkUp{Entry: entryID(c)})
}

func (w *world) disconnect(c, a int) {
	l := &w.link[c][a]
	if !l.up {
		return
	}
	l.up, l.down, l.upward = false, nil, nil
	w.ctl[c].inbox = append(w.ctl[c].inbox, control.PeerDown{Worker: workerID(a)})
	w.agent[a].inbox = append(w.agent[a].inbox, taskagent.LinkDown{Entry: entryID(c)})
}

func (w *world) note(format string, args ...any) {
	w.trace = &step{w.trace, w.now, fmt.Sprintf(format, args...)}
}

// round lets every process handle what has reached it, then moves what is
// under way by one hop. Without anything to do, time passes.
func (w *world) round() {
	w.events = false
	for i := range w.ctl {
		w.runController(i)
	}
	for i := range w.agent {
		w.runAgent(i)
	}
	for c := range w.link {
		w.operate(c)
		for a := range w.link[c] {
			w.deliver(c, a)
		}
	}
	for a := range w.agent {
		w.call(a)
	}
	if !w.events {
		w.pass()
	}
}

func (w *world) pass() {
	w.now += grid
	w.endFaults()
	for i := range w.ctl {
		w.ctl[i].inbox = append(w.ctl[i].inbox, control.Tick{})
	}
	for i := range w.agent {
		w.agent[i].inbox = append(w.agent[i].inbox, taskagent.Tick{})
	}
}

func (w *world) runController(i int) {
	c := &w.ctl[i]
	if c.core == nil {
		c.inbox = nil
	}
	if c.frozen || len(c.inbox) == 0 {
		return
	}
	w.events = true
	inbox := c.inbox
	c.inbox = nil
	for _, e := range inbox {
		w.stepController(i, e)
	}
	if c.core.NextTick() <= w.now {
		w.stepController(i, control.Tick{})
	}
	if c.core.NextTick() <= w.now && w.failure == "" {
		w.failure = "a controller's timer stays due: its actor would spin"
	}
}

func (w *world) stepController(i int, e control.Event) {
	for _, f := range w.ctl[i].core.Step(w.now, e) {
		w.controlEffect(i, f)
	}
}

func (w *world) controlEffect(i int, f control.Effect) {
	switch f := f.(type) {
	case control.Send:
		for a := range w.agent {
			if l := &w.link[i][a]; w.agent[a].id == f.Worker && l.up {
				l.down = append(l.down, f.Msg)
				w.noteMessage(string(entryID(i)), string(f.Worker), f.Msg)
			}
		}
	case control.Log:
		w.note("%s: %s", entryID(i), f.Event.Name)
	default:
		w.ctl[i].ops = append(w.ctl[i].ops, operation{effect: f})
	}
}

func (w *world) runAgent(i int) {
	a := &w.agent[i]
	if a.core == nil {
		a.inbox = nil
	}
	if a.frozen || len(a.inbox) == 0 {
		return
	}
	w.events = true
	inbox := a.inbox
	a.inbox = nil
	for _, e := range inbox {
		w.stepAgent(i, e)
	}
	if a.core.NextTick() <= w.now {
		w.stepAgent(i, taskagent.Tick{})
	}
	if a.core.NextTick() <= w.now && w.failure == "" {
		w.failure = "an agent's timer stays due: its actor would spin"
	}
}

func (w *world) stepAgent(i int, e taskagent.Event) {
	for _, f := range w.agent[i].core.Step(w.now, e) {
		w.agentEffect(i, f)
	}
}

func (w *world) agentEffect(i int, f taskagent.Effect) {
	switch f := f.(type) {
	case taskagent.Send:
		for c := range w.ctl {
			if l := &w.link[c][i]; entryID(c) == f.Entry && l.up {
				l.upward = append(l.upward, f.Msg)
				w.noteMessage(string(w.agent[i].id), string(f.Entry), f.Msg)
			}
		}
	case taskagent.Log:
		w.note("%s: %s", w.agent[i].id, f.Event.Name)
	default:
		w.agent[i].calls = append(w.agent[i].calls, f)
	}
}

// noteMessage keeps the messages that matter for a reader of the trace.
func (w *world) noteMessage(from, to string, m msg.Control) {
	switch m := m.(type) {
	case *msg.StartTask:
		w.note("%s to %s: start %s", from, to, m.Attempt)
	case *msg.StopTask:
		w.note("%s to %s: stop %s", from, to, m.Attempt)
	case *msg.CellClaim:
		w.note("%s to %s: claim with epoch %d", from, to, m.Epoch)
	case *msg.LeaseRenew:
		w.note("%s to %s: renewal %d of epoch %d", from, to, m.Sequence, m.Epoch)
	case *msg.TaskReport:
		w.note("%s to %s: %s is %s", from, to, m.Attempt, m.State)
	}
}

func (w *world) deliver(c, a int) {
	l := &w.link[c][a]
	if !l.holdDown && len(l.down) > 0 {
		w.events = true
		for _, m := range l.down {
			w.agent[a].inbox = append(w.agent[a].inbox, taskagent.Received{Entry: entryID(c), Msg: m})
		}
		l.down = nil
	}
	if !l.holdUp && len(l.upward) > 0 {
		w.events = true
		for _, m := range l.upward {
			w.ctl[c].inbox = append(w.ctl[c].inbox, control.Received{Worker: workerID(a), Msg: m})
		}
		l.upward = nil
	}
}
