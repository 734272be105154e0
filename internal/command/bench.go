package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/load"
)

func (a *app) benchCommand() *cobra.Command {
	return a.group("bench", "Measure a running system", a.benchLoad())
}

// benchFlags are the flags of bench load.
type benchFlags struct {
	file     string
	plan     load.Plan
	class    load.Class
	rate     float64
	duration time.Duration
}

func (a *app) benchLoad() *cobra.Command {
	l := &benchFlags{class: load.Class{Name: "load"}}
	c := leaf("load", "Send requests on a schedule and measure their latency", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		return a.runLoad(ctx, l)
	})
	c.Long = c.Short + `. Requests start on schedule, whether or not earlier ones have
been answered, and latency is measured from the scheduled start. The plan has
one class given by flags, or is a JSON file with several:

  {"target": "http://127.0.0.1:8080", "classes": [
    {"name": "reads", "path": "/echo", "deadlineMs": 500,
     "phases": [{"seconds": 10, "from": 100}, {"seconds": 5, "from": 100, "to": 800}]},
    {"name": "slips", "method": "POST", "path": "/count?key=a", "bytes": 100,
     "phases": [{"seconds": 15, "from": 20}]}]}

bambooctl report turns the output of --output json into a page with plots.`
	f := c.Flags()
	f.StringVarP(&l.file, "file", "f", "", "file with the plan as JSON, - for standard input")
	f.StringVar(&l.plan.Target, "target", "", "URL of an entry's callers' listener (default http://127.0.0.1:8080)")
	f.Uint64Var(&l.plan.Seed, "seed", 0, "seed of the arrival times (default 1)")
	f.IntVar(&l.plan.Requests, "requests", 0, fmt.Sprintf("largest number of requests (default %d)", load.MaxRequests))
	f.StringVar(&l.class.Method, "method", "GET", "method of the requests")
	f.StringVar(&l.class.Path, "path", "/", "path of the requests")
	f.StringVar(&l.class.Service, "service", "", "service of the requests")
	f.StringVar(&l.class.Tenant, "tenant", "", "tenant of the requests")
	f.IntVar(&l.class.Bytes, "bytes", 0, "size of a request's body in bytes")
	f.IntVar(&l.class.Connections, "connections", 64, "number of connections")
	f.Float64Var(&l.rate, "rate", 100, "requests per second")
	f.DurationVar(&l.duration, "duration", 10*time.Second, "duration of the load")
	f.IntVar(&l.class.DeadlineMs, "deadline-ms", 0, "deadline of a request in milliseconds (0: none)")
	return c
}

// resolve returns the plan of the file, or of the flags, and its findings.
func (l *benchFlags) resolve(stdin io.Reader) (load.Plan, error) {
	p := load.Plan{Target: "http://127.0.0.1:8080", Seed: 1}
	if l.file != "" {
		if err := readJSON(l.file, stdin, &p); err != nil {
			return p, err
		}
	} else {
		l.class.Phases = []load.Phase{{Seconds: l.duration.Seconds(), From: l.rate}}
		p.Classes = []load.Class{l.class}
	}
	overrideIfSet(&p.Target, strings.TrimRight(l.plan.Target, "/"))
	overrideIfSet(&p.Seed, l.plan.Seed)
	overrideIfSet(&p.Requests, l.plan.Requests)
	return p, p.Check().Err()
}

// readJSON decodes a JSON value from a file, or from standard input for "-".
func readJSON(file string, stdin io.Reader, v any) error {
	in := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

func (a *app) runLoad(ctx context.Context, l *benchFlags) error {
	plan, err := l.resolve(a.stdin)
	var findings finding.List
	if errors.As(err, &findings) {
		return exitError{ExitUsage, err}
	} else if err != nil {
		return exitError{ExitUsage, errors.Wrap(err, "read load plan")}
	}
	a.progress("sending to %s for %s", plan.Target, plan.Duration())
	report := load.Run(ctx, plan, load.Dial(plan.Target))
	if err := a.show(report, func(t *table) { printLoad(t, report) }); err != nil {
		return err
	}
	for _, c := range report.Classes {
		if c.Done == 0 && c.Sent > 0 {
			return exitErrorf(ExitFailure, "no request of class %s succeeded; see its statuses and errors, and the entry's status", c.Name)
		}
	}
	return nil
}

func printLoad(t *table, report load.Report) {
	t.row("CLASS", "SENT", "DONE", "LATE", "REFUSED", "UNSENT", "UNFINISHED", "P50", "P99", "P99.9", "MAX")
	for _, c := range report.Classes {
		l := c.Latency
		t.row(c.Name, c.Sent, c.Done, c.Late, c.Refused, c.Unsent, c.Unfinished,
			fmt.Sprintf("%.1fms", l.P50), fmt.Sprintf("%.1fms", l.P99), fmt.Sprintf("%.1fms", l.P999), fmt.Sprintf("%.1fms", l.Max))
	}
	for _, c := range report.Classes {
		t.line("%s: status %s; outcome %s; errors %s", c.Name, countsText(c.Statuses), countsText(c.Outcomes), countsText(c.Errors))
	}
}

// countsText formats counts by key, sorted, such as "200: 7, 503: 1".
func countsText(m map[string]int) string {
	var parts []string
	for k, n := range m {
		parts = append(parts, fmt.Sprintf("%s: %d", k, n))
	}
	sort.Strings(parts)
	return orDash(strings.Join(parts, ", "))
}

func (a *app) reportCommand() *cobra.Command {
	out := ""
	c := leaf("report FILE", "Write an HTML page with plots from the JSON of bench load", cobra.ExactArgs(1), func(_ context.Context, args []string) error {
		var report load.Report
		if err := readJSON(args[0], a.stdin, &report); err != nil {
			return exitError{ExitUsage, errors.Wrap(err, "the file is not the output of bench load --output json")}
		}
		if out == "" {
			return report.WriteHTML(a.stdout)
		}
		f, err := os.Create(out)
		if err != nil {
			return err
		}
		return errors.CombineErrors(report.WriteHTML(f), f.Close())
	})
	c.Long = c.Short + ". The page needs no other file and no network. FILE is - for standard input."
	c.Flags().StringVar(&out, "out", "", "file to write (default: standard output)")
	return c
}
