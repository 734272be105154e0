// Package explore is a model checker for tests. It runs the charts and pure
// cores of the production controllers and agents through schedules with faults
// and checks that no job ever has two live attempts, that no worker exceeds its
// capacity, that no row of an ended job is written and that every job ends.
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
	controllerCount = 2
	agentCount      = 2
	cellName        = "c"
	// timeStep is the resolution of time. Timers fire late by less than a step,
	// as they may on an overloaded host.
	timeStep = time.Second
)

// world is one state of the model: the processes, the messages in flight
// between them, the table and the workers. All processes share one clock.
type world struct {
	now          time.Duration
	model        *Model
	table        table
	controllers  [controllerCount]controller
	agents       [agentCount]agent
	links        [controllerCount][agentCount]link
	activeFaults []activeFault
	faultsBegun  int
	lastBoot     model.Boot
	progressed   bool // a process or a message made progress in the last round
	trace        *traceLine
	failure      string // the violation found; empty: none
}

// traceLine is one line of a trace, linked to the line before it. States that
// branch from one another share their common lines.
type traceLine struct {
	previous *traceLine
	at       time.Duration
	text     string
}

// controller is an entry's controller with its pending table operations.
type controller struct {
	core             *control.Core // nil: killed
	frozen           bool
	frozenAt         time.Duration
	inbox            []control.Event
	operations       []operation
	tableUnavailable bool
	responsesLost    bool
}

// agent is an agent with its worker. The worker survives a kill of the agent.
type agent struct {
	id            model.WorkerID
	core          *taskagent.Core // nil: killed
	boot          model.Boot
	frozen        bool
	frozenAt      time.Duration
	inbox         []taskagent.Event
	calls         []taskagent.Effect
	responsesLost bool
	tasks         []task
}

// link is a connection between a controller and an agent. Each direction
// delivers in order, and a fault may delay it.
type link struct {
	up                              bool
	toAgent, toController           []msg.Control // messages in flight
	delayToAgent, delayToController bool
}

func entryID(i int) model.EntryID   { return model.EntryID([]string{"a", "b"}[i]) }
func workerID(i int) model.WorkerID { return model.WorkerID([]string{"w1", "w2"}[i]) }

func newWorld(m *Model) *world {
	w := &world{model: m, table: newTable(m.Jobs)}
	for i := range w.agents {
		w.agents[i].id = workerID(i)
		w.startAgent(i)
	}
	for i := range w.controllers {
		w.startController(i)
	}
	for c := range w.links {
		for a := range w.links[c] {
			w.connect(c, a)
		}
	}
	return w
}

func (w *world) startController(i int) {
	w.lastBoot++
	w.controllers[i].core = control.NewCore(control.Options{Cell: cellName, Entry: entryID(i), Boot: w.lastBoot, Planner: firstFit{}})
	w.controllers[i].inbox, w.controllers[i].operations, w.controllers[i].frozen = []control.Event{control.Tick{}}, nil, false
}

func (w *world) startAgent(i int) {
	w.lastBoot++
	a := &w.agents[i]
	a.core = taskagent.NewCore(model.Worker{ID: a.id, Capacity: model.Resources{CPU: capacityCPU}}, cellName)
	if w.model.Charts != nil {
		if err := a.core.UseCharts(w.model.Charts); err != nil {
			w.failure = err.Error()
		}
	}
	a.boot, a.inbox, a.calls, a.frozen = w.lastBoot, []taskagent.Event{taskagent.Tick{}}, nil, false
}

func (w *world) connect(c, a int) {
	l := &w.links[c][a]
	if l.up || w.controllers[c].core == nil || w.agents[a].core == nil || w.isCut(c, a) {
		return
	}
	l.up, l.toAgent, l.toController = true, nil, nil
	w.controllers[c].inbox = append(w.controllers[c].inbox, control.PeerUp{
		Worker: model.Worker{ID: workerID(a), Capacity: model.Resources{CPU: capacityCPU}}, Boot: w.agents[a].boot})
	w.agents[a].inbox = append(w.agents[a].inbox, taskagent.LinkUp{Entry: entryID(c)})
}

func (w *world) disconnect(c, a int) {
	l := &w.links[c][a]
	if !l.up {
		return
	}
	l.up, l.toAgent, l.toController = false, nil, nil
	w.controllers[c].inbox = append(w.controllers[c].inbox, control.PeerDown{Worker: workerID(a)})
	w.agents[a].inbox = append(w.agents[a].inbox, taskagent.LinkDown{Entry: entryID(c)})
}

// tracef appends a line to the trace.
func (w *world) tracef(format string, args ...any) {
	w.trace = &traceLine{w.trace, w.now, fmt.Sprintf(format, args...)}
}

// round lets every process handle its inbox and then moves messages, table
// operations and worker calls by one hop. If nothing happened, time advances.
func (w *world) round() {
	w.progressed = false
	for i := range w.controllers {
		w.runController(i)
	}
	for i := range w.agents {
		w.runAgent(i)
	}
	for c := range w.links {
		w.performOperations(c)
		for a := range w.links[c] {
			w.deliver(c, a)
		}
	}
	for a := range w.agents {
		w.performCalls(a)
	}
	if !w.progressed {
		w.advanceTime()
	}
}

// advanceTime moves the clock by timeStep and wakes every process.
func (w *world) advanceTime() {
	w.now += timeStep
	w.endFaults()
	for i := range w.controllers {
		w.controllers[i].inbox = append(w.controllers[i].inbox, control.Tick{})
	}
	for i := range w.agents {
		w.agents[i].inbox = append(w.agents[i].inbox, taskagent.Tick{})
	}
}

func (w *world) runController(i int) {
	c := &w.controllers[i]
	if c.core == nil {
		c.inbox = nil
	}
	if c.frozen || len(c.inbox) == 0 {
		return
	}
	w.progressed = true
	inbox := c.inbox
	c.inbox = nil
	for _, e := range inbox {
		w.stepController(i, e)
	}
	if c.core.NextTick() <= w.now {
		w.stepController(i, control.Tick{})
	}
	if c.core.NextTick() <= w.now && w.failure == "" {
		w.failure = "a controller's timer stays due after its tick: its actor would spin"
	}
}

func (w *world) stepController(i int, e control.Event) {
	for _, f := range w.controllers[i].core.Step(w.now, e) {
		w.controlEffect(i, f)
	}
}

func (w *world) controlEffect(i int, f control.Effect) {
	switch f := f.(type) {
	case control.Send:
		for a := range w.agents {
			if l := &w.links[i][a]; w.agents[a].id == f.Worker && l.up {
				l.toAgent = append(l.toAgent, f.Msg)
				w.traceMessage(string(entryID(i)), string(f.Worker), f.Msg)
			}
		}
	case control.Log:
		w.tracef("%s: %s", entryID(i), f.Event.Name)
	default:
		w.controllers[i].operations = append(w.controllers[i].operations, operation{effect: f})
	}
}

func (w *world) runAgent(i int) {
	a := &w.agents[i]
	if a.core == nil {
		a.inbox = nil
	}
	if a.frozen || len(a.inbox) == 0 {
		return
	}
	w.progressed = true
	inbox := a.inbox
	a.inbox = nil
	for _, e := range inbox {
		w.stepAgent(i, e)
	}
	if a.core.NextTick() <= w.now {
		w.stepAgent(i, taskagent.Tick{})
	}
	if a.core.NextTick() <= w.now && w.failure == "" {
		w.failure = "an agent's timer stays due after its tick: its actor would spin"
	}
}

func (w *world) stepAgent(i int, e taskagent.Event) {
	for _, f := range w.agents[i].core.Step(w.now, e) {
		w.agentEffect(i, f)
	}
}

func (w *world) agentEffect(i int, f taskagent.Effect) {
	switch f := f.(type) {
	case taskagent.Send:
		for c := range w.controllers {
			if l := &w.links[c][i]; entryID(c) == f.Entry && l.up {
				l.toController = append(l.toController, f.Msg)
				w.traceMessage(string(w.agents[i].id), string(f.Entry), f.Msg)
			}
		}
	case taskagent.Log:
		w.tracef("%s: %s", w.agents[i].id, f.Event.Name)
	default:
		w.agents[i].calls = append(w.agents[i].calls, f)
	}
}

// traceMessage adds a message to the trace if it matters to a reader.
func (w *world) traceMessage(from, to string, m msg.Control) {
	switch m := m.(type) {
	case *msg.StartTask:
		w.tracef("%s to %s: start %s", from, to, m.Attempt)
	case *msg.StopTask:
		w.tracef("%s to %s: stop %s", from, to, m.Attempt)
	case *msg.CellClaim:
		w.tracef("%s to %s: claim with epoch %d", from, to, m.Epoch)
	case *msg.LeaseRenew:
		w.tracef("%s to %s: renewal %d of epoch %d", from, to, m.Sequence, m.Epoch)
	case *msg.TaskReport:
		w.tracef("%s to %s: %s is %s", from, to, m.Attempt, m.State)
	}
}

func (w *world) deliver(c, a int) {
	l := &w.links[c][a]
	if !l.delayToAgent && len(l.toAgent) > 0 {
		w.progressed = true
		for _, m := range l.toAgent {
			w.agents[a].inbox = append(w.agents[a].inbox, taskagent.Received{Entry: entryID(c), Msg: m})
		}
		l.toAgent = nil
	}
	if !l.delayToController && len(l.toController) > 0 {
		w.progressed = true
		for _, m := range l.toController {
			w.controllers[c].inbox = append(w.controllers[c].inbox, control.Received{Worker: workerID(a), Msg: m})
		}
		l.toController = nil
	}
}
