package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// DevConfig are the options of a whole system in one process.
type DevConfig struct {
	Listen         string // for callers
	OperatorListen string
	Build          string // version of the program
	Log            log.Interface
	Recent         *Recent // the newest log events; may be nil
}

// Dev is a whole system in one process: entry, agent, and simulators of the
// platform, a worker and a backend server, on loopback.
type Dev struct {
	Callers  string // address
	Operator string // address
	entry    *Entry
	agent    *Agent
}

const (
	devDataCentre = "dev"
	devCell       = "dev"
	devService    = "permit-desk"
	devWorker     = "worker-1"
	devCores      = 8000 // milli-CPU
	devMemory     = 16 << 30
	anyPort       = "127.0.0.1:0"
)

// StartDev starts the system in g.
func StartDev(g *actor.Group, c DevConfig) (*Dev, error) {
	callers, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("%w; name another address for callers with --listen", err)
	}
	operator, err := net.Listen("tcp", c.OperatorListen)
	if err != nil {
		return nil, fmt.Errorf("%w; name another address for operators with --operator-listen", err)
	}
	agents, err := link.Listen(g, anyPort, link.Config{})
	if err != nil {
		return nil, err
	}
	table := standin.NewTable(g, standin.StoreFaults{})
	objects := standin.NewObjects(g, standin.StoreFaults{})
	d := &Dev{Callers: callers.Addr().String(), Operator: operator.Addr().String()}
	d.entry = StartEntry(g, EntryConfig{
		Settings: devSettings(), Build: c.Build, Table: table, Objects: objects,
		Callers: callers, Agents: agents, Operator: operator, Log: c.Log, Recent: c.Recent,
	})
	return d, d.startHost(g, c, agents.Addr(), objects)
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
func (d *Dev) startHost(g *actor.Group, c DevConfig, entry string, objects *standin.Objects) error {
	announce, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	tasksListener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	requests, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	capacity := model.Resources{CPU: devCores, Memory: devMemory}
	worker := standin.NewWorker(g, standin.WorkerConfig{ID: devWorker, Capacity: capacity, Objects: objects})
	actor.Go(g, "simulated worker", func(ctx context.Context) error { return worker.Serve(ctx, tasksListener) })
	backend := standin.NewBackend(g, standin.BackendConfig{
		Service: devService, Address: requests.Addr().String(), Agent: "http://" + announce.Addr().String(),
	})
	actor.Go(g, "simulated backend server", func(ctx context.Context) error { return backend.Serve(ctx, requests) })
	d.agent = StartAgent(g, AgentConfig{
		Worker: model.Worker{ID: devWorker, DataCentre: devDataCentre, Rack: "rack-1", Capacity: capacity},
		Cell:   devCell, Entries: []string{entry}, Announce: announce,
		Dialer: link.NewDialer(g, link.Config{}), Log: c.Log,
		WorkerClient: taskagent.NewHTTPWorkerClient("http://"+tasksListener.Addr().String(), http.DefaultClient),
	})
	return nil
}

// Drain stops the system in order: callers first, then the backend server.
func (d *Dev) Drain(ctx context.Context) error {
	if err := d.entry.Drain(ctx); err != nil {
		return err
	}
	return d.agent.Drain(ctx)
}
