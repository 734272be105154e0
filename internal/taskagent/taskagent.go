// Package taskagent is the agent's side of task attempts: it owns the attempts of
// its host, their leases and the calls to the worker. It knows nothing of
// placement.
package taskagent

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
)

// Message is a message to the actor. Senders wait for room in the mailbox.
type Message interface{ isMessage() }

// EntryUp reports a link to an entry. Link receives the messages for it.
type EntryUp struct {
	Entry model.EntryID
	Boot  model.Boot
	Link  actor.Address[msg.Control]
}

// EntryDown reports that a link is lost; it is ignored when a newer link to
// the same entry is up.
type EntryDown struct {
	Entry model.EntryID
	Link  actor.Address[msg.Control]
}

// FromEntry carries a message of an entry, in the order of its link.
type FromEntry struct {
	Entry model.EntryID
	Msg   msg.Control
}

func (EntryUp) isMessage()   {}
func (EntryDown) isMessage() {}
func (FromEntry) isMessage() {}

// Config describes the host whose attempts an actor owns.
type Config struct {
	Worker model.Worker
	Cell   model.Cell
	Client WorkerClient
	Log    log.Interface
}

const (
	mailbox = 256
	// callTimeout bounds a call to the worker. A checkpoint may take longer.
	callTimeout       = 5 * time.Second
	checkpointTimeout = 2 * time.Minute
)

// Start spawns the actor that owns the task attempts of a host.
func Start(g *actor.Group, cfg Config) actor.Address[Message] {
	links := map[model.EntryID]actor.Address[msg.Control]{} // outlives a failed run
	return actor.Spawn(g, actor.Spec[Message]{
		Name: "tasks", Mailbox: mailbox, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan Message) error {
			sub := g.Sub()
			defer sub.Stop()
			o := &owner{
				cfg: cfg, group: sub, core: NewCore(cfg.Worker, cfg.Cell), began: time.Now(),
				links: links, answers: make(chan Event, mailbox),
			}
			return o.run(ctx, in)
		},
	})
}

// owner carries out the effects of the core. Its helpers make the calls to the
// worker and send their results to answers.
type owner struct {
	cfg     Config
	group   *actor.Group
	core    *Core
	began   time.Time
	links   map[model.EntryID]actor.Address[msg.Control]
	answers chan Event
}

func (o *owner) now() time.Duration { return time.Since(o.began) }

func (o *owner) run(ctx context.Context, in <-chan Message) error {
	for entry := range o.links {
		o.apply(LinkUp{entry})
	}
	return actor.Loop[Message, Event]{
		Now: o.now, NextTick: o.core.NextTick, Apply: o.apply,
		Translate: func(m Message) (Event, bool) {
			e := o.translate(m)
			return e, e != nil
		},
		Tick: Tick{}, Paused: Paused{}, PauseGap: lease.PauseGap,
	}.Run(ctx, in, o.answers)
}

func (o *owner) translate(m Message) Event {
	switch m := m.(type) {
	case EntryUp:
		o.links[m.Entry] = m.Link
		return LinkUp{m.Entry}
	case EntryDown:
		if o.links[m.Entry] != m.Link {
			return nil
		}
		delete(o.links, m.Entry)
		return LinkDown{m.Entry}
	case FromEntry:
		return Received(m)
	}
	return nil
}

func (o *owner) apply(e Event) {
	for _, f := range o.core.Step(o.now(), e) {
		switch f := f.(type) {
		case Send:
			// A full link drops the message: reports, acknowledgements and
			// renewals are all repeated.
			o.links[f.Entry].TrySend(f.Msg)
		case Log:
			event.Log(o.cfg.Log, f.Event, f.Fields)
		case CallList:
			o.call(callTimeout, func(ctx context.Context) Event {
				tasks, err := o.cfg.Client.List(ctx)
				return ListResult{Tasks: tasks, Err: err}
			})
		default:
			o.callTask(f)
		}
	}
}

// callTask makes a call that concerns one attempt.
func (o *owner) callTask(f Effect) {
	host := o.cfg.Client
	switch f := f.(type) {
	case CallStart:
		o.callLeased(StartCall, f.Request.Attempt, f.Until, func(ctx context.Context, d time.Duration) error {
			r := f.Request
			r.Lease = d
			return host.Start(ctx, r)
		})
	case CallRenew:
		o.callLeased(RenewCall, f.Attempt, f.Until, func(ctx context.Context, d time.Duration) error {
			return host.Renew(ctx, f.Attempt, d)
		})
	case CallStop:
		o.call(callTimeout, func(ctx context.Context) Event { return answer(StopCall, f.Attempt, host.Stop(ctx, f.Attempt)) })
	case CallThrottle:
		o.call(callTimeout, func(ctx context.Context) Event {
			return answer(ThrottleCall, f.Attempt, host.Throttle(ctx, f.Attempt, f.Percent))
		})
	case CallCheckpoint:
		o.call(checkpointTimeout, func(ctx context.Context) Event {
			name, err := host.Checkpoint(ctx, f.Attempt)
			a := answer(CheckpointCall, f.Attempt, err)
			a.Checkpoint = name
			return a
		})
	}
}

// callLeased makes a call that extends the worker's lease. The length is
// computed by the helper immediately before the call, because the process may
// have been paused since the owner decided.
func (o *owner) callLeased(call Call, id model.AttemptID, until time.Duration, do func(context.Context, time.Duration) error) {
	o.call(callTimeout, func(ctx context.Context) Event {
		d := min(lease.WorkerTTL, until-o.now())
		if d <= 0 {
			return CallResult{Call: call, Attempt: id, Refused: true, Err: errLeaseEnded}
		}
		return answer(call, id, do(ctx, d))
	})
}

var errLeaseEnded = errors.New("the lease ended before the call was made")

func answer(call Call, id model.AttemptID, err error) CallResult {
	return CallResult{Call: call, Attempt: id, Err: err, Refused: errors.Is(err, ErrRefused), NoTask: errors.Is(err, ErrNoTask)}
}

func (o *owner) call(timeout time.Duration, do func(context.Context) Event) {
	actor.Go(o.group, "worker-call", func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		e := do(bounded)
		select {
		case o.answers <- e:
		case <-ctx.Done():
		}
		return nil
	})
}
