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
	recentEvents = 500
	// recentMailbox is the number of events that may wait to be kept; more
	// are written to the log only.
	recentMailbox = 256
	maxFieldBytes = 1024
)

// Recent keeps the newest log events of a process in an actor. It is a log
// handler that passes each event on to the next one.
type Recent struct {
	next  log.Handler
	level *actor.Value[log.Level] // lower ones are dropped
	addr  actor.Address[recentMessage]
}

// recentMessage is an event to keep, or the question for all of them.
type recentMessage struct {
	event  operator.LoggedEvent
	answer *actor.Reply[[]operator.LoggedEvent]
}

// StartRecent starts the actor in g.
func StartRecent(g *actor.Group, next log.Handler) *Recent {
	return &Recent{next: next, level: &actor.Value[log.Level]{}, addr: actor.Spawn(g, actor.Spec[recentMessage]{Name: "recent events", Mailbox: recentMailbox, Run: keepRecent})}
}

func keepRecent(ctx context.Context, in <-chan recentMessage) error {
	var ring []operator.LoggedEvent
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			if m.answer != nil {
				m.answer.Put(append([]operator.LoggedEvent{}, ring...))
				continue
			}
			if len(ring) == recentEvents {
				ring = ring[1:] // append copies the rest when its array is full
			}
			ring = append(ring, m.event)
		}
	}
}

// SetLevel sets the lowest level that is logged. It may be called while the
// process logs, unlike log.SetLevel.
func (r *Recent) SetLevel(l log.Level) { r.level.Set(&l) }

// HandleLog implements log.Handler. It never waits for the actor.
func (r *Recent) HandleLog(e *log.Entry) error {
	if lowest := r.level.Get(); lowest != nil && e.Level < *lowest {
		return nil
	}
	fields := make(map[string]string, len(e.Fields))
	for k, v := range e.Fields {
		text := fmt.Sprint(v)
		fields[k] = text[:min(len(text), maxFieldBytes)]
	}
	r.addr.TrySend(recentMessage{event: operator.LoggedEvent{Time: e.Timestamp, Level: e.Level.String(), Message: e.Message, Fields: fields}})
	return r.next.HandleLog(e)
}

// Events returns the newest events, the oldest first.
func (r *Recent) Events(ctx context.Context) ([]operator.LoggedEvent, error) {
	return actor.Ask(ctx, r.addr, func(a actor.Reply[[]operator.LoggedEvent]) recentMessage { return recentMessage{answer: &a} })
}
