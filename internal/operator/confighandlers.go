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

// ItemView is an item with its key.
type ItemView struct {
	Key model.ConfigKey `json:"key"`
	configstore.Item
}

// ConfigStatus is how far a version of the configuration has got.
type ConfigStatus struct {
	Version model.ConfigVersion    `json:"version"` // the version asked for
	Applied bool                   `json:"applied"` // it is in force at every live daemon
	Daemons []model.AppliedVersion `json:"daemons,omitempty"`
	Lagging []model.AppliedVersion `json:"lagging,omitempty"`
}

// waitInterval is how often a waiting request looks again, here and at the
// other entries.
const waitInterval = 400 * time.Millisecond

func (a *API) showConfig(r *http.Request) (response, error) {
	u, err := a.ConfigStore.Current(r.Context())
	if err != nil {
		return response{}, err
	}
	q := query{r: r}
	kind, name := model.ConfigKind(q.text("kind")), q.text("name")
	view := ConfigView{Version: u.Snapshot.Version(), State: u.State, Items: []ItemView{}}
	for _, k := range u.Snapshot.Keys(kind) {
		if name == "" || k.Name == name {
			item, _ := u.Snapshot.Item(k)
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
	if err := q.found.Err(); err != nil {
		return response{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	list, err := a.ConfigStore.History(ctx, model.ConfigVersion(before), int(limit))
	return response{body: map[string]any{"edits": list}}, err
}

// configStatus reports how far a version (by default the one in force here)
// has got. With wait it answers when the version is in force everywhere, or
// when the time is over. Entries ask each other with local, and while they
// wait with brief, which names only the daemons that lag: a list of the 1,380
// agents of a region at the target size measured 77 KB.
func (a *API) configStatus(r *http.Request) (response, error) {
	q := query{r: r}
	version := model.ConfigVersion(q.number("version", 0, 0, 1<<63))
	wait, local, brief := q.duration("wait", maxWait), q.flag("local"), q.flag("brief")
	if err := q.found.Err(); err != nil {
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
		s, err := a.spread(r.Context(), version, local, true)
		if err != nil {
			return response{}, err
		}
		if s.Applied || !actor.Sleep(ctx, waitInterval) {
			break
		}
	}
	s, err := a.spread(r.Context(), version, local, brief)
	return response{body: s}, err
}

// spread collects the versions in force at this entry, its agents and, unless
// local, at the other entries and theirs. A brief result lists only daemons
// that lag.
func (a *API) spread(ctx context.Context, version model.ConfigVersion, local, brief bool) (ConfigStatus, error) {
	own, err := a.ConfigStore.Status(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	all := map[string]model.ConfigVersion{}
	note := func(list []model.AppliedVersion) {
		for _, d := range list {
			all[d.Daemon] = max(all[d.Daemon], d.Version)
		}
	}
	note(own.Daemons)
	if a.Peers != nil && !local {
		peers, err := a.Peers(ctx)
		if err != nil {
			return ConfigStatus{}, err
		}
		for _, p := range peers {
			if p.ID != a.Entry {
				note(a.askPeer(ctx, p, version, brief))
			}
		}
	}
	s := summary(version, all)
	if brief {
		s.Daemons = nil
	}
	return s, nil
}

// summary sorts daemons into those that have a version and those that lag.
func summary(version model.ConfigVersion, all map[string]model.ConfigVersion) ConfigStatus {
	s := ConfigStatus{Version: version}
	for name, v := range all {
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

// askPeer returns the versions known at another entry. An entry that does not
// answer is reported with version 0, so that it counts as lagging.
func (a *API) askPeer(ctx context.Context, p Peer, version model.ConfigVersion, brief bool) []model.AppliedVersion {
	s, err := a.peerStatus(ctx, p, version, brief)
	if err != nil {
		event.Log(a.Log, event.OperatorPeerSilent, log.Fields{"entry": p.ID, "error": err.Error()})
		return []model.AppliedVersion{{Daemon: string(p.ID)}}
	}
	if brief {
		return s.Lagging
	}
	return s.Daemons
}

func (a *API) peerStatus(ctx context.Context, p Peer, version model.ConfigVersion, brief bool) (s ConfigStatus, err error) {
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
	// 6,900 agents of 56 bytes each fit into the limit.
	return s, json.NewDecoder(io.LimitReader(res.Body, 4*maxBody)).Decode(&s)
}
