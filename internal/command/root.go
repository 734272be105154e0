// Package command implements the command line of bambooctl. Most commands send
// one or a few requests to the operators' API of an entry.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// Exit codes, for scripts.
const (
	ExitOK             = 0
	ExitFailure        = 1 // the command ran, but it or what it waited for failed
	ExitUsage          = 2 // the command line or the input is invalid
	ExitConflict       = 3 // another change or job came first
	ExitNotFound       = 4 // the named item does not exist
	ExitUnavailable    = 5 // refused or unavailable; nothing was changed
	ExitOutcomeUnknown = 6 // the change may have taken effect; repeating it is safe
)

const exitCodesText = `Exit codes: 0 done, 1 failed, 2 invalid command line or input, 3 conflict,
4 not found, 5 refused or unavailable (nothing was changed), 6 outcome unknown
(it may have been done; repeating the command with the same id is safe).`

// app is the state of one run of the program.
type app struct {
	stdout, stderr io.Writer
	stdin          io.Reader
	server, token  string
	output         string
	client         *client
}

// runError marks the errors that a command returned, as opposed to those of
// cobra about the command line.
type runError struct{ error }

func (e runError) Unwrap() error { return e.error }

// exitError is an error with its exit code.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

// exitErrorf returns a formatted error with its exit code.
func exitErrorf(code int, format string, args ...any) error {
	return exitError{code, fmt.Errorf(format, args...)}
}

// Run executes a command line, given without the name of the program, and
// returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "bambooctl: %v\n", err)
	var failedRun runError
	if !errors.As(err, &failedRun) {
		return ExitUsage
	}
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var f exitError
	var r *apiError
	switch {
	case errors.As(err, &f):
		return f.code
	case errors.As(err, &r):
		return r.exitCode()
	}
	return ExitFailure
}

func (a *app) root() *cobra.Command {
	root := a.group("bambooctl", "Operate bambooscale: labels, selectors, jobs, drains and status",
		a.jobCommand(), a.labelCommand(), a.selectorCommand(), a.configCommand(), a.statusCommand(), a.topCommand(),
		a.backendCommand(), a.explainCommand(), a.benchCommand(), a.reportCommand(), a.diagnoseCommand(), a.chartCommand(), a.settingsCommand(), a.versionCommand())
	root.Long = root.Short + ".\n\n" + exitCodesText
	root.SilenceErrors, root.SilenceUsage = true, true
	flags := root.PersistentFlags()
	flags.StringVar(&a.server, "server", envOrDefault("BAMBOOSCALE_SERVER", "http://127.0.0.1:8081"), "URL of an entry's operators' API")
	flags.StringVar(&a.token, "token", "", "bearer token (default: the environment variable BAMBOOSCALE_TOKEN)")
	flags.StringVarP(&a.output, "output", "o", "table", "output format: table or json")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if a.output != "table" && a.output != "json" {
			return fmt.Errorf("unknown output format %q; use table or json", a.output)
		}
		if a.token == "" {
			a.token = os.Getenv("BAMBOOSCALE_TOKEN")
		}
		var err error
		a.client, err = newClient(a.server, a.token)
		return err
	}
	return root
}

// envOrDefault returns an environment variable, or fallback if it is empty.
func envOrDefault(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// group returns a command that only has subcommands.
func (a *app) group(use, short string, subs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q for %q; see %s --help", args[0], c.CommandPath(), c.CommandPath())
			}
			_ = c.Help()
			return errors.New("a command is required")
		}}
	c.AddCommand(subs...)
	return c
}

// leaf returns a command without subcommands, which calls run.
func leaf(use, short string, args cobra.PositionalArgs, run func(ctx context.Context, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := run(c.Context(), args); err != nil {
				return runError{err}
			}
			return nil
		}}
}

// Version returns the version of the program's module, or "devel".
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		return info.Main.Version
	}
	return "devel"
}

func (a *app) versionCommand() *cobra.Command {
	return leaf("version", "Print the program's version", cobra.NoArgs, func(context.Context, []string) error {
		if a.output == "json" {
			return a.json(map[string]string{"version": Version()})
		}
		_, err := fmt.Fprintln(a.stdout, "bambooctl", Version())
		return err
	})
}
