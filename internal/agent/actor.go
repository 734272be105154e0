package agent

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
)

// Address is the address of a slots actor.
type Address = actor.Address[Message]

// mailboxSize is the number of messages that the slots actor's mailbox holds.
// Senders block when it is full.
const mailboxSize = 1024

// SpawnSlots starts the actor that owns the slots of the host's backend
// server.
func SpawnSlots(g *actor.Group, host model.Worker) Address {
	return actor.Spawn(g, actor.Spec[Message]{Name: "slots", Mailbox: mailboxSize,
		Run: func(ctx context.Context, in <-chan Message) error {
			return runSlots(ctx, newSlots(host), in)
		}})
}

// runSlots handles messages and timers until ctx ends.
func runSlots(ctx context.Context, s *slots, in <-chan Message) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	defer s.timers.Stop()
	for {
		select {
		case m := <-in:
			s.handle(m)
		case <-s.timers.C():
			for k, ok := s.timers.Pop(time.Now()); ok; k, ok = s.timers.Pop(time.Now()) {
				s.expire(k)
			}
		case <-ticker.C:
			s.tick()
		case <-ctx.Done():
			return nil
		}
	}
}
