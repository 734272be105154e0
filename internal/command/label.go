package command

import (
	"context"
	"maps"
	"strings"

	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/model"
)

func (a *app) labelCommand() *cobra.Command {
	return a.group("label", "Set, remove and show labels", a.labelSet(), a.labelRemove(), a.labelShow())
}

// kindsHelp is part of the help of every command that takes a KIND of item.
const kindsHelp = "KIND is service, class, team, worker, backend or job."

func (a *app) labelSet() *cobra.Command {
	e, replace := &editFlags{}, false
	c := leaf("set KIND NAME KEY=VALUE...", "Set labels of an item", cobra.MinimumNArgs(3), func(ctx context.Context, args []string) error {
		return a.edit(ctx, e, labelKey(args), func(old *model.ConfigItem) (*model.ConfigItem, error) {
			l := model.Labels{}
			if old != nil && !replace {
				l = maps.Clone(old.Labels)
			}
			for _, arg := range args[2:] {
				k, v, ok := strings.Cut(arg, "=")
				if !ok {
					return nil, exitErrorf(ExitUsage, "%q is not KEY=VALUE", arg)
				}
				l[k] = v
			}
			return &model.ConfigItem{Labels: l}, nil
		})
	})
	c.Long = c.Short + ". Its other labels are kept. " + kindsHelp
	c.Flags().BoolVar(&replace, "replace", false, "remove all other labels of the item")
	return e.register(c)
}

func labelKey(args []string) model.ConfigKey {
	return model.ConfigKey{Kind: model.ConfigKind(args[0]), Name: args[1]}
}

func (a *app) labelRemove() *cobra.Command {
	e := &editFlags{}
	c := leaf("remove KIND NAME [KEY...]", "Remove some or all labels of an item", cobra.MinimumNArgs(2), func(ctx context.Context, args []string) error {
		return a.edit(ctx, e, labelKey(args), func(old *model.ConfigItem) (*model.ConfigItem, error) {
			if old == nil {
				return nil, exitErrorf(ExitNotFound, "%s has no labels", labelKey(args))
			}
			l := maps.Clone(old.Labels)
			for _, k := range args[2:] {
				if _, ok := l[k]; !ok {
					return nil, exitErrorf(ExitNotFound, "%s has no label %q", labelKey(args), k)
				}
				delete(l, k)
			}
			if len(args) == 2 || len(l) == 0 {
				return nil, nil
			}
			return &model.ConfigItem{Labels: l}, nil
		})
	})
	c.Long = c.Short + ". " + kindsHelp
	return e.register(c)
}

func (a *app) labelShow() *cobra.Command {
	c := leaf("show [KIND [NAME]]", "Show labels", cobra.MaximumNArgs(2), func(ctx context.Context, args []string) error {
		args = append(args, "", "")
		return a.showItems(ctx, model.ConfigKind(args[0]), args[1], args[1] != "", func(k model.ConfigKey) bool { return k.Kind != model.KindSelector })
	})
	c.Long = c.Short + ". " + kindsHelp
	return c
}
