package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// Kind is a kind of fault, which lasts for a time, or of disturbance, which is
// a single event.
type Kind uint8

// The kinds are grouped by what they concern: a controller, an agent, the link
// between both, and the first job. The order of the groups matters to the
// methods of fault.
const (
	FreezeController Kind = iota
	KillController
	TableUnavailable
	TableResponsesLost // transactions take effect, but their responses are lost

	FreezeAgent
	KillAgent
	WorkerResponsesLost // calls take effect, but their responses are lost

	CutLink
	DelayToAgent
	DelayToController

	Evict // Evict and Cancel have no duration
	Cancel
)

var kindNames = [...]string{"freeze controller", "kill controller", "table unavailable", "table responses lost", "freeze agent", "kill agent",
	"worker responses lost", "cut link", "delay messages to agent", "delay messages to controller", "evict", "cancel"}

// fault is a kind of fault and the controller and agent that it concerns, by
// index.
type fault struct {
	kind              Kind
	controller, agent int
}

func (f fault) String() string {
	switch {
	case f.kind <= TableResponsesLost:
		return fmt.Sprintf("%s %s", kindNames[f.kind], entryID(f.controller))
	case f.kind <= WorkerResponsesLost:
		return fmt.Sprintf("%s %s", kindNames[f.kind], workerID(f.agent))
	case f.kind <= DelayToController:
		return fmt.Sprintf("%s, %s and %s", kindNames[f.kind], entryID(f.controller), workerID(f.agent))
	}
	return kindNames[f.kind]
}

// activeFault is a fault that ends at a time.
type activeFault struct {
	fault
	until time.Duration
}

// faultsOf returns the faults of the given kinds at every controller, agent and
// link.
func faultsOf(kinds []Kind) (list []fault) {
	for _, k := range kinds {
		switch {
		case k <= TableResponsesLost:
			for c := range controllerCount {
				list = append(list, fault{kind: k, controller: c})
			}
		case k <= WorkerResponsesLost:
			for a := range agentCount {
				list = append(list, fault{kind: k, agent: a})
			}
		case k <= DelayToController:
			for c := range controllerCount {
				for a := range agentCount {
					list = append(list, fault{k, c, a})
				}
			}
		default:
			list = append(list, fault{kind: k})
		}
	}
	return list
}

func (f fault) hasDuration() bool { return f.kind < Evict }

// beginFault starts a fault that lasts for d, or applies a disturbance.
func (w *world) beginFault(f fault, d time.Duration) {
	w.faultsBegun++
	if f.hasDuration() {
		w.tracef("fault: %s for %s", f, d)
		w.activeFaults = append(slices.Clip(w.activeFaults), activeFault{f, w.now + d})
	} else {
		w.tracef("disturbance: %s", f)
	}
	w.setFault(f, true)
}

// endFaults ends the faults whose duration has passed.
func (w *world) endFaults() {
	for i := 0; i < len(w.activeFaults); i++ {
		if f := w.activeFaults[i]; f.until <= w.now {
			w.activeFaults = slices.Concat(w.activeFaults[:i], w.activeFaults[i+1:])
			i--
			w.tracef("end of fault: %s", f.fault)
			w.setFault(f.fault, false)
		}
	}
}

// setFault turns a fault on or off. A process that was frozen for longer than
// lease.PauseGap detects the pause before it handles other events.
func (w *world) setFault(f fault, on bool) {
	c, a, l := &w.controllers[f.controller], &w.agents[f.agent], &w.links[f.controller][f.agent]
	switch f.kind {
	case FreezeController:
		if c.frozen = on; on {
			c.frozenAt = w.now
		} else if w.now-c.frozenAt > lease.PauseGap && c.core != nil {
			c.inbox = append([]control.Event{control.Paused{}}, c.inbox...)
		}
	case FreezeAgent:
		if a.frozen = on; on {
			a.frozenAt = w.now
		} else if w.now-a.frozenAt > lease.PauseGap && a.core != nil {
			a.inbox = append([]taskagent.Event{taskagent.Paused{}}, a.inbox...)
		}
	case KillController:
		w.killController(f.controller, on)
	case KillAgent:
		w.killAgent(f.agent, on)
	case TableUnavailable:
		c.tableUnavailable = on
	case TableResponsesLost:
		c.responsesLost = on
	case WorkerResponsesLost:
		a.responsesLost = on
	case CutLink:
		if on {
			w.disconnect(f.controller, f.agent)
		} else {
			w.connect(f.controller, f.agent)
		}
	case DelayToAgent:
		l.delayToAgent = on
	case DelayToController:
		l.delayToController = on
	default:
		w.applyDisturbance(f.kind)
	}
}

// killController kills a controller, or starts it again when on is false.
func (w *world) killController(i int, on bool) {
	for a := range w.agents {
		w.disconnect(i, a)
	}
	if on {
		w.controllers[i].core, w.controllers[i].inbox, w.controllers[i].operations = nil, nil, nil
		return
	}
	w.startController(i)
	for a := range w.agents {
		w.connect(i, a)
	}
}

// killAgent kills an agent, or starts it again when on is false. Its worker and
// the worker's tasks go on.
func (w *world) killAgent(i int, on bool) {
	for c := range w.controllers {
		w.disconnect(c, i)
	}
	if on {
		w.agents[i].core, w.agents[i].inbox, w.agents[i].calls = nil, nil, nil
		return
	}
	w.startAgent(i)
	for c := range w.controllers {
		w.connect(c, i)
	}
}

// isCut reports whether an active fault prevents the link.
func (w *world) isCut(c, a int) bool {
	for _, f := range w.activeFaults {
		if f.kind == CutLink && f.controller == c && f.agent == a {
			return true
		}
	}
	return false
}

func (w *world) applyDisturbance(k Kind) {
	const id = model.JobID("j")
	if k == Evict {
		for i := range w.controllers {
			w.controllers[i].inbox = append(w.controllers[i].inbox, control.EvictRequested{Job: id})
		}
		return
	}
	if r := w.table.jobs[id]; !isFinal(r.Row.Phase) {
		w.table.revision++
		r.Row.CancelRequested, r.Version = true, w.table.revision
		w.table.jobs[id] = r
	}
}
