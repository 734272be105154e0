package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"net/url"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
)

const (
	// maxEditSends is how often an edit is sent with the same id, at most,
	// while its outcome is unknown.
	maxEditSends = 3
	retryDelay   = time.Second
	// longPollTime limits how long the server delays the response to one
	// request of a wait, so that progress is shown in between.
	longPollTime = 5 * time.Second
)

// editFlags are the flags of commands that edit the configuration.
type editFlags struct {
	id, author string
	base       int64 // negative: the newest version
	wait       bool
	timeout    time.Duration
}

func (e *editFlags) register(c *cobra.Command) *cobra.Command {
	f := c.Flags()
	f.StringVar(&e.id, "edit-id", "", "id of the edit; repeating an edit with its id has no further effect (default: a random one)")
	f.StringVar(&e.author, "author", userName(), "name recorded with the edit")
	f.Int64Var(&e.base, "base", -1, "version that the edit is based on (default: the newest)")
	f.BoolVar(&e.wait, "wait", false, "wait until the edit is in effect at every live daemon")
	f.DurationVar(&e.timeout, "timeout", 30*time.Second, "longest wait")
	return c
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// readItem returns the item of a key, nil if there is none, and the version of
// the configuration that was read.
func (a *app) readItem(ctx context.Context, k model.ConfigKey) (*model.ConfigItem, model.ConfigVersion, error) {
	view, err := a.readConfig(ctx, k.Kind, k.Name)
	if err != nil || len(view.Items) == 0 {
		return nil, view.Version, err
	}
	return &view.Items[0].ConfigItem, view.Version, nil
}

// readConfig reads the items of a kind and name; empty ones match all.
func (a *app) readConfig(ctx context.Context, kind model.ConfigKind, name string) (view operator.ConfigView, err error) {
	q := url.Values{}
	if kind != "" {
		q.Set("kind", string(kind))
	}
	if name != "" {
		q.Set("name", name)
	}
	return view, a.client.get(ctx, "/v1/config", q, &view)
}

// edit changes one item. change receives the present item, or nil if there is
// none, and returns its replacement, or nil to remove it.
func (a *app) edit(ctx context.Context, e *editFlags, k model.ConfigKey, change func(*model.ConfigItem) (*model.ConfigItem, error)) error {
	old, version, err := a.readItem(ctx, k)
	if err != nil {
		return err
	}
	if e.base >= 0 {
		version = model.ConfigVersion(e.base)
	}
	item, err := change(old)
	if err != nil {
		return err
	}
	if e.id == "" {
		e.id = "edit-" + strings.ToLower(rand.Text()[:16])
	}
	accepted, err := a.sendEdit(ctx, configstore.Edit{ID: e.id, Author: e.author, Base: version,
		Changes: []configstore.Change{{Key: k, Item: item}}})
	if err != nil {
		return fmt.Errorf("edit %s: %w", e.id, err)
	}
	if e.wait {
		if err := a.awaitConfig(ctx, accepted.Version, e.timeout); err != nil {
			return err
		}
	}
	return a.show(accepted, func(t *table) { t.line("%s accepted as version %d", k, accepted.Version) })
}

// sendEdit sends an edit, and repeats it with the same id while its outcome is
// unknown; it sends the edit maxEditSends times at most.
func (a *app) sendEdit(ctx context.Context, e configstore.Edit) (accepted configstore.EditResult, err error) {
	for try := range maxEditSends {
		if try > 0 {
			a.progress("the outcome of edit %s is unknown; sending it again", e.ID)
			if !actor.Sleep(ctx, retryDelay) {
				break
			}
		}
		err = a.client.send(ctx, http.MethodPost, "/v1/config", nil, e, &accepted)
		if err == nil || exitCode(err) != ExitOutcomeUnknown {
			return accepted, keepOutcomeUnknown(try > 0, err)
		}
	}
	return accepted, err
}

// keepOutcomeUnknown returns the error of an edit with ExitOutcomeUnknown if a
// repetition had no effect: the first one may still have taken effect.
func keepOutcomeUnknown(repeated bool, err error) error {
	if repeated && err != nil && exitCode(err) == ExitUnavailable {
		return exitError{ExitOutcomeUnknown, err}
	}
	return err
}

// awaitConfig waits until every live daemon uses a version.
func (a *app) awaitConfig(ctx context.Context, v model.ConfigVersion, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var s operator.ConfigStatus
	for {
		q := url.Values{"version": {strconv.FormatUint(uint64(v), 10)}, "wait": {longPollTime.String()}}
		err := a.client.get(ctx, "/v1/config/status", q, &s)
		switch {
		case err == nil && s.Applied:
			a.progress("version %d is in effect at %d daemons", v, len(s.Daemons))
			return nil
		case ctx.Err() != nil:
			return exitErrorf(ExitFailure, "version %d is accepted, but not in effect everywhere after %s; lagging: %s", v, timeout, laggingText(s))
		case err != nil && exitCode(err) != ExitUnavailable:
			return err
		case err != nil:
			actor.Sleep(ctx, retryDelay)
		default:
			a.progress("waiting for version %d at %s", v, laggingText(s))
		}
	}
}

// laggingText lists the first few lagging daemons and their versions.
func laggingText(s operator.ConfigStatus) string {
	const maxShown = 5
	var names []string
	for i, d := range s.Lagging {
		if i == maxShown {
			names = append(names, fmt.Sprintf("and %d more", len(s.Lagging)-maxShown))
			break
		}
		names = append(names, fmt.Sprintf("%s (version %d)", d.Daemon, d.Version))
	}
	if names == nil {
		return "unknown daemons"
	}
	return strings.Join(names, ", ")
}
