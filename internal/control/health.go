package control

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// Health judges workers and jobs by the outcomes of attempts.
type Health interface {
	Succeeded(now time.Duration, w model.WorkerID, j model.JobID)
	Failed(now time.Duration, w model.WorkerID, j model.JobID)
	// WorkerState says whether a connected worker may get tasks.
	WorkerState(now time.Duration, w model.WorkerID) place.WorkerState
	// Park reports whether a job that just failed is to be parked.
	Park(now time.Duration, j model.JobID) bool
}

// plainHealth trusts every worker and parks nothing.
type plainHealth struct{}

func (plainHealth) Succeeded(time.Duration, model.WorkerID, model.JobID) {}
func (plainHealth) Failed(time.Duration, model.WorkerID, model.JobID)    {}
func (plainHealth) Park(time.Duration, model.JobID) bool                 { return false }
func (plainHealth) WorkerState(time.Duration, model.WorkerID) place.WorkerState {
	return place.WorkerReady
}
