package operator

import (
	"context"
	"fmt"
	"maps"
	"net/http"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// JobView is a job as the API shows it.
type JobView struct {
	model.JobRow
	Cell model.Cell `json:"cell"`
}

// cell returns the cell that a request names, or the default cell.
func (a *API) cell(r *http.Request) (model.Cell, error) {
	cell := model.Cell(r.URL.Query().Get("cell"))
	if cell == "" {
		cell = a.DefaultCell
	}
	if !validName(string(cell)) {
		return "", newFinding("query", 0, "cell", "%q is not a valid cell name; a request must name its cell if the entry has no default cell", cell)
	}
	return cell, nil
}

func (a *API) submitJob(r *http.Request) (response, error) {
	cell, err := a.cell(r)
	if err != nil {
		return response{}, err
	}
	var spec model.JobSpec
	if err := decode(r, "job", &spec); err != nil {
		return response{}, err
	}
	if err := validateSpec(spec, a.ValidateLabels).Err(); err != nil {
		return response{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	row, created, err := a.jobs.submit(ctx, cell, spec)
	fields := log.Fields{"cell": cell, "job": spec.ID, "team": spec.Team}
	if err != nil {
		if errors.Is(err, storage.ErrOutcomeUnknown) {
			event.Log(a.Log, event.OperatorJobUnknown, fields)
		}
		return response{}, err
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
		event.Log(a.Log, event.OperatorJobAccepted, fields)
	}
	return response{status: status, body: JobView{row, cell}}, nil
}

func (a *API) listJobs(r *http.Request) (response, error) {
	cell, err := a.cell(r)
	if err != nil {
		return response{}, err
	}
	q := query{r: r}
	limit := q.number("limit", 100, 1, maxPageSize)
	phase, team := model.Phase(q.text("phase")), model.Team(q.text("team"))
	matches := func(model.Labels) bool { return true }
	if text := q.text("label"); text != "" {
		if parsed, err := a.ParseSelector(text); err != nil {
			q.addFinding("label", "%v", err)
		} else {
			matches = parsed
		}
	}
	if err := q.findings.Err(); err != nil {
		return response{}, err
	}
	filter := func(j model.JobRow) bool {
		return (phase == "" || j.Phase == phase) && (team == "" || j.Spec.Team == team) && matches(selectorLabels(j.Spec))
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := actor.Ask(ctx, a.index, func(reply actor.Reply[listReply]) listRequest {
		return listRequest{ctx: ctx, cell: cell, filter: filter, after: model.JobID(q.text("after")), limit: int(limit), reply: reply}
	})
	if err == nil {
		err = result.err
	}
	return response{body: result.page}, err
}

// selectorLabels returns the labels that selectors are matched against: those
// of the job, and its team and class.
func selectorLabels(s model.JobSpec) model.Labels {
	labels := maps.Clone(s.Labels)
	if labels == nil {
		labels = model.Labels{}
	}
	labels["team"], labels["class"] = string(s.Team), string(s.Class)
	return labels
}

// findJob returns the job that the path of a request names, or
// storage.ErrNotFound.
func (a *API) findJob(ctx context.Context, r *http.Request) (JobView, error) {
	cell, err := a.cell(r)
	if err != nil {
		return JobView{}, err
	}
	id := r.PathValue("id")
	if !validName(id) {
		return JobView{}, unknownJob(cell, model.JobID(id))
	}
	row, err := a.jobs.show(ctx, cell, model.JobID(id))
	return JobView{row, cell}, err
}

func (a *API) showJob(r *http.Request) (response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	view, err := a.findJob(ctx, r)
	return response{body: view}, err
}

func (a *API) cancelJob(r *http.Request) (response, error) {
	cell, err := a.cell(r)
	if err != nil {
		return response{}, err
	}
	id := model.JobID(r.PathValue("id"))
	if !validName(string(id)) {
		return response{}, unknownJob(cell, id)
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	row, err := a.jobs.cancel(ctx, cell, id)
	if err != nil {
		return response{}, err
	}
	event.Log(a.Log, event.OperatorCancelAsked, log.Fields{"cell": cell, "job": id})
	status := http.StatusAccepted
	if a.IsFinal != nil && a.IsFinal(row.Phase) {
		status = http.StatusOK
	}
	return response{status: status, body: JobView{row, cell}}, nil
}

func (a *API) jobResult(r *http.Request) (response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	view, err := a.findJob(ctx, r)
	if err != nil {
		return response{}, err
	}
	if view.Result == "" {
		return response{}, fmt.Errorf("result of job %s, which is %s: %w", view.Spec.ID, view.Phase, storage.ErrNotFound)
	}
	data, err := a.Objects.Get(ctx, view.Result)
	if err != nil {
		return response{}, fmt.Errorf("object %s: %w", view.Result, err)
	}
	if data == nil {
		data = []byte{}
	}
	return response{raw: data}, nil
}
