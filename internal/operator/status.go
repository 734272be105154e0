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

// Status is what one entry knows of the system.
type Status struct {
	Entry    model.EntryID         `json:"entry"`
	Build    string                `json:"build"`
	Problems []string              `json:"problems"` // what is wrong, most urgent first
	Config   ConfigSummary         `json:"config"`
	Services []model.ServiceStatus `json:"services"`
	Cells    []model.CellStatus    `json:"cells"`
}

// ConfigSummary is the configuration in force at the entry.
type ConfigSummary struct {
	Version model.ConfigVersion `json:"version"`
	State   string              `json:"state"`
}

func (a *API) status(r *http.Request) (response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	s := Status{Entry: a.Entry, Build: a.Build, Services: []model.ServiceStatus{}, Cells: []model.CellStatus{}}
	// A part that does not answer is a problem of its own and hides no other.
	if u, err := a.ConfigStore.Current(ctx); err != nil {
		s.Problems = append(s.Problems, "configuration does not answer: "+err.Error())
	} else {
		s.Config = ConfigSummary{Version: u.Snapshot.Version(), State: u.State}
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

// problems names what an operator should look at, most urgent first: what
// callers notice, then what jobs notice, then what may become a problem.
func problems(s Status) []string {
	var urgent, later []string
	for _, svc := range s.Services {
		u, l := serviceProblems(svc)
		urgent, later = append(urgent, u...), append(later, l...)
	}
	for _, c := range s.Cells {
		u, l := cellProblems(c)
		urgent, later = append(urgent, u...), append(later, l...)
	}
	switch s.Config.State {
	case "empty":
		urgent = append(urgent, "no configuration is held; work that needs one is refused")
	case "stale":
		later = append(later, fmt.Sprintf("configuration is stale at version %d: the table service is away", s.Config.Version))
	}
	return append(urgent, later...)
}

// expected lists the states of backend servers and workers that are no
// problem: in service, or taken out of it by an operator.
var expected = map[string]bool{"ready": true, "draining": true, "finishing": true, "left": true}

func serviceProblems(s model.ServiceStatus) (urgent, later []string) {
	ready := 0
	for _, b := range s.Backends {
		if b.State == "ready" {
			ready++
		}
		if expected[b.State] {
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
		if expected[w.State] {
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
		return a.explainRow(ctx, r, model.JobID(name))
	}
	return response{}, fmt.Errorf("%s %q is not known to this entry; bambooctl status --all and backend list show what is: %w", kind, name, err)
}

// rowExplanation explains a job by its row, when no controller of this entry
// has it in hand.
type rowExplanation struct {
	Job    model.JobID    `json:"job"`
	Cell   model.Cell     `json:"cell"`
	Phase  model.Phase    `json:"phase"`
	Worker model.WorkerID `json:"worker,omitempty"`
	Reason string         `json:"reason"`
}

func (a *API) explainRow(ctx context.Context, r *http.Request, id model.JobID) (response, error) {
	cell, err := a.cell(r)
	if err != nil {
		return response{}, err
	}
	if !jobName(string(id)) {
		return response{}, unknownJob(cell, id)
	}
	row, found, err := a.jobs.read(ctx, rows.JobKey(cell, id))
	if err != nil || !found {
		return response{}, errors.CombineErrors(err, unknownJob(cell, id))
	}
	e := rowExplanation{Job: id, Cell: cell, Phase: row.Phase, Worker: row.Worker}
	switch {
	case a.IsFinal != nil && a.IsFinal(row.Phase):
		e.Reason = fmt.Sprintf("it is over: it is %s after %d attempts", row.Phase, row.Attempt)
		if row.Reason != "" {
			e.Reason += ": " + row.Reason
		}
	default:
		e.Reason = a.otherOwner(ctx, cell)
	}
	return response{body: e}, nil
}

// otherOwner says where a job is explained that this entry does not control.
func (a *API) otherOwner(ctx context.Context, cell model.Cell) string {
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
