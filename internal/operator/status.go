package operator

import (
	"context"
	"fmt"
	"net/http"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Status is the state of the system as one entry knows it.
type Status struct {
	Entry    model.EntryID         `json:"entry"`
	Build    string                `json:"build"`
	Problems []string              `json:"problems"` // most urgent first
	Config   ConfigSummary         `json:"config"`
	Services []model.ServiceStatus `json:"services"`
	Cells    []model.CellStatus    `json:"cells"`
}

// ConfigSummary is the version of the configuration that the entry uses.
type ConfigSummary struct {
	Version model.ConfigVersion `json:"version"`
	State   string              `json:"state"` // state name of charts/config.scxml
}

func (a *API) status(r *http.Request) (response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	s := Status{Entry: a.Entry, Build: a.Build, Services: []model.ServiceStatus{}, Cells: []model.CellStatus{}}
	// A part that does not answer is reported as a problem; the status of the
	// other parts is still returned.
	if update, err := a.ConfigStore.Current(ctx); err != nil {
		s.Problems = append(s.Problems, "configuration does not answer: "+err.Error())
	} else {
		s.Config = ConfigSummary{Version: update.Snapshot.Version(), State: update.State}
	}
	if a.Services != nil {
		if list, err := a.Services(ctx); err != nil {
			s.Problems = append(s.Problems, "request dispatcher does not answer: "+err.Error())
		} else {
			s.Services = append(s.Services, list...)
		}
	}
	if a.Cells != nil {
		if list, err := a.Cells(ctx); err != nil {
			s.Problems = append(s.Problems, "cell controllers do not answer: "+err.Error())
		} else {
			s.Cells = append(s.Cells, list...)
		}
	}
	s.Problems = append(s.Problems, problems(s)...)
	if s.Problems == nil {
		s.Problems = []string{}
	}
	return response{body: s}, nil
}

// problems returns the conditions that need an operator's attention, most
// urgent first: those that affect callers, then those that affect jobs, then
// those that may become a problem.
func problems(s Status) []string {
	var urgent, later []string
	for _, svc := range s.Services {
		svcUrgent, svcLater := serviceProblems(svc)
		urgent, later = append(urgent, svcUrgent...), append(later, svcLater...)
	}
	for _, c := range s.Cells {
		cellUrgent, cellLater := cellProblems(c)
		urgent, later = append(urgent, cellUrgent...), append(later, cellLater...)
	}
	switch s.Config.State {
	case "empty":
		urgent = append(urgent, "the entry has no configuration; work that needs one is refused")
	case "stale":
		later = append(later, fmt.Sprintf("configuration is stale at version %d: the table service is unavailable", s.Config.Version))
	}
	return append(urgent, later...)
}

// normalStates are the states of backend servers and workers that are not
// reported as problems: in service, or taken out of service by an operator.
var normalStates = map[string]bool{"ready": true, "draining": true, "finishing": true, "left": true}

func serviceProblems(s model.ServiceStatus) (urgent, later []string) {
	ready := 0
	for _, b := range s.Backends {
		if b.State == "ready" {
			ready++
		}
		if normalStates[b.State] {
			continue
		}
		later = append(later, fmt.Sprintf("service %s: backend server %s on %s is %s", s.Service, b.Backend, b.Worker, b.State))
	}
	if ready == 0 {
		urgent = append(urgent, fmt.Sprintf("service %s has no ready backend server (%d requests queued)", s.Service, s.Queued))
	} else if s.Queued > 0 && s.Credits == 0 {
		later = append(later, fmt.Sprintf("service %s is saturated: %d requests queued, %d running", s.Service, s.Queued, s.Running))
	}
	return urgent, later
}

func cellProblems(c model.CellStatus) (urgent, later []string) {
	if c.State == "holding" {
		urgent = append(urgent, fmt.Sprintf("cell %s is holding: its controller cannot write its heartbeat, so no job is placed", c.Cell))
	}
	if c.Owner == "" {
		urgent = append(urgent, fmt.Sprintf("cell %s has no controller, so no job is placed", c.Cell))
	}
	for _, w := range c.Workers {
		if normalStates[w.State] {
			continue
		}
		text := fmt.Sprintf("cell %s: worker %s is %s", c.Cell, w.Worker, w.State)
		if w.Reason != "" {
			text += " (" + w.Reason + ")"
		}
		later = append(later, text)
	}
	if n := c.Phases["parked"]; n > 0 {
		later = append(later, fmt.Sprintf("cell %s: %d jobs are parked; list them with: bambooctl job list --phase parked", c.Cell, n))
	}
	return urgent, later
}

func (a *API) explain(r *http.Request) (response, error) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	switch kind {
	case "job", "class", "backend", "worker":
	default:
		return response{}, fmt.Errorf("kind %q; use job, class, backend or worker: %w", kind, storage.ErrNotFound)
	}
	if name == "" || a.Explain == nil {
		return response{}, fmt.Errorf("%s %q: %w", kind, name, storage.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	v, err := a.Explain(ctx, kind, name)
	switch {
	case !errors.Is(err, storage.ErrNotFound):
		return response{body: v}, err
	case kind == "job":
		return a.explainFromRow(ctx, r, model.JobID(name))
	}
	return response{}, fmt.Errorf("%s %q is not known to this entry; bambooctl status --all and backend list show what is: %w", kind, name, err)
}

// rowExplanation explains a job from its stored row, if no controller of this
// entry manages the job.
type rowExplanation struct {
	Job    model.JobID    `json:"job"`
	Cell   model.Cell     `json:"cell"`
	Phase  model.Phase    `json:"phase"`
	Worker model.WorkerID `json:"worker,omitempty"`
	Reason string         `json:"reason"`
}

func (a *API) explainFromRow(ctx context.Context, r *http.Request, id model.JobID) (response, error) {
	cell, err := a.cell(r)
	if err != nil {
		return response{}, err
	}
	if !validName(string(id)) {
		return response{}, unknownJob(cell, id)
	}
	row, found, err := a.jobs.readJob(ctx, rows.JobKey(cell, id))
	if err != nil || !found {
		return response{}, errors.CombineErrors(err, unknownJob(cell, id))
	}
	e := rowExplanation{Job: id, Cell: cell, Phase: row.Phase, Worker: row.Worker}
	switch {
	case a.IsFinal != nil && a.IsFinal(row.Phase):
		e.Reason = fmt.Sprintf("the job has ended: it is %s after %d attempts", row.Phase, row.Attempt)
		if row.Reason != "" {
			e.Reason += ": " + row.Reason
		}
	default:
		e.Reason = a.ownerHint(ctx, cell)
	}
	return response{body: e}, nil
}

// ownerHint returns the reason why this entry cannot explain a job of a cell,
// and which entry can.
func (a *API) ownerHint(ctx context.Context, cell model.Cell) string {
	if a.Cells != nil {
		list, err := a.Cells(ctx)
		for _, c := range list {
			if err == nil && c.Cell == cell && c.Owner != "" && c.Owner != a.Entry {
				return fmt.Sprintf("entry %s owns cell %s; ask it with --server", c.Owner, cell)
			}
		}
	}
	return fmt.Sprintf("the controller of cell %s has not read the job yet, or this entry does not contend for the cell; repeat the command, or ask another entry with --server", cell)
}

func (a *API) drain(r *http.Request) (response, error) {
	id := model.BackendID(r.PathValue("id"))
	if a.Drain == nil {
		return response{}, fmt.Errorf("backend server %q: %w", id, storage.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if err := a.Drain(ctx, id); errors.Is(err, storage.ErrNotFound) {
		return response{}, fmt.Errorf("backend server %q is not known to this entry; bambooctl backend list shows those that are: %w", id, err)
	} else if err != nil {
		return response{}, err
	}
	event.Log(a.Log, event.OperatorDrainAsked, log.Fields{"backend": id})
	return response{status: http.StatusAccepted, body: map[string]any{"backend": id, "draining": true}}, nil
}
