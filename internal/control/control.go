// Package control owns cells: it claims them, places jobs, evicts and stops
// task attempts, and grants their leases. It knows nothing of HTTP.
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

// Message is a message to the actor. Senders wait for room in the mailbox.
type Message interface{ isMessage() }

type (
	// AgentUp reports a link to the agent of a worker of the cell. Link
	// receives the messages for it; when it is full they are dropped, and
	// repeated later.
	AgentUp struct {
		Worker model.Worker
		Cell   model.Cell
		Boot   model.Boot
		Link   actor.Address[msg.Control]
	}
	// AgentDown reports that a link is lost; it is ignored when a newer link
	// to the same worker is up.
	AgentDown struct {
		Worker model.WorkerID
		Link   actor.Address[msg.Control]
	}
	// FromAgent carries a message of an agent, in the order of its link.
	FromAgent struct {
		Worker model.WorkerID
		Msg    msg.Control
	}
	// ConfigChanged replaces the configuration that placement uses.
	ConfigChanged struct{ Config Configuration }
	// RowsChanged asks to read the job rows at once, after a submission.
	RowsChanged struct{}
	// EvictJob asks to evict a running job. It is dropped if the job has none.
	EvictJob struct {
		Job    model.JobID
		Reason string
	}
	// StatusQuery asks for the status of the cell.
	StatusQuery struct {
		Reply actor.Reply[model.CellStatus]
	}
	// ExplainQuery asks why a job is where it is.
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
	// NewPlanner replaces Options.Planner, so that a restarted actor has a new
	// one. Nil: place.New with its defaults.
	NewPlanner func() Planner
}

// Start spawns the actor that contends for a cell.
func Start(g *actor.Group, cfg Config) actor.Address[Message] {
	links := map[model.WorkerID]AgentUp{} // outlives a failed run
	return actor.Spawn(g, actor.Spec[Message]{
		Name: "control " + string(cfg.Cell), Mailbox: mailboxSize, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan Message) error {
			sub := g.Sub()
			defer sub.Stop()
			return newController(sub, cfg, links).run(ctx, in)
		},
	})
}

// store carries out the effects at the table. It is shared by the helper
// actors, of which only one uses the writer.
type store struct {
	table  storage.Table
	cell   model.Cell
	log    log.Interface
	writer *writer
}

// owner carries out the effects of the core. Its helpers call the table and
// send the results to answers.
type controller struct {
	core       *Core
	log        log.Interface
	startedAt  time.Time
	links      map[model.WorkerID]AgentUp
	answers    chan Event
	writes     actor.Address[Effect] // Claim and Commit
	heartbeats actor.Address[Effect]
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
		// Unique for each run, also after a restart within the process.
		operationPrefix: fmt.Sprintf("%s/%x/%x", id, uint64(cfg.Boot), time.Now().UnixNano()),
	}}
	o := &controller{core: NewCore(opts), log: cfg.Log, startedAt: time.Now(), links: links, answers: make(chan Event, 16)}
	o.writes = o.helper(g, "writer", func(ctx context.Context, effect Effect) Event {
		if claim, ok := effect.(Claim); ok {
			return s.claim(ctx, claim)
		}
		return s.commitRows(ctx, effect.(Commit))
	})
	o.heartbeats = o.helper(g, "beat", func(ctx context.Context, effect Effect) Event { return s.writeHeartbeat(ctx, effect.(WriteHeartbeat)) })
	o.reads = o.helper(g, "reader", func(ctx context.Context, effect Effect) Event {
		if scan, ok := effect.(Scan); ok {
			return s.scan(ctx, scan)
		}
		return s.observe(ctx)
	})
	return o
}

// helper spawns an actor that carries out effects one after the other. The
// core has at most one of each kind unanswered, so its mailbox has room.
func (o *controller) helper(g *actor.Group, name string, do func(context.Context, Effect) Event) actor.Address[Effect] {
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
				case o.answers <- e:
				case <-ctx.Done():
				}
			}
		}
	}})
}

func (o *controller) now() time.Duration { return time.Since(o.startedAt) }

func (o *controller) run(ctx context.Context, in <-chan Message) error {
	for _, up := range o.links {
		o.apply(PeerUp{Worker: up.Worker, Boot: up.Boot})
	}
	return actor.Loop[Message, Event]{
		Now: o.now, NextTick: o.core.Next, Apply: o.apply,
		Translate: func(m Message) (Event, bool) {
			e := o.translate(m)
			return e, e != nil
		},
		Tick: Tick{}, Paused: Paused{}, PauseGap: lease.PauseGap,
	}.Run(ctx, in, o.answers)
}

// translate returns the event of a message, or nil when it needs none.
func (o *controller) translate(m Message) Event {
	switch m := m.(type) {
	case AgentUp:
		o.links[m.Worker.ID] = m
		return PeerUp{Worker: m.Worker, Boot: m.Boot}
	case AgentDown:
		if o.links[m.Worker].Link != m.Link {
			return nil
		}
		delete(o.links, m.Worker)
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
		m.Reply.Put(o.core.Status())
	case ExplainQuery:
		m.Reply.Put(o.core.Explain(m.Job))
	}
	return nil
}

func (o *controller) apply(e Event) {
	for _, effect := range o.core.Step(o.now(), e) {
		switch effect := effect.(type) {
		case Send:
			o.links[effect.Worker].Link.TrySend(effect.Msg)
		case Log:
			event.Log(o.log, effect.Event, effect.Fields)
		case Claim, Commit:
			o.writes.TrySend(effect)
		case WriteHeartbeat:
			o.heartbeats.TrySend(effect)
		case Observe, Scan:
			o.reads.TrySend(effect)
		}
	}
}
