package daemon

import (
	"context"
	"fmt"
	"net"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// DevConfig holds the options of a whole system in one process.
type DevConfig struct {
	Listen         string // address for callers
	OperatorListen string // address for operators
	Build          string // version of the program
	Log            log.Interface
	RecentEvents   *RecentEvents // the newest log events; may be nil
}

// Dev is a whole system in one process, on loopback addresses: an entry, an
// agent, and simulators of the table service, the object store, a worker and a
// backend server.
type Dev struct {
	Callers  string // address
	Operator string // address
	entry    *Entry
	agent    *Agent
}

const (
	devDataCentre   = "dev"
	devCell         = "dev"
	devService      = "permit-desk"
	devWorker       = "worker-1"
	devMilliCPU     = 8000
	devMemoryBytes  = 16 << 30
	anyLoopbackPort = "127.0.0.1:0"
)

// StartDev starts the system in g. It fails when it cannot listen on an address,
// for example because the address is in use.
func StartDev(g *actor.Group, c DevConfig) (*Dev, error) {
	callersListener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("%w; choose another address for callers with --listen", err)
	}
	operatorListener, err := net.Listen("tcp", c.OperatorListen)
	if err != nil {
		return nil, fmt.Errorf("%w; choose another address for operators with --operator-listen", err)
	}
	agentsListener, err := link.Listen(g, anyLoopbackPort, link.Config{})
	if err != nil {
		return nil, err
	}
	table := standin.NewTable(g, standin.StoreFaults{})
	objects := standin.NewObjects(g, standin.StoreFaults{})
	d := &Dev{Callers: callersListener.Addr().String(), Operator: operatorListener.Addr().String()}
	d.entry = StartEntry(g, EntryConfig{
		Settings: devSettings(), Build: c.Build, Table: table, Objects: objects,
		Callers: callersListener, Agents: agentsListener, Operator: operatorListener, Log: c.Log, RecentEvents: c.RecentEvents,
	})
	return d, d.startHost(g, c, agentsListener.Addr(), objects)
}

func devSettings() *settings.Settings {
	s := &settings.Settings{}
	s.Daemon.ID, s.Daemon.DataCentre, s.Daemon.Role = "entry-1", devDataCentre, settings.RoleEntry
	s.Entry.Cells, s.Entry.DefaultCell = []model.Cell{devCell}, devCell
	s.Entry.DefaultService = devService
	s.Entry.MaxBody, s.Entry.MaxHeader, s.Entry.MaxCallers = 64<<20, 64<<10, 4096
	return s
}

// startHost starts the simulated host: its worker, its backend server and its
// agent.
func (d *Dev) startHost(g *actor.Group, c DevConfig, entryAddress string, objects *standin.Objects) error {
	announceListener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return err
	}
	workerListener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return err
	}
	backendListener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return err
	}
	capacity := model.Resources{CPU: devMilliCPU, Memory: devMemoryBytes}
	worker := standin.NewWorker(g, standin.WorkerConfig{ID: devWorker, Capacity: capacity, Objects: objects})
	actor.Go(g, "simulated worker", func(ctx context.Context) error { return worker.Serve(ctx, workerListener) })
	backend := standin.NewBackend(g, standin.BackendConfig{
		Service: devService, Address: backendListener.Addr().String(), Agent: "http://" + announceListener.Addr().String(),
	})
	actor.Go(g, "simulated backend server", func(ctx context.Context) error { return backend.Serve(ctx, backendListener) })
	d.agent = StartAgent(g, AgentConfig{
		Worker: model.Worker{ID: devWorker, DataCentre: devDataCentre, Rack: "rack-1", Capacity: capacity},
		Cell:   devCell, Entries: []string{entryAddress}, Announce: announceListener,
		Dialer: link.NewDialer(g, link.Config{}), Log: c.Log,
		WorkerClient: taskagent.NewHTTPWorkerClient("http://"+workerListener.Addr().String(), taskagent.WorkerHTTPClient()),
	})
	return nil
}

// Drain drains the entry first and then the agent, so that requests in progress
// are answered.
func (d *Dev) Drain(ctx context.Context) error {
	if err := d.entry.Drain(ctx); err != nil {
		return err
	}
	return d.agent.Drain(ctx)
}
