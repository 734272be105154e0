package jobdaemon

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/metrics"
)

// Guards against metrics under other names than docs/OPERATIONS.md gives.
func TestMetricsHaveTheNamesOfTheOperationsPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(context.Background(), nil)
		defer g.Stop()
		r := metrics.Start(g)
		m := newEntryMetrics(r)
		m.countSubmission("q", jobapi.ErrNotAccepted)
		m.countDecision(jobs.Decision{Kind: jobs.RunOrdered, Age: time.Millisecond})
		m.countDecision(jobs.Decision{Kind: jobs.RunEnded, Detail: "done"})
		m.countDecision(jobs.Decision{Kind: jobs.JobEnded, Detail: "completed", Age: time.Second})
		m.recordPass(time.Millisecond, jobs.PassStats{Views: 1, Waiting: 1})
		m.countDecision(jobs.Decision{Kind: jobs.RunEnded, Detail: "lost", Cause: jobs.LostLeaseExpired})
		m.recordOwner(ownerStatus{permission: permissionDisputed, confirmedAt: 3 * time.Second, jobs: jobs.Status{Hosts: jobs.HostStates{Silent: 2}}}, 5*time.Second)
		newAgentMetrics(r).countDecision(hostagent.Decision{Kind: hostagent.StartRefused, Detail: "owner has been replaced"})
		m.recordLag(time.Millisecond)
		m.recordConfig(fromPeer, time.Millisecond)
		time.Sleep(3 * time.Second)
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		for _, name := range []string{
			"bambooscale_jobs_submitted_total", "bambooscale_jobs_runs_over_total", "bambooscale_jobs_jobs_over_total",
			"bambooscale_jobs_run_wait_seconds", "bambooscale_jobs_job_seconds", "bambooscale_jobs_config_install_seconds",
			"bambooscale_jobs_plan_seconds", "bambooscale_jobs_plan_views_total", "bambooscale_jobs_waiting_tasks", "bambooscale_jobs_loop_lag_seconds",
			`bambooscale_jobs_runs_lost_total{cause="lease-expired"} 1`, "bambooscale_jobs_owner_permission 2", "bambooscale_jobs_owner_confirmation_age_seconds 2",
			"bambooscale_jobs_silent_hosts 2", `bambooscale_agent_starts_refused_total{reason="owner has been replaced"} 1`,
		} {
			require.Contains(t, w.Body.String(), name)
		}
	})
}
