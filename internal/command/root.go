// Package command is the command line of bambooctl. Each command is one or
// few requests to the operators' API; the package decides nothing else.
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
	ExitOK          = 0
	ExitFailure     = 1 // the command ran, but what it waited for failed
	ExitUsage       = 2 // the command line or the input is invalid
	ExitConflict    = 3 // something else was changed or submitted first
	ExitNotFound    = 4
	ExitUnavailable = 5 // refused or unavailable; nothing was changed
	ExitUnknown     = 6 // the change may have taken effect; repeating it is safe
)

const exitCodesText = `Exit codes: 0 done, 1 failed, 2 invalid command line or input, 3 conflict,
4 not found, 5 refused or unavailable (nothing was changed), 6 outcome unknown
(it may have been done; repeating the command with the same id is safe).`

// app is the state of one invocation.
type app struct {
	stdout, stderr io.Writer
	stdin          io.Reader
	server, token  string
	output         string
	client         *client
}

// ranError marks errors of a command that ran, as opposed to those of cobra
// about the command line.
type ranError struct{ error }

func (e ranError) Unwrap() error { return e.error }

// failure is an error with its exit code.
type failure struct {
	code int
	error
}

func (e failure) Unwrap() error { return e.error }

func failed(code int, format string, args ...any) error {
	return failure{code, fmt.Errorf(format, args...)}
}

// Run executes a command line (without the program's name) and returns the
// exit code.
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
	var ran ranError
	if !errors.As(err, &ran) {
		return ExitUsage
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var f failure
	var r *remoteError
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
		a.backendCommand(), a.explainCommand(), a.chartCommand(), a.settingsCommand(), a.versionCommand())
	root.Long = root.Short + ".\n\n" + exitCodesText
	root.SilenceErrors, root.SilenceUsage = true, true
	flags := root.PersistentFlags()
	flags.StringVar(&a.server, "server", environment("BAMBOOSCALE_SERVER", "http://127.0.0.1:8081"), "URL of an entry's operators' API")
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

func environment(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// group is a command that only has subcommands.
func (a *app) group(use, short string, subs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q for %q; see %s --help", args[0], c.CommandPath(), c.CommandPath())
			}
			_ = c.Help()
			return errors.New("name a command")
		}}
	c.AddCommand(subs...)
	return c
}

// leaf is a command that does something.
func leaf(use, short string, args cobra.PositionalArgs, run func(ctx context.Context, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := run(c.Context(), args); err != nil {
				return ranError{err}
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
