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

// Kind is a kind of fault or of disturbance.
type Kind uint8

// Kinds. The first group concerns a controller, the second an agent, the third
// the link between both, the last nothing in particular.
const (
	FreezeController Kind = iota
	KillController
	TableAway
	TableLossy // transactions take effect, their responses are lost

	FreezeAgent
	KillAgent
	WorkerLossy // calls take effect, their answers are lost

	CutLink
	HoldToAgent
	HoldToController

	Evict // at the start of the fault; without duration
	Cancel
)

var kindNames = [...]string{"freeze controller", "kill controller", "table away", "table lossy", "freeze agent", "kill agent",
	"worker lossy", "cut link", "hold messages to agent", "hold messages to controller", "evict", "cancel"}

// fault is a kind of fault at a place.
type fault struct {
	kind Kind
	c, a int
}

func (f fault) String() string {
	switch {
	case f.kind <= TableLossy:
		return fmt.Sprintf("%s %s", kindNames[f.kind], entryID(f.c))
	case f.kind <= WorkerLossy:
		return fmt.Sprintf("%s %s", kindNames[f.kind], workerID(f.a))
	case f.kind <= HoldToController:
		return fmt.Sprintf("%s, %s and %s", kindNames[f.kind], entryID(f.c), workerID(f.a))
	}
	return kindNames[f.kind]
}

// active is a fault until a time.
type active struct {
	fault
	until time.Duration
}

// places lists the faults of a set of kinds.
func places(kinds []Kind) (list []fault) {
	for _, k := range kinds {
		switch {
		case k <= TableLossy:
			for c := range controllers {
				list = append(list, fault{kind: k, c: c})
			}
		case k <= WorkerLossy:
			for a := range agents {
				list = append(list, fault{kind: k, a: a})
			}
		case k <= HoldToController:
			for c := range controllers {
				for a := range agents {
					list = append(list, fault{k, c, a})
				}
			}
		default:
			list = append(list, fault{kind: k})
		}
	}
	return list
}

func (f fault) timed() bool { return f.kind < Evict }

// begin puts a fault in force.
func (w *world) begin(f fault, d time.Duration) {
	w.spent++
	if f.timed() {
		w.note("fault: %s for %s", f, d)
		w.active = append(slices.Clip(w.active), active{f, w.now + d})
	} else {
		w.note("disturbance: %s", f)
	}
	w.set(f, true)
}

func (w *world) endFaults() {
	for i := 0; i < len(w.active); i++ {
		if f := w.active[i]; f.until <= w.now {
			w.active = slices.Concat(w.active[:i], w.active[i+1:])
			i--
			w.note("end of fault: %s", f.fault)
			w.set(f.fault, false)
		}
	}
}

func (w *world) set(f fault, on bool) {
	c, a, l := &w.ctl[f.c], &w.agent[f.a], &w.link[f.c][f.a]
	switch f.kind {
	case FreezeController:
		if c.frozen = on; on {
			c.since = w.now
		} else if w.now-c.since > lease.PauseGap && c.core != nil {
			c.inbox = append([]control.Event{control.Paused{}}, c.inbox...)
		}
	case FreezeAgent:
		if a.frozen = on; on {
			a.since = w.now
		} else if w.now-a.since > lease.PauseGap && a.core != nil {
			a.inbox = append([]taskagent.Event{taskagent.Paused{}}, a.inbox...)
		}
	case KillController:
		w.killController(f.c, on)
	case KillAgent:
		w.killAgent(f.a, on)
	case TableAway:
		c.away = on
	case TableLossy:
		c.lossy = on
	case WorkerLossy:
		a.lossy = on
	case CutLink:
		if on {
			w.disconnect(f.c, f.a)
		} else {
			w.connect(f.c, f.a)
		}
	case HoldToAgent:
		l.holdDown = on
	case HoldToController:
		l.holdUp = on
	default:
		w.disturb(f.kind)
	}
}

func (w *world) killController(i int, on bool) {
	for a := range w.agent {
		w.disconnect(i, a)
	}
	if on {
		w.ctl[i].core, w.ctl[i].inbox, w.ctl[i].ops = nil, nil, nil
		return
	}
	w.startController(i)
	for a := range w.agent {
		w.connect(i, a)
	}
}

func (w *world) killAgent(i int, on bool) {
	for c := range w.ctl {
		w.disconnect(c, i)
	}
	if on {
		w.agent[i].core, w.agent[i].inbox, w.agent[i].calls = nil, nil, nil
		return
	}
	w.startAgent(i)
	for c := range w.ctl {
		w.connect(c, i)
	}
}

// cut reports whether a link cannot be established.
func (w *world) cut(c, a int) bool {
	for _, f := range w.active {
		if f.kind == CutLink && f.c == c && f.a == a {
			return true
		}
	}
	return false
}

func (w *world) disturb(k Kind) {
	const id = model.JobID("j")
	if k == Evict {
		for i := range w.ctl {
			w.ctl[i].inbox = append(w.ctl[i].inbox, control.EvictRequested{Job: id})
		}
		return
	}
	if r := w.table.jobs[id]; !over(r.Row.Phase) {
		w.table.rev++
		r.Row.CancelRequested, r.Version = true, w.table.rev
		w.table.jobs[id] = r
	}
}
