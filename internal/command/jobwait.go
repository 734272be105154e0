package command

import (
	"context"
	"fmt"
	"io/fs"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
)

// pollInterval is the time between two requests for the state of a job or of a
// backend server while a command waits.
const pollInterval = time.Second

// phaseParked is the phase in which a job waits for an operator. A wait for its
// end would not return until then.
const phaseParked model.Phase = "parked"

// jobEndedError reports that the wait for a job ended in a phase other than
// done.
type jobEndedError struct{ job operator.JobView }

func (e *jobEndedError) Error() string {
	return fmt.Sprintf("job %s is %s: %s", e.job.Spec.ID, e.job.Phase, orDash(e.job.Reason))
}

// awaitJob waits until a job has ended or is parked, and shows it. Every phase
// but done is a *jobEndedError.
func (a *app) awaitJob(ctx context.Context, view operator.JobView, timeout time.Duration) error {
	final, err := finalPhases(charts.Files)
	if err != nil {
		return err
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	for shown := model.Phase(""); ; {
		if view.Phase != shown {
			shown = view.Phase
			a.progress("%s", strings.TrimSpace(fmt.Sprintf("job %s is %s %s", view.Spec.ID, view.Phase, view.Reason)))
		}
		if final[view.Phase] || (view.Phase == phaseParked && !view.CancelRequested) {
			break
		}
		if !actor.Sleep(ctx, pollInterval) {
			return exitErrorf(ExitFailure, "job %s has not ended yet; it is %s", view.Spec.ID, view.Phase)
		}
		err := a.client.get(ctx, jobPath(string(view.Spec.ID)), cellQuery(string(view.Cell)), &view)
		if err != nil && exitCode(err) != ExitUnavailable {
			return err
		}
	}
	if err := a.showJobs([]operator.JobView{view}, view); err != nil {
		return err
	}
	if view.Phase != "done" {
		return &jobEndedError{view}
	}
	return nil
}

// finalPhases returns the final states of charts/job.scxml.
func finalPhases(fsys fs.FS) (map[model.Phase]bool, error) {
	doc, err := chart.Parse(fsys, "job")
	if err != nil {
		return nil, err
	}
	final := map[model.Phase]bool{}
	for _, s := range doc.States {
		if s.Final {
			final[model.Phase(s.ID)] = true
		}
	}
	return final, nil
}
