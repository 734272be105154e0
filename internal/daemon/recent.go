package daemon

import (
	"context"
	"fmt"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/operator"
)

const (
	// recentEvents bounds the log events that are kept for diagnostics.
	maxRecentEvents = 500
	// recentMailbox is the number of events that may wait to be kept; more
	// are written to the log only.
	recentMailboxSize = 256
	maxFieldBytes     = 1024
)

// Recent keeps the newest log events of a process in an actor. It is a log
// handler that passes each event on to the next one.
type RecentEvents struct {
	next     log.Handler
	minLevel *actor.Value[log.Level] // lower ones are dropped
	address  actor.Address[recentMessage]
}

// recentMessage is an event to keep, or the question for all of them.
type recentMessage struct {
	event operator.LoggedEvent
	reply *actor.Reply[[]operator.LoggedEvent]
}

// StartRecent starts the actor in g.
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

// HandleLog implements log.Handler. It never waits for the actor.
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
