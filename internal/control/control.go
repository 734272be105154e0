// Package control is the controller of a cell: it claims the ownership of the
// cell, places its jobs, starts, evicts and stops task attempts, and grants
// their leases. It does not depend on HTTP.
package control

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/health"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Message is a message to the controller's actor. Senders wait while its
// mailbox is full.
type Message interface{ isMessage() }

type (
	// AgentUp reports a link to the agent of a worker of the cell. Link
	// receives the messages for the agent. Messages are dropped while it is
	// full; the controller repeats them until they are answered.
	AgentUp struct {
		Worker model.Worker
		Cell   model.Cell
		Boot   model.Boot
		Link   actor.Address[msg.Control]
	}
	// AgentDown reports that a link is lost. It is ignored when a newer link
	// to the same worker is up.
	AgentDown struct {
		Worker model.WorkerID
		Link   actor.Address[msg.Control]
	}
	// FromAgent carries a message from an agent. The messages of one link
	// arrive in order.
	FromAgent struct {
		Worker model.WorkerID
		Msg    msg.Control
	}
	// ConfigChanged replaces the configuration that placement uses.
	ConfigChanged struct{ Config Configuration }
	// RowsChanged requests an immediate scan of the job rows, after a
	// submission.
	RowsChanged struct{}
	// EvictJob requests the eviction of a job. It is ignored if the job has
	// no task.
	EvictJob struct {
		Job    model.JobID
		Reason string
	}
	// StatusQuery requests the status of the cell.
	StatusQuery struct {
		Reply actor.Reply[model.CellStatus]
	}
	// ExplainQuery requests the explanation of a job's state.
	ExplainQuery struct {
		Job   model.JobID
		Reply actor.Reply[Explanation]
	}
)

func (AgentUp) isMessage()       {}
func (AgentDown) isMessage()     {}
func (FromAgent) isMessage()     {}
func (ConfigChanged) isMessage() {}
func (RowsChanged) isMessage()   {}
func (EvictJob) isMessage()      {}
func (StatusQuery) isMessage()   {}
func (ExplainQuery) isMessage()  {}

const mailboxSize = 1024

// Config describes a controller.
type Config struct {
	Options
	Table storage.Table
	Log   log.Interface
	// NewPlanner, if set, replaces Options.Planner, so that a restarted actor
	// gets a new planner. If both are nil, place.New with its defaults is used.
	NewPlanner func() Planner
}

// Start spawns the actor that contends for the ownership of a cell and
// controls the cell while it owns it.
func Start(g *actor.Group, cfg Config) actor.Address[Message] {
	links := map[model.WorkerID]AgentUp{} // kept when the actor fails and is restarted
	return actor.Spawn(g, actor.Spec[Message]{
		Name: "control " + string(cfg.Cell), Mailbox: mailboxSize, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan Message) error {
			sub := g.Sub()
			defer sub.Stop()
			return newController(sub, cfg, links).run(ctx, in)
		},
	})
}

// store carries out the effects that access the table service. The helper
// actors share it; only one of them commits through the writer.
type store struct {
	table  storage.Table
	cell   model.Cell
	log    log.Interface
	writer *writer
}

// controller carries out the effects of the core. Its helper actors call the
// table service and send the results to answers.
type controller struct {
	core       *Core
	log        log.Interface
	startedAt  time.Time
	links      map[model.WorkerID]AgentUp
	answers    chan Event
	writes     actor.Address[Effect] // Claim and Commit
	heartbeats actor.Address[Effect] // WriteHeartbeat
	reads      actor.Address[Effect] // Observe and Scan
}

func newController(g *actor.Group, cfg Config, links map[model.WorkerID]AgentUp) *controller {
	opts := cfg.Options
	switch {
	case cfg.NewPlanner != nil:
		opts.Planner = cfg.NewPlanner()
	case opts.Planner == nil:
		opts.Planner = place.New(place.Options{})
	}
	id := fmt.Sprintf("control/%s/%s", cfg.Cell, cfg.Entry)
	if opts.Health == nil {
		opts.Health = health.New()
	}
	s := &store{table: cfg.Table, cell: cfg.Cell, log: cfg.Log, writer: &writer{
		table: cfg.Table, log: cfg.Log, key: rows.WriterKey(id),
		// Unique for each run of the actor, also after a restart within the process.
		operationPrefix: fmt.Sprintf("%s/%x/%x", id, uint64(cfg.Boot), time.Now().UnixNano()),
	}}
	c := &controller{core: NewCore(opts), log: cfg.Log, startedAt: time.Now(), links: links, answers: make(chan Event, 16)}
	c.writes = c.spawnHelper(g, "writer", func(ctx context.Context, effect Effect) Event {
		if claim, ok := effect.(Claim); ok {
			return s.claim(ctx, claim)
		}
		return s.commitRows(ctx, effect.(Commit))
	})
	c.heartbeats = c.spawnHelper(g, "beat", func(ctx context.Context, effect Effect) Event { return s.writeHeartbeat(ctx, effect.(WriteHeartbeat)) })
	c.reads = c.spawnHelper(g, "reader", func(ctx context.Context, effect Effect) Event {
		if scan, ok := effect.(Scan); ok {
			return s.scan(ctx, scan)
		}
		return s.observe(ctx)
	})
	return c
}

// spawnHelper spawns an actor that carries out effects one after the other. Its
// mailbox cannot overflow, since the core has at most one effect of each kind
// unanswered.
func (c *controller) spawnHelper(g *actor.Group, name string, do func(context.Context, Effect) Event) actor.Address[Effect] {
	return actor.Spawn(g, actor.Spec[Effect]{Name: name, Mailbox: 4, Run: func(ctx context.Context, in <-chan Effect) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case effect := <-in:
				e := do(ctx, effect)
				if e == nil {
					return nil
				}
				select {
				case c.answers <- e:
				case <-ctx.Done():
				}
			}
		}
	}})
}

func (c *controller) now() time.Duration { return time.Since(c.startedAt) }

func (c *controller) run(ctx context.Context, in <-chan Message) error {
	for _, up := range c.links {
		c.apply(PeerUp{Worker: up.Worker, Boot: up.Boot})
	}
	return actor.Loop[Message, Event]{
		Now: c.now, NextTick: c.core.NextTick, Apply: c.apply,
		Translate: func(m Message) (Event, bool) {
			e := c.translate(m)
			return e, e != nil
		},
		Tick: Tick{}, Paused: Paused{}, PauseGap: lease.PauseGap,
	}.Run(ctx, in, c.answers)
}

// translate returns the event for a message, or nil if the core needs none.
// It answers queries itself.
func (c *controller) translate(m Message) Event {
	switch m := m.(type) {
	case AgentUp:
		c.links[m.Worker.ID] = m
		return PeerUp{Worker: m.Worker, Boot: m.Boot}
	case AgentDown:
		if c.links[m.Worker].Link != m.Link {
			return nil
		}
		delete(c.links, m.Worker)
		return PeerDown{m.Worker}
	case FromAgent:
		return Received(m)
	case ConfigChanged:
		return Configured(m)
	case RowsChanged:
		return ScanRequested{}
	case EvictJob:
		return EvictRequested(m)
	case StatusQuery:
		m.Reply.Put(c.core.Status())
	case ExplainQuery:
		m.Reply.Put(c.core.Explain(m.Job))
	}
	return nil
}

func (c *controller) apply(e Event) {
	for _, effect := range c.core.Step(c.now(), e) {
		switch effect := effect.(type) {
		case Send:
			c.links[effect.Worker].Link.TrySend(effect.Msg)
		case Log:
			event.Log(c.log, effect.Event, effect.Fields)
		case Claim, Commit:
			c.writes.TrySend(effect)
		case WriteHeartbeat:
			c.heartbeats.TrySend(effect)
		case Observe, Scan:
			c.reads.TrySend(effect)
		}
	}
}
