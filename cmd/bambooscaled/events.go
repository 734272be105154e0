package main

import (
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/event"
)

func eventsCommand() *cobra.Command {
	return &cobra.Command{Use: "events", Short: "print the catalogue of log events as Markdown", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return event.WriteCatalogue(cmd.OutOrStdout()) }}
}
