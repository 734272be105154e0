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
	// editTries bounds how often an edit whose outcome is unknown is sent
	// again with the same id.
	editTries = 3
	editPause = time.Second
	// waitStep is how long the server holds one request of a wait, so that
	// progress is shown.
	waitStep = 5 * time.Second
)

// editing is the flags of commands that edit the configuration.
type editing struct {
	id, author string
	base       int64
	wait       bool
	timeout    time.Duration
}

func (e *editing) flags(c *cobra.Command) *cobra.Command {
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

// readItem returns the newest item of a key, and the version read.
func (a *app) readItem(ctx context.Context, k model.ConfigKey) (*model.ConfigItem, model.ConfigVersion, error) {
	view, err := a.readConfig(ctx, k.Kind, k.Name)
	if err != nil || len(view.Items) == 0 {
		return nil, view.Version, err
	}
	return &view.Items[0].ConfigItem, view.Version, nil
}

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

// edit changes one item. change receives the newest item, or nil, and returns
// what replaces it; nil removes it.
func (a *app) edit(ctx context.Context, e *editing, k model.ConfigKey, change func(*model.ConfigItem) (*model.ConfigItem, error)) error {
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

// sendEdit sends an edit, and sends it again with the same id while its
// outcome is unknown.
func (a *app) sendEdit(ctx context.Context, e configstore.Edit) (accepted configstore.EditResult, err error) {
	for try := range editTries {
		if try > 0 {
			a.progress("the outcome of edit %s is unknown; sending it again", e.ID)
			if !actor.Sleep(ctx, editPause) {
				break
			}
		}
		err = a.client.send(ctx, http.MethodPost, "/v1/config", nil, e, &accepted)
		if err == nil || exitCode(err) != ExitUnknown {
			return accepted, unknownBefore(try > 0, err)
		}
	}
	return accepted, err
}

// unknownBefore keeps an edit unknown when a repetition could not be made.
func unknownBefore(repeated bool, err error) error {
	if repeated && err != nil && exitCode(err) == ExitUnavailable {
		return failure{ExitUnknown, err}
	}
	return err
}

// awaitConfig waits until a version is in effect everywhere.
func (a *app) awaitConfig(ctx context.Context, v model.ConfigVersion, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var s operator.ConfigStatus
	for {
		q := url.Values{"version": {strconv.FormatUint(uint64(v), 10)}, "wait": {waitStep.String()}}
		err := a.client.get(ctx, "/v1/config/status", q, &s)
		switch {
		case err == nil && s.Applied:
			a.progress("version %d is in effect at %d daemons", v, len(s.Daemons))
			return nil
		case ctx.Err() != nil:
			return failed(ExitFailure, "version %d is accepted, but not in effect everywhere after %s; lagging: %s", v, timeout, laggards(s))
		case err != nil && exitCode(err) != ExitUnavailable:
			return err
		case err != nil:
			actor.Sleep(ctx, editPause)
		default:
			a.progress("waiting for version %d at %s", v, laggards(s))
		}
	}
}

// laggards names the first daemons that lag.
func laggards(s operator.ConfigStatus) string {
	const shown = 5
	var names []string
	for i, d := range s.Lagging {
		if i == shown {
			names = append(names, fmt.Sprintf("and %d more", len(s.Lagging)-shown))
			break
		}
		names = append(names, fmt.Sprintf("%s (version %d)", d.Daemon, d.Version))
	}
	if names == nil {
		return "unknown daemons"
	}
	return strings.Join(names, ", ")
}
