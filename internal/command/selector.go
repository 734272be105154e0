package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/model"
)

func (a *app) selectorCommand() *cobra.Command {
	return a.group("selector", "Set, remove and show selectors", a.selectorSet(), a.selectorRemove(), a.selectorShow())
}

func selectorKey(name string) model.ConfigKey {
	return model.ConfigKey{Kind: model.KindSelector, Name: name}
}

func (a *app) selectorSet() *cobra.Command {
	e, s := &editFlags{}, &model.Selector{}
	c := leaf("set NAME", "Set a selector", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		return a.edit(ctx, e, selectorKey(args[0]), func(*model.ConfigItem) (*model.ConfigItem, error) {
			return &model.ConfigItem{Selector: s}, nil
		})
	})
	c.Long = c.Short + `. Kinds:
  may-share        what the subject matches shares a host only with what the object matches
  must-stay-apart  what the subject matches never shares a host with what the object matches
  yields-first     what the subject matches is evicted before other work`
	f := c.Flags()
	f.StringVar((*string)(&s.Kind), "kind", "", "may-share, must-stay-apart or yields-first")
	f.StringVar(&s.Subject, "subject", "", "label selector, such as 'class in (priming,braiding)'")
	f.StringVar(&s.Object, "object", "", "label selector of other work or hosts; not for yields-first")
	return e.register(c)
}

func (a *app) selectorRemove() *cobra.Command {
	e := &editFlags{}
	return e.register(leaf("remove NAME", "Remove a selector", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		return a.edit(ctx, e, selectorKey(args[0]), func(old *model.ConfigItem) (*model.ConfigItem, error) {
			if old == nil {
				return nil, exitErrorf(ExitNotFound, "selector %q does not exist", args[0])
			}
			return nil, nil
		})
	}))
}

func (a *app) selectorShow() *cobra.Command {
	return leaf("show [NAME]", "Show selectors", cobra.MaximumNArgs(1), func(ctx context.Context, args []string) error {
		name := ""
		if len(args) == 1 {
			name = args[0]
		}
		return a.showItems(ctx, model.KindSelector, name, name != "", func(model.ConfigKey) bool { return true })
	})
}
