// Command bambooctl is the command-line client of bambooscale for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bambooscale/bambooscale/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
