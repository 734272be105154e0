// Command bambooscaled runs an entry or an agent of bambooscale, a whole system
// in one process, or a simulator of the platform. See docs/OPERATIONS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/spf13/cobra"
)

// version is set by the linker for releases.
var version = "dev"

func main() {
	log.SetHandler(logfmt.New(os.Stderr))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "bambooscaled",
		Short:         "daemon of bambooscale, a scheduler for services and batch jobs on the same hosts",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), devCommand(), standinCommand(), eventsCommand(), versionCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "bambooscaled", version) }}
}
