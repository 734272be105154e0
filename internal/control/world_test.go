package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

const cellName = "c1"

// world simulates a cell in virtual time: entries, agents with their workers,
// links and the table service.
type world struct {
	*testing.T
	ctx      context.Context
	table    *table
	hosts    *hosts
	entries  map[model.EntryID]*entry
	agents   map[model.WorkerID]*agent
	lastBoot model.Boot
}

type entry struct {
	id           model.EntryID
	group        *actor.Group
	controller   actor.Address[control.Message]
	plannerPause atomic.Pointer[chan struct{}] // if set, the planner waits for it, which pauses the owner
	eventIDs     *[]int                        // numbers of the logged events
}

type agent struct {
	worker    model.Worker
	host      *host
	group     *actor.Group
	taskAgent actor.Address[taskagent.Message]
	boot      model.Boot
	links     map[model.EntryID]*link
	logPause  atomic.Pointer[chan struct{}] // if set, the next log entry waits for it, which pauses the agent
}

// link is a link between an agent and an entry. It can drop or delay the
// messages of each direction.
type link struct {
	group                      *actor.Group
	toEntry, toAgent           actor.Address[msg.Control]
	dropToEntry, dropToAgent   atomic.Bool
	delayToEntry, delayToAgent atomic.Int64 // nanoseconds
}

// runScenario runs a scenario with the given entries and number of workers, of
// which each has the capacity for 4 tasks.
func runScenario(t *testing.T, workers int, entries []model.EntryID, scenario func(*world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{T: t, ctx: ctx, table: newTable(t), entries: map[model.EntryID]*entry{}, agents: map[model.WorkerID]*agent{},
			hosts: &hosts{t: t, attempts: map[model.JobID][]*task{}, checkpoints: map[string]time.Duration{}, completed: map[model.JobID]int{}}}
		for i := range workers {
			id := model.WorkerID(fmt.Sprintf("w%d", i+1))
			a := &agent{host: w.hosts.host(id), worker: model.Worker{ID: id, Rack: model.Rack(id), Capacity: model.Resources{CPU: 4000, Memory: 4000}}}
			w.agents[id] = a
			w.startAgent(a)
		}
		for _, id := range entries {
			w.startEntry(id)
		}
		scenario(w)
		cancel()
		for _, e := range w.entries {
			e.group.Wait()
		}
		for _, a := range w.agents {
			a.group.Wait()
			for _, l := range a.links {
				l.group.Wait()
			}
		}
	})
}

func (w *world) startEntry(id model.EntryID) *entry {
	w.lastBoot++
	e := &entry{id: id, group: actor.NewGroup(w.ctx, w.actorFailed), eventIDs: &[]int{}}
	w.entries[id] = e
	eventIDs := e.eventIDs
	e.controller = control.Start(e.group, control.Config{
		Options:    control.Options{Cell: cellName, Entry: id, Boot: w.lastBoot},
		Table:      w.table,
		NewPlanner: func() control.Planner { return &planner{entry: e, Planner: place.New(place.Options{})} },
		Log: &log.Logger{Level: log.DebugLevel, Handler: log.HandlerFunc(func(l *log.Entry) error {
			w.table.withLock(func() { *eventIDs = append(*eventIDs, l.Fields["event"].(int)) })
			return nil
		})},
	})
	for _, a := range w.agents {
		w.connect(a, e)
	}
	return e
}

// planner is a planner that a test can block, which pauses the owner.
type planner struct {
	control.Planner
	entry *entry
}

func (p *planner) Plan(s place.Snapshot) place.Plan {
	if pause := p.entry.plannerPause.Load(); pause != nil {
		<-*pause
	}
	return p.Planner.Plan(s)
}

func (w *world) startAgent(a *agent) {
	w.lastBoot++
	a.boot, a.group, a.links = w.lastBoot, actor.NewGroup(w.ctx, w.actorFailed), map[model.EntryID]*link{}
	a.taskAgent = taskagent.Start(a.group, taskagent.Config{Worker: a.worker, Cell: cellName, Client: a.host,
		Log: &log.Logger{Level: log.DebugLevel, Handler: log.HandlerFunc(func(l *log.Entry) error {
			if pause := a.logPause.Swap(nil); pause != nil {
				<-*pause
			}
			return discard.New().HandleLog(l)
		})}})
	for _, e := range w.entries {
		w.connect(a, e)
	}
}

func (w *world) actorFailed(x actor.Exit) { w.Errorf("actor %s failed: %v", x.Actor, x.Err) }

// forward spawns an actor that forwards the messages of one direction of a link.
func forward(g *actor.Group, drop *atomic.Bool, delay *atomic.Int64, deliver func(context.Context, msg.Control)) actor.Address[msg.Control] {
	return actor.Spawn(g, actor.Spec[msg.Control]{Name: "forward", Mailbox: 4096, Run: func(ctx context.Context, in <-chan msg.Control) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case m := <-in:
				d := time.Duration(delay.Load())
				if !drop.Load() && (d == 0 || actor.Sleep(ctx, d)) {
					deliver(ctx, m)
				}
			}
		}
	}})
}

func (w *world) connect(a *agent, e *entry) {
	l := &link{group: actor.NewGroup(w.ctx, w.actorFailed)}
	taskAgent, controller, id := a.taskAgent, e.controller, a.worker.ID
	l.toEntry = forward(l.group, &l.dropToEntry, &l.delayToEntry, func(ctx context.Context, m msg.Control) {
		_ = controller.Send(ctx, control.FromAgent{Worker: id, Msg: m})
	})
	l.toAgent = forward(l.group, &l.dropToAgent, &l.delayToAgent, func(ctx context.Context, m msg.Control) {
		_ = taskAgent.Send(ctx, taskagent.FromEntry{Entry: e.id, Msg: m})
	})
	a.links[e.id] = l
	_ = taskAgent.Send(w.ctx, taskagent.EntryUp{Entry: e.id, Link: l.toEntry})
	_ = controller.Send(w.ctx, control.AgentUp{Worker: a.worker, Cell: cellName, Boot: a.boot, Link: l.toAgent})
}

func (w *world) disconnect(a *agent, e *entry) {
	l := a.links[e.id]
	delete(a.links, e.id)
	l.group.Stop()
	_ = a.taskAgent.Send(w.ctx, taskagent.EntryDown{Entry: e.id, Link: l.toEntry})
	_ = e.controller.Send(w.ctx, control.AgentDown{Worker: a.worker.ID, Link: l.toAgent})
}

func (w *world) killEntry(id model.EntryID) {
	e := w.entries[id]
	e.group.Stop()
	for _, a := range w.agents {
		if a.links[id] != nil {
			w.disconnect(a, e)
		}
	}
	delete(w.entries, id)
}

func (w *world) killAgent(id model.WorkerID) {
	a := w.agents[id]
	a.group.Stop()
	for _, e := range w.entries {
		if a.links[e.id] != nil {
			w.disconnect(a, e)
		}
	}
}

// pauseAgent pauses the agent of a worker until resume is called: the agent logs
// that it rejects a claim of another cell, and the log entry waits.
func (w *world) pauseAgent(id model.WorkerID) (resume func()) {
	a := w.agents[id]
	pause := make(chan struct{})
	a.logPause.Store(&pause)
	_ = a.taskAgent.Send(w.ctx, taskagent.FromEntry{Entry: "x", Msg: &msg.CellClaim{Command: msg.Command{Cell: "other"}}})
	return func() { close(pause) }
}

func (w *world) submit(work time.Duration, ids ...model.JobID) {
	for _, id := range ids {
		w.table.edit(id, func(r *model.JobRow) {
			*r = model.JobRow{Phase: "pending", Spec: model.JobSpec{ID: id, Team: "t", Class: "b", Program: work.String(),
				Resources: model.Resources{CPU: 1000, Memory: 1000}}}
		})
	}
}

func (w *world) sleep(d time.Duration) { actor.Sleep(w.ctx, d) }

// waitUntil waits for a condition, at most for d, and fails the test otherwise.
func (w *world) waitUntil(d time.Duration, what string, cond func() bool) {
	w.Helper()
	for end := time.Now().Add(d); !cond(); w.sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			require.Fail(w, "condition not met in time: "+what, "status %+v", w.status())
		}
	}
}

func (w *world) status() map[model.EntryID]model.CellStatus {
	all := map[model.EntryID]model.CellStatus{}
	for id, e := range w.entries {
		bounded, cancel := context.WithTimeout(w.ctx, time.Second)
		all[id], _ = actor.Ask(bounded, e.controller, func(r actor.Reply[model.CellStatus]) control.Message { return control.StatusQuery{Reply: r} })
		cancel()
	}
	return all
}

func (w *world) waitForPhase(d time.Duration, phase model.Phase, ids ...model.JobID) {
	w.Helper()
	for _, id := range ids {
		w.waitUntil(d, fmt.Sprintf("job %s %s, is %+v", id, phase, w.table.job(id)), func() bool { return w.table.job(id).Phase == phase })
	}
}

func (w *world) owner() (owner *entry) {
	w.waitUntil(time.Minute, "an owner", func() bool {
		for id, s := range w.status() {
			if s.State == "owning" {
				owner = w.entries[id]
			}
		}
		return owner != nil
	})
	return owner
}

func (w *world) eventCount(e *entry, ev event.Event) (n int) {
	w.table.withLock(func() {
		for _, id := range *e.eventIDs {
			if id == ev.ID {
				n++
			}
		}
	})
	return n
}
