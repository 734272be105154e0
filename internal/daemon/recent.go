package daemon

import (
	"context"
	"fmt"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/operator"
)

const (
	// maxRecentEvents bounds the log events that are kept for diagnostics.
	maxRecentEvents = 500
	// recentMailboxSize bounds the events in the actor's mailbox. Events beyond
	// it are written to the log but not kept.
	recentMailboxSize = 256
	// maxFieldBytes bounds the value of a field of a kept event; the rest of the
	// value is cut off.
	maxFieldBytes = 1024
)

// RecentEvents keeps the newest log events of a process in an actor. It is a log
// handler that passes each event on to the next handler. It is safe for
// concurrent use.
type RecentEvents struct {
	next     log.Handler
	minLevel *actor.Value[log.Level] // events of lower levels are dropped
	address  actor.Address[recentMessage]
}

// recentMessage is an event to keep, or a query for all kept events when reply
// is set.
type recentMessage struct {
	event operator.LoggedEvent
	reply *actor.Reply[[]operator.LoggedEvent]
}

// StartRecentEvents starts the actor in g. Events are passed on to next.
func StartRecentEvents(g *actor.Group, next log.Handler) *RecentEvents {
	return &RecentEvents{next: next, minLevel: &actor.Value[log.Level]{}, address: actor.Spawn(g, actor.Spec[recentMessage]{Name: "recent events", Mailbox: recentMailboxSize, Run: runRecentEvents})}
}

func runRecentEvents(ctx context.Context, in <-chan recentMessage) error {
	var events []operator.LoggedEvent
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			if m.reply != nil {
				m.reply.Put(append([]operator.LoggedEvent{}, events...))
				continue
			}
			if len(events) == maxRecentEvents {
				events = events[1:] // append copies the rest when its array is full
			}
			events = append(events, m.event)
		}
	}
}

// SetLevel sets the lowest level that is logged. It may be called while the
// process logs, unlike log.SetLevel.
func (r *RecentEvents) SetLevel(l log.Level) { r.minLevel.Set(&l) }

// HandleLog implements log.Handler. It does not wait for the actor: when the
// mailbox is full the event is not kept.
func (r *RecentEvents) HandleLog(e *log.Entry) error {
	if minLevel := r.minLevel.Get(); minLevel != nil && e.Level < *minLevel {
		return nil
	}
	fields := make(map[string]string, len(e.Fields))
	for k, v := range e.Fields {
		text := fmt.Sprint(v)
		fields[k] = text[:min(len(text), maxFieldBytes)]
	}
	r.address.TrySend(recentMessage{event: operator.LoggedEvent{Time: e.Timestamp, Level: e.Level.String(), Message: e.Message, Fields: fields}})
	return r.next.HandleLog(e)
}

// Events returns the newest events, the oldest first.
func (r *RecentEvents) Events(ctx context.Context) ([]operator.LoggedEvent, error) {
	return actor.Ask(ctx, r.address, func(a actor.Reply[[]operator.LoggedEvent]) recentMessage { return recentMessage{reply: &a} })
}
