package command

import (
	"context"
	"net/url"

	"github.com/spf13/cobra"
)

func (a *app) explainCommand() *cobra.Command {
	return a.group("explain", "Explain a decision",
		a.explainJob(),
		a.explainKind("class", "How the requests of a class are served, and why they are refused"),
		a.explainKind("backend", "Why a backend server gets or does not get requests"),
		a.explainKind("worker", "Why a worker gets or does not get tasks"))
}

func (a *app) explainKind(kind, short string) *cobra.Command {
	return leaf(kind+" NAME", short, cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		var v any
		if err := a.client.get(ctx, "/v1/explain/"+kind+"/"+url.PathEscape(args[0]), nil, &v); err != nil {
			return err
		}
		return a.show(v, func(t *table) { t.printTree("", v) })
	})
}

// explainJob explains the state of a job. For a waiting job, a table shows why
// each worker can or cannot run it.
func (a *app) explainJob() *cobra.Command {
	cell := ""
	c := leaf("job ID", "Why a job runs where it does, or waits", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		var v map[string]any
		if err := a.client.get(ctx, "/v1/explain/job/"+url.PathEscape(args[0]), cellQuery(cell), &v); err != nil {
			return err
		}
		return a.show(v, func(t *table) { printJobExplanation(t, v) })
	})
	c.Flags().StringVar(&cell, "cell", "", "cell of the job (default: the entry's default cell)")
	return c
}

func printJobExplanation(t *table, v map[string]any) {
	rest := map[string]any{}
	for k, value := range v {
		if k != "workers" && k != "known" {
			rest[k] = value
		}
	}
	t.printTree("", rest)
	workers, _ := v["workers"].([]any)
	if len(workers) == 0 {
		return
	}
	t.row("WORKER", "REASON", "TEXT")
	for _, w := range workers {
		if w, ok := w.(map[string]any); ok {
			t.row(w["worker"], w["reason"], w["text"])
		}
	}
}
