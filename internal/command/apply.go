package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
)

// fileFlags are the flags of config diff and config apply.
type fileFlags struct {
	file          string
	prune, dryRun bool
}

func (p *fileFlags) register(c *cobra.Command) *cobra.Command {
	c.Flags().StringVarP(&p.file, "file", "f", "", "file with items as config show --output json writes them, - for standard input")
	c.Flags().BoolVar(&p.prune, "prune", false, "also remove every item that is not in the file")
	return c
}

// compare returns the differences between the file and the configuration of
// the entry, and that configuration.
func (a *app) compare(ctx context.Context, p *fileFlags) ([]difference, operator.ConfigView, error) {
	var view operator.ConfigView
	if p.file == "" {
		return nil, view, exitErrorf(ExitUsage, "a file is required; name it with -f")
	}
	wanted, err := readConfigFile(p.file, a.stdin)
	var found finding.List
	if errors.As(err, &found) {
		return nil, view, exitError{ExitUsage, errors.Wrap(err, "nothing was changed")}
	} else if err != nil {
		return nil, view, exitError{ExitUsage, err}
	}
	if view, err = a.readConfig(ctx, "", ""); err != nil {
		return nil, view, err
	}
	return differences(view, wanted, p.prune), view, nil
}

func (a *app) configDiff() *cobra.Command {
	p := &fileFlags{}
	return p.register(leaf("diff", "Show what config apply would change", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		list, _, err := a.compare(ctx, p)
		if err != nil {
			return err
		}
		return a.show(list, func(t *table) { printDifferences(t, list) })
	}))
}

func (a *app) configApply() *cobra.Command {
	p, e := &fileFlags{}, &editFlags{}
	c := leaf("apply", "Set labels and selectors from a file in one edit", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		list, view, err := a.compare(ctx, p)
		if err != nil {
			return err
		}
		if len(list) == 0 || p.dryRun {
			a.progress("%d items differ; nothing was changed", len(list))
			return a.show(list, func(t *table) { printDifferences(t, list) })
		}
		return a.apply(ctx, e, list, view)
	})
	c.Long = c.Short + `. The file is what config show --output json writes; items
that are not in it stay unless --prune. Every finding is reported with its
line. The edit is accepted as a whole or not at all; it is a conflict if
another edit has changed one of its items in the meantime.`
	c.Flags().BoolVar(&p.dryRun, "dry-run", false, "only show what would change")
	return e.register(p.register(c))
}

func (a *app) apply(ctx context.Context, e *editFlags, list []difference, view operator.ConfigView) error {
	edit := configstore.Edit{ID: e.id, Author: e.author, Base: view.Version}
	if e.base >= 0 {
		edit.Base = model.ConfigVersion(e.base)
	}
	if edit.ID == "" {
		edit.ID = "edit-" + strings.ToLower(rand.Text()[:16])
	}
	for _, d := range list {
		edit.Changes = append(edit.Changes, configstore.Change{Key: d.Key, Item: d.New})
	}
	accepted, err := a.sendEdit(ctx, edit)
	if err != nil {
		return fmt.Errorf("edit %s: %w", edit.ID, err)
	}
	if e.wait {
		if err := a.awaitConfig(ctx, accepted.Version, e.timeout); err != nil {
			return err
		}
	}
	return a.show(accepted, func(t *table) {
		printDifferences(t, list)
		t.line("%d changes accepted as version %d", len(list), accepted.Version)
	})
}
