package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/agent"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
)

// AgentConfig is what an agent process needs.
type AgentConfig struct {
	Worker   model.Worker
	Cell     model.Cell
	Region   model.Region
	Entries  []string // addresses for agents
	Announce net.Listener
	Dialer   link.Dialer
	Log      log.Interface
}

// Agent is a running agent.
type Agent struct {
	group *actor.Group
	slots agent.Address
}

// maxBackendConnections bounds the connections to the backend server; the
// slots bound them further.
const maxBackendConnections = 64

// StartAgent starts the actors of an agent in g.
func StartAgent(g *actor.Group, c AgentConfig) *Agent {
	a := &Agent{group: g, slots: agent.SpawnSlots(g, c.Worker.DataCentre)}
	boot := newBoot()
	applier := configstore.StartApplier(g, c.Worker.ID, c.Log)
	links := &agent.Links{
		Dialer: c.Dialer, Slots: a.slots, Log: c.Log,
		Transport:   agent.NewTransport(maxBackendConnections),
		Subscribers: []agent.Subscriber{agentConfig{g.Context(), applier}},
		Hello: func() *msg.AgentHello {
			hello := &msg.AgentHello{Worker: c.Worker, Boot: boot, Cell: c.Cell, Region: c.Region}
			if u, err := applier.Current(g.Context()); err == nil {
				hello.Version = u.Snapshot.Version()
			}
			return hello
		},
	}
	for _, address := range c.Entries {
		actor.Go(g, "entry link "+address, func(ctx context.Context) error { return links.Connect(ctx, address) })
	}
	serve(g, "announce listener", c.Announce, agent.AnnounceHandler(a.slots, c.Worker.ID), http.DefaultMaxHeaderBytes)
	watchPauses(g, c.Log)
	return a
}

// drainCheck is how often a stopping agent looks whether it is idle.
const drainCheck = 50 * time.Millisecond

// Drain stops the flow of new requests and waits until none is running.
func (a *Agent) Drain(ctx context.Context) error {
	if err := a.slots.Send(ctx, agent.Drain{}); err != nil {
		return err
	}
	for {
		st, err := actor.Ask(ctx, a.slots, func(r actor.Reply[agent.Status]) agent.Message {
			return agent.StatusQuery{Reply: r}
		})
		if err != nil || st.Running+st.Waiting == 0 {
			return err
		}
		if !actor.Sleep(ctx, drainCheck) {
			return ctx.Err()
		}
	}
}

// agentConfig passes configuration messages of entries to the applier.
type agentConfig struct {
	ctx    context.Context
	handle configstore.Handle
}

// The sends below fail only when the process ends.

func (s agentConfig) EntryUp(hello msg.EntryHello, out peer.Out) {
	_ = s.handle.LinkUp(s.ctx, string(hello.Entry), hello.Version, out)
}

func (s agentConfig) EntryDown(entry model.EntryID, out peer.Out) {
	_ = s.handle.LinkDown(s.ctx, string(entry), out)
}

func (s agentConfig) FromEntry(entry model.EntryID, m msg.Control) {
	_ = s.handle.Deliver(s.ctx, string(entry), m)
}
