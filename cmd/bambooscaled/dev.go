package main

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/daemon"
)

// drainTimeout bounds the wait for requests in progress after an interrupt.
const drainTimeout = time.Minute

func devCommand() *cobra.Command {
	c := daemon.DevConfig{Log: log.Log, Build: version}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "run a whole system in one process, with simulators of the platform, on loopback",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runDev(cmd, c) },
	}
	cmd.Flags().StringVar(&c.Listen, "listen", "127.0.0.1:8080", "address for callers")
	cmd.Flags().StringVar(&c.OperatorListen, "operator-listen", "127.0.0.1:8081", "address for operators")
	return cmd
}

func runDev(cmd *cobra.Command, c daemon.DevConfig) error {
	g := daemon.NewGroup(context.WithoutCancel(cmd.Context()), c.Log)
	defer g.Stop()
	c.RecentEvents = startRecentEvents(g)
	d, err := daemon.StartDev(g, c)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "ready\n"+
		"  curl -d hello http://%s/echo\n"+
		"  go run ./cmd/bambooctl --server http://%s job submit --id hello --cpu 500m --memory 64Mi --program 'sleep 1s'\n"+
		"  go run ./cmd/bambooctl --server http://%s status\n", d.Callers, d.Operator, d.Operator)
	<-cmd.Context().Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(cmd.Context()), drainTimeout)
	defer cancel()
	return d.Drain(ctx)
}
