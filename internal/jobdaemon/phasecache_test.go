package jobdaemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against an owner whose cache lacks a job that it has loaded: as an entry it
// had just read the phase from the table service, and that is kept for a second only.
// The length of the job's queue was too low.
func TestOwnerCachesJobsWhosePhaseItHadRead(t *testing.T) {
	c := &controller{startedAt: time.Now(), jobs: jobs.New(1, 0), phases: newPhaseCache()}
	c.jobs.Restore(workload.Job{ID: "j", Queue: "q", Steps: []workload.Step{{Count: 1}}}, nil)
	c.phases.updateRead("j", workload.JobStatus{Phase: workload.Queued}, c.now())
	c.startFeeds()
	require.Equal(t, 1, c.phases.queued["q"])
	status, known := c.phases.status("j", c.now()+2*readPhaseLifetime)
	require.True(t, known)
	require.Equal(t, workload.Queued, status.Phase)
}
