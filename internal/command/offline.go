package command

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/settings"
)

func (a *app) chartCommand() *cobra.Command {
	dir := ""
	files := func() fs.FS {
		if dir != "" {
			return os.DirFS(dir)
		}
		return charts.Files
	}
	c := a.group("chart", "List, check and draw the lifecycle charts",
		a.chartList(files), a.chartCheck(files), a.chartDraw(files))
	c.PersistentFlags().StringVar(&dir, "dir", "", "directory with the charts (default: those built into the program)")
	return c
}

func chartNames(fsys fs.FS) ([]string, error) {
	files, err := fs.Glob(fsys, "*.scxml")
	if err != nil {
		return nil, err
	}
	for i, f := range files {
		files[i] = strings.TrimSuffix(filepath.Base(f), ".scxml")
	}
	if len(files) == 0 {
		return nil, failed(ExitNotFound, "there are no charts")
	}
	return files, nil
}

func (a *app) chartList(files func() fs.FS) *cobra.Command {
	return leaf("list", "List the charts", cobra.NoArgs, func(context.Context, []string) error {
		names, err := chartNames(files())
		if err != nil {
			return err
		}
		type row struct {
			Chart  string   `json:"chart"`
			States int      `json:"states"`
			Events []string `json:"events"`
		}
		var list []row
		for _, n := range names {
			doc, err := chart.Parse(files(), n)
			if err != nil {
				return err
			}
			list = append(list, row{n, len(doc.States), doc.Events()})
		}
		return a.show(list, func(t *table) {
			t.row("CHART", "STATES", "EVENTS")
			for _, r := range list {
				t.row(r.Chart, r.States, strings.Join(r.Events, " "))
			}
		})
	})
}

func (a *app) chartCheck(files func() fs.FS) *cobra.Command {
	return leaf("check [NAME...]", "Check charts and report every finding", cobra.ArbitraryArgs, func(_ context.Context, names []string) error {
		var err error
		if len(names) == 0 {
			if names, err = chartNames(files()); err != nil {
				return err
			}
		}
		found := finding.List{}
		for _, n := range names {
			doc, err := chart.Parse(files(), n)
			var list finding.List
			switch {
			case errors.As(err, &list):
				found = append(found, list...)
			case errors.Is(err, fs.ErrNotExist):
				return failed(ExitNotFound, "chart %q does not exist", n)
			case err != nil:
				return err
			default:
				found = append(found, doc.Check()...)
			}
		}
		if err := a.show(found, func(t *table) { t.line("%d charts checked, %d findings", len(names), len(found)) }); err != nil {
			return err
		}
		return found.Err()
	})
}

func (a *app) chartDraw(files func() fs.FS) *cobra.Command {
	return leaf("draw NAME", "Draw a chart as a Mermaid state diagram", cobra.ExactArgs(1), func(_ context.Context, args []string) error {
		doc, err := chart.Parse(files(), args[0])
		if errors.Is(err, fs.ErrNotExist) {
			return failed(ExitNotFound, "chart %q does not exist", args[0])
		} else if err != nil {
			return err
		}
		_, err = fmt.Fprint(a.stdout, doc.Mermaid())
		return err
	})
}

func (a *app) settingsCommand() *cobra.Command {
	return a.group("settings", "Document and check settings files",
		leaf("reference", "Write the reference of all keys in Markdown", cobra.NoArgs, func(context.Context, []string) error {
			_, err := fmt.Fprint(a.stdout, settings.Reference())
			return err
		}),
		leaf("check FILE", "Check a settings file and report every finding", cobra.ExactArgs(1), func(_ context.Context, args []string) error {
			_, err := settings.Load(args[0])
			var found finding.List
			if errors.As(err, &found) {
				return failure{ExitUsage, err}
			} else if err != nil {
				return err
			}
			return a.show(map[string]bool{"valid": true}, func(t *table) { t.line("%s is valid", args[0]) })
		}))
}
