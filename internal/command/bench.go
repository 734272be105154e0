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

// loading is the flags of bench load.
type loading struct {
	file     string
	plan     load.Plan
	class    load.Class
	rate     float64
	duration time.Duration
}

func (a *app) benchLoad() *cobra.Command {
	l := &loading{class: load.Class{Name: "load"}}
	c := leaf("load", "Send requests by a schedule and measure their latency", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		return a.load(ctx, l)
	})
	c.Long = c.Short + `. Requests start by the schedule whether or not earlier ones
have been answered, and latency counts from the intended start. The plan is
one class from flags, or a JSON file with several:

  {"target": "http://127.0.0.1:8080", "classes": [
    {"name": "reads", "path": "/echo", "deadlineMs": 500,
     "phases": [{"seconds": 10, "from": 100}, {"seconds": 5, "from": 100, "to": 800}]},
    {"name": "slips", "method": "POST", "path": "/count?key=a", "bytes": 100,
     "phases": [{"seconds": 15, "from": 20}]}]}

bambooctl report turns the output of --output json into a page with plots.`
	f := c.Flags()
	f.StringVarP(&l.file, "file", "f", "", "file with the plan as JSON, - for standard input")
	f.StringVar(&l.plan.Target, "target", "", "URL of an entry's callers' listener (default http://127.0.0.1:8080)")
	f.Uint64Var(&l.plan.Seed, "seed", 0, "seed of the arrivals (default 1)")
	f.IntVar(&l.plan.Requests, "requests", 0, fmt.Sprintf("largest number of requests (default %d)", load.MaxRequests))
	f.StringVar(&l.class.Method, "method", "GET", "method of the class from flags")
	f.StringVar(&l.class.Path, "path", "/", "path")
	f.StringVar(&l.class.Service, "service", "", "service")
	f.StringVar(&l.class.Tenant, "tenant", "", "tenant")
	f.IntVar(&l.class.Bytes, "bytes", 0, "size of the body")
	f.IntVar(&l.class.Connections, "connections", 64, "number of connections")
	f.Float64Var(&l.rate, "rate", 100, "requests a second")
	f.DurationVar(&l.duration, "duration", 10*time.Second, "length of the run")
	f.IntVar(&l.class.DeadlineMs, "deadline-ms", 0, "deadline of a request")
	return c
}

func (l *loading) resolve(stdin io.Reader) (load.Plan, error) {
	p := load.Plan{Target: "http://127.0.0.1:8080", Seed: 1}
	if l.file != "" {
		if err := readJSON(l.file, stdin, &p); err != nil {
			return p, err
		}
	} else {
		l.class.Phases = []load.Phase{{Seconds: l.duration.Seconds(), From: l.rate}}
		p.Classes = []load.Class{l.class}
	}
	override(&p.Target, strings.TrimRight(l.plan.Target, "/"))
	override(&p.Seed, l.plan.Seed)
	override(&p.Requests, l.plan.Requests)
	return p, p.Check().Err()
}

// readJSON decodes one JSON value of a file, or of standard input for "-".
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

func (a *app) load(ctx context.Context, l *loading) error {
	plan, err := l.resolve(a.stdin)
	var found finding.List
	if errors.As(err, &found) {
		return failure{ExitUsage, err}
	} else if err != nil {
		return failure{ExitUsage, errors.Wrap(err, "the plan cannot be read")}
	}
	a.progress("sending to %s for %s", plan.Target, plan.Duration())
	r := load.Run(ctx, plan, load.Dial(plan.Target))
	if err := a.show(r, func(t *table) { drawLoad(t, r) }); err != nil {
		return err
	}
	for _, c := range r.Classes {
		if c.Done == 0 && c.Sent > 0 {
			return failed(ExitFailure, "no request of class %s was done; see its statuses and errors, and the entry's status", c.Name)
		}
	}
	return nil
}

func drawLoad(t *table, r load.Report) {
	t.row("CLASS", "SENT", "DONE", "LATE", "REFUSED", "UNSENT", "UNFINISHED", "P50", "P99", "P99.9", "MAX")
	for _, c := range r.Classes {
		l := c.Latency
		t.row(c.Name, c.Sent, c.Done, c.Late, c.Refused, c.Unsent, c.Unfinished,
			fmt.Sprintf("%.1fms", l.P50), fmt.Sprintf("%.1fms", l.P99), fmt.Sprintf("%.1fms", l.P999), fmt.Sprintf("%.1fms", l.Max))
	}
	for _, c := range r.Classes {
		t.line("%s: status %s; outcome %s; errors %s", c.Name, counts(c.Statuses), counts(c.Outcomes), counts(c.Errors))
	}
}

func counts(m map[string]int) string {
	var parts []string
	for k, n := range m {
		parts = append(parts, fmt.Sprintf("%s: %d", k, n))
	}
	sort.Strings(parts)
	return dash(strings.Join(parts, ", "))
}

func (a *app) reportCommand() *cobra.Command {
	out := ""
	c := leaf("report FILE", "Write the JSON of bench load as a page with plots", cobra.ExactArgs(1), func(_ context.Context, args []string) error {
		var r load.Report
		if err := readJSON(args[0], a.stdin, &r); err != nil {
			return failure{ExitUsage, errors.Wrap(err, "this is not the output of bench load --output json")}
		}
		if out == "" {
			return r.WriteHTML(a.stdout)
		}
		f, err := os.Create(out)
		if err != nil {
			return err
		}
		return errors.CombineErrors(r.WriteHTML(f), f.Close())
	})
	c.Long = c.Short + ". The page needs no other file and no network. FILE is - for standard input."
	c.Flags().StringVar(&out, "out", "", "file to write (default: standard output)")
	return c
}
