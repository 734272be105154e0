// Command bamboojobd is the daemon of the job scheduler on the users'
// platform. Its roles are entry and agent; see docs/platform.md.
package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"net/http"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobdaemon"
	"github.com/bambooscale/bambooscale/internal/logsink"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/settings"
	"github.com/bambooscale/bambooscale/internal/workload"
	"github.com/bambooscale/bambooscale/platform"
)

const (
	metricsPort = "9464"
	// callTimeout bounds calls whose context has no deadline.
	callTimeout = 4 * time.Second
	// runLease is longer than a restart of the agent takes, and short enough
	// that the tasks of a dead backend server soon start elsewhere.
	runLease = 5 * time.Second
	// gcPercent is below Go's default of 100: less memory for more processor
	// time.
	gcPercent = 50
)

func main() {
	debug.SetGCPercent(gcPercent)
	root := &cobra.Command{Use: "bamboojobd", Short: "daemon of the job scheduler", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(roleCommand("entry", "serve callers and schedule jobs", startEntry), roleCommand("agent", "start and stop runs at the backend server of a host", startAgent))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// role is a running entry or agent.
type role interface {
	Drain(context.Context)   // prepares the end of the process
	StopTime() time.Duration // from the signal until the process ends in any case
	Change(jobdaemon.ChangedSettings)
}

// startFunc starts a role. failed is called with an error if the role has ended.
type startFunc func(g *actor.Group, n *settings.JobDaemon, failed func(error)) (role, error)

func roleCommand(role, short string, begin startFunc) *cobra.Command {
	var file string
	cmd := &cobra.Command{Use: role, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return run(role, file, begin)
	}}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable), "settings file")
	return cmd
}

func run(role, file string, begin startFunc) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	n, err := settings.LoadJobDaemon(file, role)
	if err != nil {
		return err
	}
	logs := actor.NewGroup(context.Background(), nil)
	log.SetHandler(logsink.Start(logs, os.Stdout, func(w io.Writer) log.Handler { return logfmt.New(w) }))
	g := actor.NewGroup(context.Background(), func(e actor.Exit) {
		event.Log(log.Log, event.ActorFailed, log.Fields{"actor": e.Actor, "error": e.Err.Error(), "restart": e.WillRestart})
	})
	p := process{role: role, file: file, settings: n}
	if err := p.serve(g, begin, signals); err != nil {
		runWithin(logTime, logs.Stop)
		return err
	}
	// The actors end with the process. Waiting for them kept an entry from
	// ending within its grace time in a simulated day (issue 10).
	runWithin(p.running.StopTime(), func() {
		p.running.Drain(g.Context())
		logs.Stop()
	})
	return nil
}

// logTime bounds the time to write the rest of the log of a role that has failed.
const logTime = 250 * time.Millisecond

// runWithin calls f and returns when it has returned, or after limit.
func runWithin(limit time.Duration, f func()) {
	done := actor.Go(actor.NewGroup(context.Background(), nil), "end of the process", func(context.Context) error {
		f()
		return nil
	})
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// process is a process that runs a role.
type process struct {
	role     string
	file     string // of the settings
	settings *settings.JobDaemon
	running  role
}

// serve starts the role in g, waits for a signal to stop, and reloads the settings on
// SIGHUP. It returns an error if the role has failed, which ends the process at once: a
// new one begins without what made the old one fail.
func (p *process) serve(g *actor.Group, begin startFunc, signals <-chan os.Signal) error {
	failures := make(chan error, 1)
	var err error
	p.running, err = begin(g, p.settings, func(err error) {
		if err != nil {
			failures <- err
		}
	})
	if err != nil {
		return err
	}
	for {
		select {
		case err := <-failures:
			return err
		case s := <-signals:
			if s != syscall.SIGHUP {
				event.Log(log.Log, event.NodeStopping, log.Fields{"role": p.role, "signal": s.String()})
				return nil
			}
			p.reload()
		}
	}
}

// reload reads the settings file again. An invalid file leaves the former settings in
// use.
func (p *process) reload() {
	next, err := settings.LoadJobDaemon(p.file, p.role)
	if err != nil {
		event.Log(log.Log, event.SettingsRejected, log.Fields{"file": p.file, "findings": err.Error()})
		return
	}
	atOnce, restart := p.settings.Changes(next)
	p.settings.Seeds, p.settings.GracePeriod = next.Seeds, next.GracePeriod
	p.running.Change(jobdaemon.ChangedSettings{Seeds: p.settings.SeedLinks(), GracePeriod: next.GracePeriod})
	event.Log(log.Log, event.NodeReloaded, log.Fields{"role": p.role, "changed": strings.Join(atOnce, ","), "restart-for": strings.Join(restart, ",")})
}

func startEntry(g *actor.Group, n *settings.JobDaemon, failed func(error)) (role, error) {
	return jobdaemon.StartEntry(g, jobdaemon.EntryConfig{
		Name: n.Name, DataCentre: workload.DataCentre(n.DataCentre), Links: n.LinkAddress(), Callers: n.Callers, Readiness: n.Readiness,
		Metrics: net.JoinHostPort(n.IP, metricsPort), Seeds: n.SeedLinks(), Boot: newBootID(), GracePeriod: n.GracePeriod,
		ProcessorShare: n.ProcessorShare, LinkRate: n.LinkRate, Memory: cmp.Or(n.Memory, jobdaemon.HostMemory()), Store: platform.NewStore(n.Store, callTimeout).WithPageBytes(jobdaemon.ScanPageBytes(n.LinkRate)),
		Config:        jobdaemon.ConfigSource{Key: platform.ConfigKey, Prefix: platform.ConfigPrefix, Decode: platform.DecodeConfig},
		CallerHandler: platform.CallerHandler, ReadinessHandler: platform.ReadinessHandler, Log: log.Log, Failed: failed,
	})
}

func startAgent(g *actor.Group, n *settings.JobDaemon, failed func(error)) (role, error) {
	refused := func(id string, err error) {
		event.Log(log.Log, event.AnnounceRefused, log.Fields{"instance": id, "error": err.Error()})
	}
	return jobdaemon.StartAgent(g, jobdaemon.AgentConfig{
		Core: hostagent.Config{
			Name: workload.HostName(n.Name), DataCentre: workload.DataCentre(n.DataCentre), OwnerLease: n.MaxLease, RunLease: runLease,
			Token: hostagent.FirstToken(time.Now().UnixMilli()),
		},
		Boot: newBootID(), Registry: n.Registry, Metrics: net.JoinHostPort(n.IP, metricsPort), Seeds: n.SeedLinks(),
		Runner: platform.NewRunner(n.Backend, callTimeout), Store: platform.NewStore(n.Store, callTimeout),
		RegistryHandler: func(r runner.Registry) http.Handler { return platform.RegistryHandler(r, refused) }, Log: log.Log, Failed: failed,
	})
}

// newBootID returns a random number that identifies this process.
func newBootID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return binary.BigEndian.Uint64(b[:])
}
