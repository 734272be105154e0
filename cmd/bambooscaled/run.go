package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/daemon"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// shutdownTimeout bounds a graceful shutdown. It exceeds the deadlines of all but
// very long requests, which are aborted.
const shutdownTimeout = 30 * time.Minute

func runCommand() *cobra.Command {
	var file string
	var check bool
	cmd := &cobra.Command{
		Use:   "run",
		Short: "run an entry or an agent with a settings file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			switch {
			case errors.Is(err, fs.ErrNotExist):
				return fmt.Errorf("%w; set the settings file with --settings", err)
			case err != nil:
				return err
			case check:
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s is valid\n", file)
				return err
			}
			return run(cmd, file, s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "bambooscale.ini", "settings file")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings, print every finding and exit")
	return cmd
}

// drainDelay is long enough for two health checks of a balancer that checks
// every 2 s.
const drainDelay = 5 * time.Second

// drainer is a running entry or agent. Drain shuts it down gracefully and returns
// an error when ctx ends first.
type drainer interface{ Drain(context.Context) error }

func run(cmd *cobra.Command, file string, s *settings.Settings) error {
	log.SetLevel(log.DebugLevel) // the handler drops events below the level of the settings
	g := daemon.NewGroup(context.WithoutCancel(cmd.Context()), log.Log)
	defer g.Stop()
	recent := startRecentEvents(g) // before the first event, because it replaces the log handler
	recent.SetLevel(s.Daemon.LogLevel)
	var d drainer
	var err error
	if s.Daemon.Role == settings.RoleEntry {
		d, err = runEntry(cmd, g, s, recent)
	} else {
		d, err = runAgent(cmd, g, s)
	}
	if err != nil {
		return err
	}
	reloadSettings(g, file, s, recent, d)
	event.Log(log.Log, event.DaemonReady, log.Fields{"role": string(s.Daemon.Role), "id": s.Daemon.ID})
	<-cmd.Context().Done()
	event.Log(log.Log, event.DaemonStops, log.Fields{"id": s.Daemon.ID})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(cmd.Context()), shutdownTimeout)
	defer cancel()
	return d.Drain(ctx)
}

// linkConfig loads the keys for mutual TLS, if the settings contain any, and
// starts an actor that reloads them on SIGHUP.
func linkConfig(g *actor.Group, s *settings.Settings) (link.Config, error) {
	if !s.TLS.Enabled() {
		return link.Config{}, nil
	}
	keys, err := link.LoadKeys(g, link.KeyFiles{Certificate: s.TLS.Certificate, Key: s.TLS.Key, CA: s.TLS.Authority})
	if err != nil {
		return link.Config{}, err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	actor.Go(g, "key reload", func(ctx context.Context) error {
		defer signal.Stop(hup)
		for {
			select {
			case <-hup:
				fields := log.Fields{"certificate": s.TLS.Certificate}
				if err := keys.Reload(ctx); err != nil {
					fields["error"] = err.Error()
					event.Log(log.Log, event.KeysRejected, fields)
					continue
				}
				event.Log(log.Log, event.KeysReloaded, fields)
			case <-ctx.Done():
				return nil
			}
		}
	})
	return link.Config{Keys: keys}, nil
}

// startRecentEvents replaces the log handler of the process by one that also
// keeps the newest events for diagnostics.
func startRecentEvents(g *actor.Group) *daemon.RecentEvents {
	r := daemon.StartRecentEvents(g, logfmt.New(os.Stderr))
	log.SetHandler(r)
	return r
}

// listen opens a TCP listener. Its error contains the name of the setting.
func listen(setting, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", setting, err)
	}
	return l, nil
}

func storageConfig(u *url.URL) storage.HTTPConfig { return storage.HTTPConfig{URL: u.String()} }

func runEntry(cmd *cobra.Command, g *actor.Group, s *settings.Settings, recent *daemon.RecentEvents) (drainer, error) {
	callers, err := listen("[entry] listen", s.Entry.Listen)
	if err != nil {
		return nil, err
	}
	operator, err := listen("[entry] operator-listen", s.Entry.OperatorListen)
	if err != nil {
		return nil, err
	}
	links, err := linkConfig(g, s)
	if err != nil {
		return nil, err
	}
	agents, err := link.Listen(g, s.Entry.AgentsListen, links)
	if err != nil {
		return nil, fmt.Errorf("[entry] agents-listen: %w", err)
	}
	e := daemon.StartEntry(g, daemon.EntryConfig{
		Settings: s, Build: version,
		Table:     storage.NewHTTPTable(storageConfig(s.Daemon.Table)),
		Objects:   storage.NewHTTPObjects(storageConfig(s.Daemon.Objects)),
		StartedAt: time.Now(), DrainDelay: drainDelay, Callers: callers, Agents: agents, Operator: operator, Log: log.Log, RecentEvents: recent,
	})
	fmt.Fprintf(cmd.OutOrStdout(), "ready callers=%s operators=%s agents=%s\n", callers.Addr(), operator.Addr(), agents.Addr())
	return e, nil
}

func runAgent(cmd *cobra.Command, g *actor.Group, s *settings.Settings) (drainer, error) {
	announce, err := listen("[agent] announce-listen", s.Agent.AnnounceListen)
	if err != nil {
		return nil, err
	}
	links, err := linkConfig(g, s)
	if err != nil {
		return nil, err
	}
	c := daemon.AgentConfig{
		Worker: model.Worker{ID: model.WorkerID(s.Daemon.ID), DataCentre: s.Daemon.DataCentre, Rack: s.Agent.Rack,
			Capacity: s.Agent.Capacity, Labels: s.Agent.Labels},
		Cell: s.Agent.Cell, Region: s.Daemon.Region, Entries: s.Agent.Entries,
		Announce: announce, Dialer: link.NewDialer(g, links), Log: log.Log,
	}
	if s.Daemon.Table != nil {
		c.Table = storage.NewHTTPTable(storageConfig(s.Daemon.Table))
	}
	if s.Agent.Worker != nil {
		client := taskagent.NewHTTPWorkerClient(s.Agent.Worker.String(), taskagent.WorkerHTTPClient())
		if err := fillCapacity(cmd.Context(), client, &c.Worker); err != nil {
			return nil, err
		}
		c.WorkerClient = client
	}
	a := daemon.StartAgent(g, c)
	fmt.Fprintf(cmd.OutOrStdout(), "ready announce=%s\n", announce.Addr())
	return a, nil
}

// describeTimeout bounds one Describe call to the worker, whose response may be
// lost.
const describeTimeout = 5 * time.Second

// fillCapacity sets the resources of w that the settings do not set to those that
// the worker reports. The worker may start after its agent, so the call is
// repeated until it succeeds or ctx ends.
func fillCapacity(ctx context.Context, client taskagent.WorkerClient, w *model.Worker) error {
	for w.Capacity.CPU == 0 || w.Capacity.Memory == 0 {
		callCtx, cancel := context.WithTimeout(ctx, describeTimeout)
		reported, err := client.Describe(callCtx)
		cancel()
		if err == nil {
			w.Capacity = withDefaults(w.Capacity, reported.Capacity)
			break
		}
		log.WithError(err).Warn("worker did not report its capacity; retrying")
		if !actor.Sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
	return nil
}

// withDefaults returns configured with the resources that are zero replaced by
// the reported ones.
func withDefaults(configured, reported model.Resources) model.Resources {
	if configured.CPU == 0 {
		configured.CPU = reported.CPU
	}
	if configured.Memory == 0 {
		configured.Memory = reported.Memory
	}
	if configured.Accelerators == 0 {
		configured.Accelerators = reported.Accelerators
	}
	return configured
}
