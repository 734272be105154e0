package command

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
	"github.com/bambooscale/bambooscale/internal/rows"
)

// showItems shows the items of a kind and name that keep accepts; an empty kind
// or name means all. With one, an empty result is an error.
func (a *app) showItems(ctx context.Context, kind model.ConfigKind, name string, one bool, keep func(model.ConfigKey) bool) error {
	view, err := a.readConfig(ctx, kind, name)
	if err != nil {
		return err
	}
	kept := []operator.ItemView{}
	for _, i := range view.Items {
		if keep(i.Key) {
			kept = append(kept, i)
		}
	}
	if one && len(kept) == 0 {
		return exitErrorf(ExitNotFound, "%s/%s is not configured", kind, name)
	}
	view.Items = kept
	return a.show(view, func(t *table) {
		t.row("KIND", "NAME", "VALUE", "VERSION", "AUTHOR")
		for _, i := range view.Items {
			t.row(i.Key.Kind, i.Key.Name, itemText(i.ConfigItem), i.Version, orDash(i.Author))
		}
	})
}

// itemText formats an item: its labels, or the kind and the two label selectors
// of its selector.
func itemText(i model.ConfigItem) string {
	if s := i.Selector; s != nil {
		return strings.TrimSpace(fmt.Sprintf("%s: %s | %s", s.Kind, s.Subject, s.Object))
	}
	return labelsText(i.Labels)
}

func (a *app) configCommand() *cobra.Command {
	return a.group("config", "Show and apply the configuration, its history and its rollout",
		a.configShow(), a.configHistory(), a.configStatus(), a.configDiff(), a.configApply())
}

func (a *app) configShow() *cobra.Command {
	return leaf("show [KIND [NAME]]", "Show labels and selectors", cobra.MaximumNArgs(2), func(ctx context.Context, args []string) error {
		args = append(args, "", "")
		return a.showItems(ctx, model.ConfigKind(args[0]), args[1], args[1] != "", func(model.ConfigKey) bool { return true })
	})
}

func (a *app) configHistory() *cobra.Command {
	var before uint64
	var limit int
	c := leaf("history", "Show accepted edits, newest first", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		var page struct {
			Edits []rows.ConfigLog `json:"edits"`
		}
		q := url.Values{"before": {strconv.FormatUint(before, 10)}, "limit": {strconv.Itoa(limit)}}
		if err := a.client.get(ctx, "/v1/config/history", q, &page); err != nil {
			return err
		}
		return a.show(page, func(t *table) {
			t.row("VERSION", "AUTHOR", "KEY", "VALUE", "EDIT")
			for _, e := range page.Edits {
				for _, c := range e.Changes {
					value := "(removed)"
					if c.Item != nil {
						value = itemText(*c.Item)
					}
					t.row(e.Version, orDash(e.Author), c.Key, value, e.Edit)
				}
			}
		})
	})
	c.Flags().Uint64Var(&before, "before", 0, "show edits before this version")
	c.Flags().IntVar(&limit, "limit", 20, "number of edits, at most 100")
	return c
}

func (a *app) configStatus() *cobra.Command {
	var version uint64
	var wait bool
	var timeout time.Duration
	c := leaf("status", "Show which version every daemon uses", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		var s operator.ConfigStatus
		get := func() error {
			q := url.Values{"version": {strconv.FormatUint(version, 10)}}
			return a.client.get(ctx, "/v1/config/status", q, &s)
		}
		if err := get(); err != nil {
			return err
		}
		var waitErr error
		if wait && !s.Applied {
			waitErr = a.awaitConfig(ctx, s.Version, timeout)
			if err := get(); err != nil {
				return errors.CombineErrors(waitErr, err)
			}
		}
		return errors.CombineErrors(waitErr, a.showConfigStatus(s))
	})
	f := c.Flags()
	f.Uint64Var(&version, "version", 0, "version to check (default: the one that the entry uses)")
	f.BoolVar(&wait, "wait", false, "wait until the version is in effect at every live daemon")
	f.DurationVar(&timeout, "timeout", 30*time.Second, "longest wait")
	return c
}

func (a *app) showConfigStatus(s operator.ConfigStatus) error {
	return a.show(s, func(t *table) {
		t.line("version %d is in effect at %d of %d daemons", s.Version, len(s.Daemons)-len(s.Lagging), len(s.Daemons))
		if len(s.Lagging) > 0 {
			t.line("lagging: %s", laggingText(s))
		}
	})
}
