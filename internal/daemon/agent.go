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
	"github.com/bambooscale/bambooscale/internal/directory"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// AgentConfig holds the options of an agent process.
type AgentConfig struct {
	Worker       model.Worker
	Cell         model.Cell
	Region       model.Region
	Entries      []string // addresses on which entries accept agents; always connected to
	Announce     net.Listener
	Dialer       link.Dialer
	WorkerClient taskagent.WorkerClient // nil: the host runs no tasks
	Table        storage.Table          // nil: the agent connects only to Entries
	Log          log.Interface
}

// Agent is a running agent.
type Agent struct {
	group *actor.Group
	slots agent.Address // of the actor that owns the slots of the backend server
}

const (
	// maxBackendConnections bounds the connections to the backend server. The
	// number of its slots may bound them further.
	maxBackendConnections = 64
	// agentDirectoryInterval is the time between two reads of the list of
	// entries. 6,900 agents make 115 reads/s; the table handles 2,000.
	agentDirectoryInterval = time.Minute
)

// StartAgent starts the actors of an agent in g.
func StartAgent(g *actor.Group, c AgentConfig) *Agent {
	a := &Agent{group: g, slots: agent.SpawnSlots(g, c.Worker)}
	boot := newBoot()
	applier := configstore.StartApplier(g, c.Worker.ID, c.Log)
	links := &agent.Links{
		Dialer: c.Dialer, Slots: a.slots, Log: c.Log,
		Transport:   agent.NewTransport(maxBackendConnections),
		Subscribers: []agent.Subscriber{agentConfigSubscriber{g.Context(), applier}},
		Hello: func() *msg.AgentHello {
			hello := &msg.AgentHello{Worker: c.Worker, Boot: boot, Cell: c.Cell, Region: c.Region}
			if update, err := applier.Current(g.Context()); err == nil {
				hello.Version = update.Snapshot.Version()
			}
			return hello
		},
	}
	if c.WorkerClient != nil {
		tasks := taskagent.Start(g, taskagent.Config{Worker: c.Worker, Cell: c.Cell, Client: c.WorkerClient, Log: c.Log})
		links.Subscribers = append(links.Subscribers, agentTaskSubscriber{g.Context(), tasks})
	}
	connector := spawnConnector(g, links, c.Region, c.Entries)
	if c.Table != nil {
		directory.Follow(g, c.Table, agentDirectoryInterval, c.Log, func(list directory.List) {
			_ = connector.Send(g.Context(), list.Entries)
		})
	}
	serve(g, "announce listener", c.Announce, agent.AnnounceHandler(a.slots, c.Worker.ID), http.DefaultMaxHeaderBytes)
	watchPauses(g, c.Log)
	return a
}

// spawnConnector starts the actor that keeps a link to each entry of the
// settings and to each running entry of the region.
func spawnConnector(g *actor.Group, links *agent.Links, region model.Region, seeds []string) actor.Address[[]rows.Entry] {
	return actor.Spawn(g, actor.Spec[[]rows.Entry]{Name: "connector", Mailbox: 1,
		Run: func(ctx context.Context, in <-chan []rows.Entry) error {
			connected := map[string]*actor.Group{}
			wanted := map[string]bool{}
			for _, address := range seeds {
				wanted[address] = true
			}
			for {
				reconcileLinks(g, links, connected, wanted)
				select {
				case list := <-in:
					wanted = wantedEntries(list, region, seeds)
				case <-ctx.Done():
					return nil
				}
			}
		}})
}

// wantedEntries returns the addresses of the seeds and of the entries of the
// region.
func wantedEntries(list []rows.Entry, region model.Region, seeds []string) map[string]bool {
	wanted := map[string]bool{}
	for _, address := range seeds {
		wanted[address] = true
	}
	for _, e := range list {
		if e.Region == region {
			wanted[e.Address] = true
		}
	}
	return wanted
}

// reconcileLinks starts the missing links and ends the links to entries that
// are no longer wanted.
func reconcileLinks(g *actor.Group, links *agent.Links, connected map[string]*actor.Group, wanted map[string]bool) {
	for address := range wanted {
		if connected[address] == nil {
			sub := g.Sub()
			connected[address] = sub
			actor.Go(sub, "entry link "+address, func(ctx context.Context) error { return links.Connect(ctx, address) })
		}
	}
	for address, sub := range connected {
		if !wanted[address] {
			sub.Cancel()
			delete(connected, address)
		}
	}
}

const (
	// drainPollInterval is the time between two checks whether a stopping agent
	// is drained.
	drainPollInterval = 50 * time.Millisecond
	// lingerTime lets the entries read the last responses before the links
	// close. A socket that is closed with unread data is reset, and its peer
	// loses what it has not read.
	lingerTime = 500 * time.Millisecond
)

// Drain makes the agent accept no new requests and waits until no request is
// running or in flight. It returns an error when ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	if err := a.slots.Send(ctx, agent.Drain{}); err != nil {
		return err
	}
	for {
		status, err := actor.Ask(ctx, a.slots, func(r actor.Reply[agent.Status]) agent.Message {
			return agent.StatusQuery{Reply: r}
		})
		if err != nil {
			return err
		}
		if status.Drained {
			actor.Sleep(ctx, lingerTime)
			return nil
		}
		if !actor.Sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}

// agentConfigSubscriber forwards configuration messages of entries to the
// applier. Its sends fail only when the process ends, so their errors are
// ignored.
type agentConfigSubscriber struct {
	ctx    context.Context
	handle configstore.Handle
}

// EntryUp implements agent.Subscriber.
func (s agentConfigSubscriber) EntryUp(hello msg.EntryHello, out peer.Out) {
	_ = s.handle.LinkUp(s.ctx, string(hello.Entry), hello.Version, out)
}

// EntryDown implements agent.Subscriber.
func (s agentConfigSubscriber) EntryDown(entry model.EntryID, out peer.Out) {
	_ = s.handle.LinkDown(s.ctx, string(entry), out)
}

// FromEntry implements agent.Subscriber.
func (s agentConfigSubscriber) FromEntry(entry model.EntryID, m msg.Control) {
	switch m.(type) {
	case *msg.ConfigDelta, *msg.ConfigRequest, *msg.ConfigApplied:
		_ = s.handle.Deliver(s.ctx, string(entry), m)
	}
}

// agentTaskSubscriber forwards commands of controllers to the actor that owns
// the attempts. Its sends fail only when the process ends, so their errors are
// ignored.
type agentTaskSubscriber struct {
	ctx   context.Context
	tasks actor.Address[taskagent.Message]
}

// EntryUp implements agent.Subscriber.
func (s agentTaskSubscriber) EntryUp(hello msg.EntryHello, out peer.Out) {
	_ = s.tasks.Send(s.ctx, taskagent.EntryUp{Entry: hello.Entry, Boot: hello.Boot, Link: out})
}

// EntryDown implements agent.Subscriber.
func (s agentTaskSubscriber) EntryDown(entry model.EntryID, out peer.Out) {
	_ = s.tasks.Send(s.ctx, taskagent.EntryDown{Entry: entry, Link: out})
}

// FromEntry implements agent.Subscriber.
func (s agentTaskSubscriber) FromEntry(entry model.EntryID, m msg.Control) {
	switch m.(type) {
	case *msg.ConfigDelta, *msg.ConfigRequest, *msg.ConfigApplied:
	default:
		_ = s.tasks.Send(s.ctx, taskagent.FromEntry{Entry: entry, Msg: m})
	}
}
