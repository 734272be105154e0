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

// showItems shows the items of a kind and name that keep accepts. An empty
// result is an error when one item was named.
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
		return failed(ExitNotFound, "%s/%s is not configured", kind, name)
	}
	view.Items = kept
	return a.show(view, func(t *table) {
		t.row("KIND", "NAME", "VALUE", "VERSION", "AUTHOR")
		for _, i := range view.Items {
			t.row(i.Key.Kind, i.Key.Name, itemText(i.ConfigItem), i.Version, dash(i.Author))
		}
	})
}

func itemText(i model.ConfigItem) string {
	if s := i.Selector; s != nil {
		return strings.TrimSpace(fmt.Sprintf("%s: %s | %s", s.Kind, s.Subject, s.Object))
	}
	return labelsText(i.Labels)
}

func (a *app) configCommand() *cobra.Command {
	return a.group("config", "Show the configuration, its history and how far it has got",
		a.configShow(), a.configHistory(), a.configStatus())
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
					t.row(e.Version, dash(e.Author), c.Key, value, e.Edit)
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
	c := leaf("status", "Show the version in force at every daemon", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		var s operator.ConfigStatus
		get := func() error {
			q := url.Values{"version": {strconv.FormatUint(version, 10)}}
			return a.client.get(ctx, "/v1/config/status", q, &s)
		}
		if err := get(); err != nil {
			return err
		}
		var waited error
		if wait && !s.Applied {
			waited = a.awaitConfig(ctx, s.Version, timeout)
			if err := get(); err != nil {
				return errors.CombineErrors(waited, err)
			}
		}
		return errors.CombineErrors(waited, a.showSpread(s))
	})
	f := c.Flags()
	f.Uint64Var(&version, "version", 0, "version to look for (default: the one in force at the entry)")
	f.BoolVar(&wait, "wait", false, "wait until the version is in effect at every live daemon")
	f.DurationVar(&timeout, "timeout", 30*time.Second, "longest wait")
	return c
}

func (a *app) showSpread(s operator.ConfigStatus) error {
	return a.show(s, func(t *table) {
		t.line("version %d is in effect at %d of %d daemons", s.Version, len(s.Daemons)-len(s.Lagging), len(s.Daemons))
		if len(s.Lagging) > 0 {
			t.line("lagging: %s", laggards(s))
		}
	})
}
