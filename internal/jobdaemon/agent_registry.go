package jobdaemon

import (
	"context"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// registry implements runner.Registry: it passes announcements to the agent.
type registry struct{ agent *agent }

func (r *registry) Announce(ctx context.Context, announcement runner.Announcement) error {
	_, err := actor.Ask(ctx, r.agent.address, func(rep actor.Reply[bool]) any { return &announced{announcement, rep} })
	return err
}

func (r *registry) Leave(ctx context.Context, id workload.Instance, startedAtMS int64) error {
	_, err := actor.Ask(ctx, r.agent.address, func(rep actor.Reply[bool]) any { return &deregistered{id, startedAtMS, rep} })
	return err
}
