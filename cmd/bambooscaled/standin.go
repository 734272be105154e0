package main

import (
	"context"
	"fmt"
	"net"

	"github.com/apex/log"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/daemon"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// simulator serves a listener until its context ends.
type simulator interface {
	Serve(ctx context.Context, l net.Listener) error
}

func standinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "run a simulator of the platform, a worker or a backend server, for tests and trials",
	}
	cmd.AddCommand(tableCommand(), objectsCommand(), workerCommand(), backendCommand())
	return cmd
}

// serveStandin listens, prints the address and serves the simulator that start
// returns until the command's context ends.
func serveStandin(cmd *cobra.Command, listen string, start func(g *actor.Group, address string) (simulator, error)) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	g := daemon.NewGroup(cmd.Context(), log.Log)
	defer g.Stop()
	s, err := start(g, l.Addr().String())
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "ready address=%s\n", l.Addr())
	return s.Serve(cmd.Context(), l)
}

func listenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "address to listen on")
}

func tableCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{Use: "table", Short: "simulate the table service", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, func(g *actor.Group, _ string) (simulator, error) {
				return standin.NewTable(g, standin.StoreFaults{}), nil
			})
		}}
	listenFlag(cmd, &listen)
	return cmd
}

func objectsCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{Use: "objects", Short: "simulate the object store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, func(g *actor.Group, _ string) (simulator, error) {
				return standin.NewObjects(g, standin.StoreFaults{}), nil
			})
		}}
	listenFlag(cmd, &listen)
	return cmd
}

func workerCommand() *cobra.Command {
	var listen, id, objects, cpu, memory string
	var accelerators int64
	cmd := &cobra.Command{Use: "worker", Short: "simulate a worker that runs tasks", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			capacity, err := parseCapacity(cpu, memory, accelerators)
			if err != nil {
				return err
			}
			return serveStandin(cmd, listen, func(g *actor.Group, _ string) (simulator, error) {
				return standin.NewWorker(g, standin.WorkerConfig{ID: model.WorkerID(id), Capacity: capacity,
					Objects: storage.NewHTTPObjects(storage.HTTPConfig{URL: objects})}), nil
			})
		}}
	listenFlag(cmd, &listen)
	f := cmd.Flags()
	f.StringVar(&id, "id", "worker-1", "id of the worker")
	f.StringVar(&objects, "objects", "", "URL of the object store")
	f.StringVar(&cpu, "cpu", "32", "processors, such as 32 or 500m")
	f.StringVar(&memory, "memory", "125GiB", "memory, such as 125GiB")
	f.Int64Var(&accelerators, "accelerators", 0, "accelerators")
	return cmd
}

func parseCapacity(cpu, memory string, accelerators int64) (model.Resources, error) {
	milliCPU, err := settings.ParseCPU(cpu)
	if err != nil {
		return model.Resources{}, fmt.Errorf("--cpu: %w", err)
	}
	memoryBytes, err := settings.ParseBytes(memory)
	if err != nil {
		return model.Resources{}, fmt.Errorf("--memory: %w", err)
	}
	return model.Resources{CPU: milliCPU, Memory: memoryBytes, Accelerators: accelerators}, nil
}

func backendCommand() *cobra.Command {
	var listen string
	var c standin.BackendConfig
	cmd := &cobra.Command{Use: "backend", Short: "simulate a backend server that announces itself to an agent", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, func(g *actor.Group, address string) (simulator, error) {
				if c.Address == "" {
					c.Address = address
				}
				return standin.NewBackend(g, c), nil
			})
		}}
	listenFlag(cmd, &listen)
	f := cmd.Flags()
	f.StringVar(&c.Service, "service", "permit-desk", "service of the backend server")
	f.StringVar(&c.Agent, "agent", "", "URL of the agent to announce to")
	f.StringVar(&c.Address, "advertise", "", "address to announce, such as a proxy's (default: the listen address)")
	f.IntVar(&c.Slots, "slots", 0, "requests that run at the same time (default 8)")
	f.IntVar(&c.Connections, "connections", 0, "connections accepted at the same time (default 64)")
	return cmd
}
