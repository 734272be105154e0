package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
	"github.com/bambooscale/bambooscale/internal/settings"
)

func (a *app) jobCommand() *cobra.Command {
	return a.group("job", "Submit, list and cancel jobs",
		a.jobSubmit(), a.jobList(), a.jobShow(), a.jobCancel(), a.jobResult())
}

func jobPath(id string, segments ...string) string {
	return strings.Join(append([]string{"/v1/jobs", url.PathEscape(id)}, segments...), "/")
}

func cellQuery(cell string) url.Values {
	q := url.Values{}
	if cell != "" {
		q.Set("cell", cell)
	}
	return q
}

// submitFlags are the flags of job submit.
type submitFlags struct {
	file, cell, cpu, memory string
	labels                  []string
	spec                    model.JobSpec
	wait                    bool
	timeout                 time.Duration
}

func (a *app) jobSubmit() *cobra.Command {
	s := &submitFlags{}
	c := leaf("submit", "Submit a job from a file or from flags", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		return a.submit(ctx, s)
	})
	c.Long = c.Short + ". Submitting the same job again, with the same id, has no further effect."
	f := c.Flags()
	f.StringVarP(&s.file, "file", "f", "", "file with the job as JSON, - for standard input; flags replace its fields")
	f.StringVar(&s.cell, "cell", "", "cell that runs the job (default: the entry's default cell)")
	f.StringVar((*string)(&s.spec.ID), "id", "", "id of the job (default: a random one, which is printed)")
	f.StringVar((*string)(&s.spec.Team), "team", "", "team that owns the job (default: \"default\")")
	f.StringVar((*string)(&s.spec.Class), "class", "", "class of the job (default: \"default\")")
	f.StringVar(&s.cpu, "cpu", "", "processors, such as 2 or 500m")
	f.StringVar(&s.memory, "memory", "", "memory, such as 512MiB")
	f.Int64Var(&s.spec.Resources.Accelerators, "accelerators", 0, "accelerators")
	f.StringVar(&s.spec.Program, "program", "", "program, passed to the worker unchanged")
	f.BoolVar(&s.spec.Urgent, "urgent", false, "place the job before others")
	f.BoolVar(&s.spec.LongRunning, "long-running", false, "keep the job running for longer without a controller: a stop is worse than a late failover")
	f.StringArrayVarP(&s.labels, "label", "l", nil, "label key=value; may be repeated")
	f.BoolVar(&s.wait, "wait", false, "wait until the job has ended")
	f.DurationVar(&s.timeout, "timeout", 0, "longest wait; 0 has no limit")
	return c
}

func (a *app) submit(ctx context.Context, s *submitFlags) error {
	spec, err := s.resolve(a.stdin)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	var view operator.JobView
	if err := a.client.send(ctx, http.MethodPost, "/v1/jobs", cellQuery(s.cell), spec, &view); err != nil {
		return fmt.Errorf("job %s: %w", spec.ID, err)
	}
	if s.wait {
		return a.awaitJob(ctx, view, s.timeout)
	}
	return a.showJobs([]operator.JobView{view}, view)
}

// resolve returns the job of the file, if there is one, with its fields
// replaced by the flags that are set.
func (s *submitFlags) resolve(stdin io.Reader) (spec model.JobSpec, err error) {
	if s.file != "" {
		if err = readJSON(s.file, stdin, &spec); err != nil {
			return spec, err
		}
	}
	overrideIfSet(&spec.ID, s.spec.ID)
	overrideIfSet(&spec.Team, s.spec.Team)
	overrideIfSet(&spec.Class, s.spec.Class)
	overrideIfSet(&spec.Program, s.spec.Program)
	overrideIfSet(&spec.Resources.Accelerators, s.spec.Resources.Accelerators)
	overrideIfSet(&spec.Urgent, s.spec.Urgent)
	overrideIfSet(&spec.LongRunning, s.spec.LongRunning)
	if s.cpu != "" {
		if spec.Resources.CPU, err = settings.ParseCPU(s.cpu); err != nil {
			return spec, fmt.Errorf("--cpu: %w", err)
		}
	}
	if s.memory != "" {
		if spec.Resources.Memory, err = settings.ParseBytes(s.memory); err != nil {
			return spec, fmt.Errorf("--memory: %w", err)
		}
	}
	if err := s.addLabels(&spec); err != nil {
		return spec, err
	}
	if spec.Team == "" {
		spec.Team = "default"
	}
	if spec.Class == "" {
		spec.Class = "default"
	}
	if spec.ID == "" {
		spec.ID = model.JobID("job-" + strings.ToLower(rand.Text()[:12]))
	}
	return spec, nil
}

func (s *submitFlags) addLabels(spec *model.JobSpec) error {
	if len(s.labels) > 0 && spec.Labels == nil {
		spec.Labels = model.Labels{}
	}
	for _, l := range s.labels {
		k, v, ok := strings.Cut(l, "=")
		if !ok {
			return fmt.Errorf("--label %q is not key=value", l)
		}
		spec.Labels[k] = v
	}
	return nil
}

// overrideIfSet sets a field to the value of a flag unless that is zero.
func overrideIfSet[T comparable](field *T, flag T) {
	var zero T
	if flag != zero {
		*field = flag
	}
}

func (a *app) jobList() *cobra.Command {
	var cell, phase, team, label, after string
	var limit int
	c := leaf("list", "List jobs", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		q := cellQuery(cell)
		for k, v := range map[string]string{"phase": phase, "team": team, "label": label, "after": after} {
			if v != "" {
				q.Set(k, v)
			}
		}
		q.Set("limit", fmt.Sprint(limit))
		var page struct {
			Jobs []operator.JobView `json:"jobs"`
			Next string             `json:"next,omitempty"`
		}
		if err := a.client.get(ctx, "/v1/jobs", q, &page); err != nil {
			return err
		}
		if page.Next != "" {
			a.progress("more jobs follow; continue with --after %s", page.Next)
		}
		return a.showJobs(page.Jobs, page)
	})
	f := c.Flags()
	f.StringVar(&cell, "cell", "", "cell of the jobs (default: the entry's default cell)")
	f.StringVar(&phase, "phase", "", "only jobs in this phase")
	f.StringVar(&team, "team", "", "only jobs of this team")
	f.StringVarP(&label, "label", "l", "", "only jobs whose labels match this selector")
	f.StringVar(&after, "after", "", "start after this id")
	f.IntVar(&limit, "limit", 100, "number of jobs, at most 500")
	return c
}

func (a *app) showJobs(list []operator.JobView, v any) error {
	return a.show(v, func(t *table) {
		t.row("ID", "TEAM", "CLASS", "PHASE", "ATTEMPT", "WORKER", "REASON")
		for _, j := range list {
			phase := string(j.Phase)
			if j.CancelRequested && phase != "cancelled" {
				phase += " (cancel requested)"
			}
			t.row(j.Spec.ID, j.Spec.Team, j.Spec.Class, phase, j.Attempt, orDash(string(j.Worker)), orDash(j.Reason))
		}
	})
}

func (a *app) jobShow() *cobra.Command {
	var cell string
	c := leaf("show ID", "Show everything about a job", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		var view operator.JobView
		if err := a.client.get(ctx, jobPath(args[0]), cellQuery(cell), &view); err != nil {
			return err
		}
		return a.show(view, func(t *table) {
			r := view.Spec.Resources
			t.row("id", view.Spec.ID)
			t.row("cell", view.Cell)
			t.row("team, class", fmt.Sprintf("%s, %s", view.Spec.Team, view.Spec.Class))
			t.row("labels", orDash(labelsText(view.Spec.Labels)))
			t.row("declared size", fmt.Sprintf("%s cores, %s, %d accelerators", coresText(r.CPU), gigabytesText(r.Memory), r.Accelerators))
			t.row("phase", view.Phase)
			t.row("attempt", fmt.Sprintf("%d (%d evictions, %d failures)", view.Attempt, view.Evictions, view.Failures))
			t.row("worker", orDash(string(view.Worker)))
			t.row("checkpoint", orDash(view.Checkpoint))
			t.row("result", orDash(view.Result))
			t.row("reason", orDash(view.Reason))
			t.row("cancel requested", view.CancelRequested)
		})
	})
	c.Flags().StringVar(&cell, "cell", "", "cell of the job (default: the entry's default cell)")
	return c
}

func (a *app) jobCancel() *cobra.Command {
	var cell string
	var wait bool
	var timeout time.Duration
	c := leaf("cancel ID", "Request the cancellation of a job", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		var view operator.JobView
		if err := a.client.send(ctx, http.MethodDelete, jobPath(args[0]), cellQuery(cell), nil, &view); err != nil {
			return err
		}
		if !wait {
			return a.showJobs([]operator.JobView{view}, view)
		}
		var ended *jobEndedError
		if err := a.awaitJob(ctx, view, timeout); !errors.As(err, &ended) {
			return err
		}
		return nil // the job has ended, whether cancelled or in another way
	})
	f := c.Flags()
	f.StringVar(&cell, "cell", "", "cell of the job (default: the entry's default cell)")
	f.BoolVar(&wait, "wait", false, "wait until the job has ended")
	f.DurationVar(&timeout, "timeout", 0, "longest wait; 0 has no limit")
	return c
}

func (a *app) jobResult() *cobra.Command {
	var cell string
	c := leaf("result ID", "Write a job's result to standard output", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		raw, err := a.client.do(ctx, http.MethodGet, jobPath(args[0], "result"), cellQuery(cell), nil)
		if err != nil {
			return err
		}
		_, err = a.stdout.Write(raw)
		return err
	})
	c.Flags().StringVar(&cell, "cell", "", "cell of the job (default: the entry's default cell)")
	return c
}
