package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
)

// ConfigView is the configuration as the API shows it.
type ConfigView struct {
	Version model.ConfigVersion `json:"version"`
	State   string              `json:"state"` // state name of charts/config.scxml
	Items   []ItemView          `json:"items"`
}

// ItemView is an item of the configuration with its key.
type ItemView struct {
	Key model.ConfigKey `json:"key"`
	configstore.Item
}

// ConfigStatus reports which daemons use a version of the configuration.
type ConfigStatus struct {
	Version model.ConfigVersion    `json:"version"` // the requested version
	Applied bool                   `json:"applied"` // every live daemon uses it or a newer version
	Daemons []model.AppliedVersion `json:"daemons,omitempty"`
	Lagging []model.AppliedVersion `json:"lagging,omitempty"` // those with an older version
}

// statusPollInterval is the time between two reads of the status, at this
// entry and at the others, while a request waits for a version.
const statusPollInterval = 400 * time.Millisecond

func (a *API) showConfig(r *http.Request) (response, error) {
	update, err := a.ConfigStore.Current(r.Context())
	if err != nil {
		return response{}, err
	}
	q := query{r: r}
	kind, name := model.ConfigKind(q.text("kind")), q.text("name")
	view := ConfigView{Version: update.Snapshot.Version(), State: update.State, Items: []ItemView{}}
	for _, k := range update.Snapshot.Keys(kind) {
		if name == "" || k.Name == name {
			item, _ := update.Snapshot.Item(k)
			view.Items = append(view.Items, ItemView{Key: k, Item: item})
		}
	}
	return response{body: view}, nil
}

func (a *API) editConfig(r *http.Request) (response, error) {
	var e configstore.Edit
	if err := decode(r, "edit", &e); err != nil {
		return response{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	accepted, err := a.ConfigStore.Edit(ctx, e)
	return response{body: accepted}, err
}

func (a *API) configHistory(r *http.Request) (response, error) {
	q := query{r: r}
	before := q.number("before", 0, 0, 1<<63)
	limit := q.number("limit", 20, 1, 100)
	if err := q.findings.Err(); err != nil {
		return response{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	list, err := a.ConfigStore.History(ctx, model.ConfigVersion(before), int(limit))
	return response{body: map[string]any{"edits": list}}, err
}

// configStatus reports which daemons use a version, by default the one that
// this entry uses. With the parameter wait it answers when every daemon uses
// the version, or when that time has passed. Entries query each other with
// local, which excludes further entries, and while they wait with brief, which
// lists only lagging daemons: the full list of the 1,380 agents of a region at
// the target size has 77 KB.
func (a *API) configStatus(r *http.Request) (response, error) {
	q := query{r: r}
	version := model.ConfigVersion(q.number("version", 0, 0, 1<<63))
	wait, local, brief := q.duration("wait", maxWait), q.flag("local"), q.flag("brief")
	if err := q.findings.Err(); err != nil {
		return response{}, err
	}
	if version == 0 {
		own, err := a.ConfigStore.Status(r.Context())
		if err != nil {
			return response{}, err
		}
		version = own.Version
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for wait > 0 {
		s, err := a.collectStatus(r.Context(), version, local, true)
		if err != nil {
			return response{}, err
		}
		if s.Applied || !actor.Sleep(ctx, statusPollInterval) {
			break
		}
	}
	s, err := a.collectStatus(r.Context(), version, local, brief)
	return response{body: s}, err
}

// collectStatus collects the versions that this entry and its agents use and,
// unless local is set, those of the other entries and their agents. A brief
// result lists only lagging daemons.
func (a *API) collectStatus(ctx context.Context, version model.ConfigVersion, local, brief bool) (ConfigStatus, error) {
	own, err := a.ConfigStore.Status(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	versions := map[string]model.ConfigVersion{}
	merge := func(list []model.AppliedVersion) {
		for _, d := range list {
			versions[d.Daemon] = max(versions[d.Daemon], d.Version)
		}
	}
	merge(own.Daemons)
	if a.Peers != nil && !local {
		peers, err := a.Peers(ctx)
		if err != nil {
			return ConfigStatus{}, err
		}
		for _, p := range peers {
			if p.ID != a.Entry {
				merge(a.peerVersions(ctx, p, version, brief))
			}
		}
	}
	s := newConfigStatus(version, versions)
	if brief {
		s.Daemons = nil
	}
	return s, nil
}

// newConfigStatus lists all daemons by name, and as lagging those with a lower
// version than the requested one.
func newConfigStatus(version model.ConfigVersion, versions map[string]model.ConfigVersion) ConfigStatus {
	s := ConfigStatus{Version: version}
	for name, v := range versions {
		d := model.AppliedVersion{Daemon: name, Version: v}
		s.Daemons = append(s.Daemons, d)
		if v < version {
			s.Lagging = append(s.Lagging, d)
		}
	}
	for _, list := range [][]model.AppliedVersion{s.Daemons, s.Lagging} {
		sort.Slice(list, func(i, j int) bool { return list[i].Daemon < list[j].Daemon })
	}
	s.Applied = len(s.Lagging) == 0
	return s
}

// peerVersions returns the versions that another entry reports. An entry that
// does not answer is reported with version 0, so that it counts as lagging.
func (a *API) peerVersions(ctx context.Context, p Peer, version model.ConfigVersion, brief bool) []model.AppliedVersion {
	s, err := a.fetchPeerStatus(ctx, p, version, brief)
	if err != nil {
		event.Log(a.Log, event.OperatorPeerSilent, log.Fields{"entry": p.ID, "error": err.Error()})
		return []model.AppliedVersion{{Daemon: string(p.ID)}}
	}
	if brief {
		return s.Lagging
	}
	return s.Daemons
}

func (a *API) fetchPeerStatus(ctx context.Context, p Peer, version model.ConfigVersion, brief bool) (s ConfigStatus, err error) {
	base := p.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	url := fmt.Sprintf("%s/v1/config/status?local=true&version=%d&brief=%t", base, version, brief)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, err
	}
	if a.Token != "" {
		req.Header.Set("Authorization", "Bearer "+a.Token)
	}
	res, err := a.client.Do(req)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", res.StatusCode)
	}
	// The list of 6,900 agents, with 56 bytes each, is within the limit.
	return s, json.NewDecoder(io.LimitReader(res.Body, 4*maxBody)).Decode(&s)
}
