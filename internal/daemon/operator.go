package daemon

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/directory"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/labels"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// operatorView answers the operators' API's queries about an entry. Its methods
// are called from the goroutines of the HTTP server.
type operatorView struct {
	self           entry.Self
	dispatcher     entry.Address
	recentRequests *metrics.RecentRequests
	cells          *cellControllers
	table          storage.Table
	entries        *actor.Value[directory.List]
	draining       *actor.Value[bool] // set when the entry shuts down
}

// startOperator starts the operators' API and the actor that keeps v.entries
// current.
func startOperator(g *actor.Group, c EntryConfig, v *operatorView, store *configstore.Store, registry *metrics.Registry) *operator.API {
	cfg := c.Settings
	directory.Follow(g, c.Table, directoryInterval, c.Log, func(list directory.List) { v.entries.Set(&list) })
	config := operator.Config{
		Entry: v.self.Entry, Build: c.Build, Token: cfg.Entry.OperatorToken, DefaultCell: cfg.Entry.DefaultCell,
		Table: c.Table, Objects: c.Objects, ConfigStore: store, Log: c.Log,
		ValidateLabels: labels.Validate, ParseSelector: parseSelector, IsFinal: control.Final,
		Services: v.services, Cells: v.cells.status, Explain: v.explain, Drain: v.drain, Peers: v.peers,
		Metrics: registry.Handler(), Settings: cfg.Public(), Health: v.health,
	}
	if c.RecentEvents != nil {
		config.RecentEvents = c.RecentEvents.Events
	}
	api := operator.New(g, config)
	api.Serve(g, c.Operator)
	return api
}

var errDraining = errors.New("the entry is shutting down")

// health returns an error once the entry shuts down. The platform's balancer
// reads it.
func (v *operatorView) health(context.Context) error {
	if v.draining.Get() != nil {
		return errDraining
	}
	return nil
}

// services returns the services sorted by name, with the recent requests of
// each.
func (v *operatorView) services(ctx context.Context) ([]model.ServiceStatus, error) {
	list, err := actor.Ask(ctx, v.dispatcher, func(r actor.Reply[[]model.ServiceStatus]) entry.Message {
		return entry.StatusQuery{Reply: r}
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(list, func(a, b model.ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	recent, err := v.recentRequests.Read(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range recent {
		i := slices.IndexFunc(list, func(s model.ServiceStatus) bool { return string(s.Service) == r.Service })
		if i >= 0 {
			list[i].Recent = append(list[i].Recent, model.RecentStatus{Class: model.Class(r.Class), Tenant: model.Tenant(r.Tenant),
				Requests: r.Requests, Refused: r.Refused, P50: r.P50, P99: r.P99, P999: r.P999})
		}
	}
	return list, nil
}

// drain drains a backend server. It returns storage.ErrNotFound when this entry
// does not know it.
func (v *operatorView) drain(ctx context.Context, id model.BackendID) error {
	found, err := actor.Ask(ctx, v.dispatcher, func(r actor.Reply[bool]) entry.Message {
		return entry.DrainQuery{Backend: id, Reply: r}
	})
	if err == nil && !found {
		return storage.ErrNotFound
	}
	return err
}

// peers returns the other running entries. It reads the table for new entries:
// the list that Follow keeps may be directoryInterval old, and with it an edit
// was reported in effect everywhere before a newly started entry had it. While
// the table is unavailable it uses that list, because no new entry can announce
// itself then.
func (v *operatorView) peers(ctx context.Context) ([]operator.Peer, error) {
	known := v.entries.Get()
	if known == nil {
		return nil, errors.Wrap(storage.ErrUnavailable, "the list of entries has not been read yet")
	}
	entries, err := known.Current(ctx, v.table)
	if err != nil {
		entries = known.Entries
	}
	var list []operator.Peer
	for _, e := range entries {
		if e.ID != v.self.Entry {
			list = append(list, operator.Peer{ID: e.ID, Address: e.Operator})
		}
	}
	return list, nil
}

// explain returns the state of a job, worker, backend server or class with the
// reason for it. It returns storage.ErrNotFound for an unknown kind or name.
func (v *operatorView) explain(ctx context.Context, kind, name string) (any, error) {
	switch kind {
	case "job":
		return v.cells.explainJob(ctx, model.JobID(name))
	case "worker":
		return v.explainWorker(ctx, model.WorkerID(name))
	case "backend", "class":
		services, err := v.services(ctx)
		if err != nil {
			return nil, err
		}
		if kind == "class" {
			return explainClass(services, model.Class(name))
		}
		return explainBackend(services, model.BackendID(name))
	}
	return nil, storage.ErrNotFound
}

func (v *operatorView) explainWorker(ctx context.Context, id model.WorkerID) (any, error) {
	list, err := v.cells.status(ctx)
	if err != nil {
		return nil, err
	}
	for _, c := range list {
		if i := slices.IndexFunc(c.Workers, func(w model.WorkerStatus) bool { return w.Worker == id }); i >= 0 {
			return c.Workers[i], nil
		}
	}
	return nil, storage.ErrNotFound
}

// backendExplanation is the state of a backend server and the reason why it
// receives requests or none.
type backendExplanation struct {
	model.BackendStatus
	Service model.Service `json:"service"`
	Queued  int           `json:"queued"`
	Reason  string        `json:"reason"`
}

func explainBackend(services []model.ServiceStatus, id model.BackendID) (any, error) {
	for _, s := range services {
		for _, b := range s.Backends {
			if b.Backend == id {
				return backendExplanation{BackendStatus: b, Service: s.Service, Queued: s.Queued, Reason: backendReason(b, s)}, nil
			}
		}
	}
	return nil, storage.ErrNotFound
}

func backendReason(b model.BackendStatus, s model.ServiceStatus) string {
	switch {
	case b.State != "ready":
		return "it is " + b.State + ": its agent grants no credits"
	case b.Credits == 0 && b.Running == 0:
		return "this entry holds no credit for it: other entries use its slots"
	case b.Credits == 0:
		return "every credit of this entry is in use"
	case s.Queued == 0:
		return "no request is queued; it has idle credits"
	}
	return "the queued requests are of long classes, which may not use its free slots"
}

// classExplanation is the state of a class and the reason why its requests start
// or wait.
type classExplanation struct {
	model.ClassStatus
	Service model.Service `json:"service"`
	Reason  string        `json:"reason"`
}

func explainClass(services []model.ServiceStatus, name model.Class) (any, error) {
	for _, s := range services {
		for _, c := range s.Classes {
			if c.Class == name {
				return classExplanation{ClassStatus: c, Service: s.Service, Reason: classReason(c, s)}, nil
			}
		}
	}
	return nil, storage.ErrNotFound
}

func classReason(c model.ClassStatus, s model.ServiceStatus) string {
	credits, ready := 0, 0
	for _, b := range s.Backends {
		credits += b.Credits
		if b.State == "ready" {
			ready++
		}
	}
	switch {
	case ready == 0:
		return "no backend server of the service is ready: requests are queued, and refused when they cannot start in time"
	case c.Long:
		return "it is a long class: it may use half of the slots, and none of the slots of one backend server in each data centre"
	case credits == 0:
		return "every slot is in use: a request is refused when it could not end before its deadline"
	}
	return "slots are free: requests start at once"
}
