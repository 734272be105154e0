// Package taskagent manages the task attempts of one host: their lifecycles,
// their leases and the calls to the worker that runs them. It makes no
// placement decisions.
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

// Message is a message to the actor. Senders block while its mailbox is full.
type Message interface{ isMessage() }

// EntryUp reports that a link to an entry is up. Messages for the entry are
// sent to Link.
type EntryUp struct {
	Entry model.EntryID
	Boot  model.Boot
	Link  actor.Address[msg.Control]
}

// EntryDown reports that a link to an entry is lost. It is ignored when a
// newer link to the same entry is up.
type EntryDown struct {
	Entry model.EntryID
	Link  actor.Address[msg.Control]
}

// FromEntry carries a message from an entry. Messages of one link arrive in
// the order in which they were sent.
type FromEntry struct {
	Entry model.EntryID
	Msg   msg.Control
}

func (EntryUp) isMessage()   {}
func (EntryDown) isMessage() {}
func (FromEntry) isMessage() {}

// Config describes the host whose attempts the actor manages.
type Config struct {
	Worker model.Worker
	Cell   model.Cell
	Client WorkerClient
	Log    log.Interface
}

const (
	mailboxSize = 256
	// callTimeout bounds every call to the worker except Checkpoint, which
	// writes the state of the task and may take longer.
	callTimeout       = 5 * time.Second
	checkpointTimeout = 2 * time.Minute
)

// Start spawns the actor that manages the task attempts of a host.
func Start(g *actor.Group, cfg Config) actor.Address[Message] {
	links := map[model.EntryID]actor.Address[msg.Control]{} // kept when the actor is restarted
	return actor.Spawn(g, actor.Spec[Message]{
		Name: "tasks", Mailbox: mailboxSize, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan Message) error {
			sub := g.Sub()
			defer sub.Stop()
			a := &agent{
				cfg: cfg, group: sub, core: NewCore(cfg.Worker, cfg.Cell), startedAt: time.Now(),
				links: links, results: make(chan Event, mailboxSize),
			}
			return a.run(ctx, in)
		},
	})
}

// agent carries out the effects of the core. Each call to the worker is made
// by a goroutine of its own, which sends the result to results.
type agent struct {
	cfg       Config
	group     *actor.Group
	core      *Core
	startedAt time.Time
	links     map[model.EntryID]actor.Address[msg.Control]
	results   chan Event
}

func (a *agent) now() time.Duration { return time.Since(a.startedAt) }

func (a *agent) run(ctx context.Context, in <-chan Message) error {
	for entry := range a.links {
		a.apply(LinkUp{entry})
	}
	return actor.Loop[Message, Event]{
		Now: a.now, NextTick: a.core.NextTick, Apply: a.apply,
		Translate: func(m Message) (Event, bool) {
			e := a.translate(m)
			return e, e != nil
		},
		Tick: Tick{}, Paused: Paused{}, PauseGap: lease.PauseGap,
	}.Run(ctx, in, a.results)
}

func (a *agent) translate(m Message) Event {
	switch m := m.(type) {
	case EntryUp:
		a.links[m.Entry] = m.Link
		return LinkUp{m.Entry}
	case EntryDown:
		if a.links[m.Entry] != m.Link {
			return nil
		}
		delete(a.links, m.Entry)
		return LinkDown{m.Entry}
	case FromEntry:
		return Received(m)
	}
	return nil
}

func (a *agent) apply(e Event) {
	for _, effect := range a.core.Step(a.now(), e) {
		switch effect := effect.(type) {
		case Send:
			// The message is dropped when the link's mailbox is full. This
			// is safe because reports, acknowledgements and renewals are
			// repeated.
			a.links[effect.Entry].TrySend(effect.Msg)
		case Log:
			event.Log(a.cfg.Log, effect.Event, effect.Fields)
		case CallList:
			a.call(callTimeout, func(ctx context.Context) Event {
				tasks, err := a.cfg.Client.List(ctx)
				return ListResult{Tasks: tasks, Err: err}
			})
		default:
			a.callTask(effect)
		}
	}
}

// callTask makes a call that concerns one attempt.
func (a *agent) callTask(effect Effect) {
	client := a.cfg.Client
	switch effect := effect.(type) {
	case CallStart:
		a.callLeased(StartCall, effect.Request.Attempt, effect.Until, func(ctx context.Context, d time.Duration) error {
			r := effect.Request
			r.Lease = d
			return client.Start(ctx, r)
		})
	case CallRenew:
		a.callLeased(RenewCall, effect.Attempt, effect.Until, func(ctx context.Context, d time.Duration) error {
			return client.Renew(ctx, effect.Attempt, d)
		})
	case CallStop:
		a.call(callTimeout, func(ctx context.Context) Event {
			return newCallResult(StopCall, effect.Attempt, client.Stop(ctx, effect.Attempt))
		})
	case CallThrottle:
		a.call(callTimeout, func(ctx context.Context) Event {
			return newCallResult(ThrottleCall, effect.Attempt, client.Throttle(ctx, effect.Attempt, effect.Percent))
		})
	case CallCheckpoint:
		a.call(checkpointTimeout, func(ctx context.Context) Event {
			name, err := client.Checkpoint(ctx, effect.Attempt)
			result := newCallResult(CheckpointCall, effect.Attempt, err)
			result.Checkpoint = name
			return result
		})
	}
}

// callLeased makes a call that extends the worker's lease of a task until the
// given time at the latest. The remaining time is computed in the goroutine of
// the call, because the process may have been paused since the core decided.
func (a *agent) callLeased(call Call, id model.AttemptID, until time.Duration, do func(context.Context, time.Duration) error) {
	a.call(callTimeout, func(ctx context.Context) Event {
		d := min(lease.WorkerTTL, until-a.now())
		if d <= 0 {
			return CallResult{Call: call, Attempt: id, Refused: true, Err: errLeaseEnded}
		}
		return newCallResult(call, id, do(ctx, d))
	})
}

var errLeaseEnded = errors.New("the lease ended before the call was made")

func newCallResult(call Call, id model.AttemptID, err error) CallResult {
	return CallResult{Call: call, Attempt: id, Err: err, Refused: errors.Is(err, ErrRefused), NoTask: errors.Is(err, ErrNoTask)}
}

// call runs do in a goroutine and sends its result to the core.
func (a *agent) call(timeout time.Duration, do func(context.Context) Event) {
	actor.Go(a.group, "worker-call", func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		e := do(bounded)
		select {
		case a.results <- e:
		case <-ctx.Done():
		}
		return nil
	})
}
