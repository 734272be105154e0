package jobdaemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/metrics"
)

// keptBytes is how much of an answer of the metrics endpoint is kept of an incident.
const keptBytes = 2048

// keptMetrics returns what is kept of the metrics after record has run.
func keptMetrics(t *testing.T, record func(r *metrics.Registry)) string {
	var text string
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(context.Background(), nil)
		defer g.Stop()
		r := metrics.Start(g)
		record(r)
		time.Sleep(3 * time.Second)
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		text = w.Body.String()
	})
	return text[:min(len(text), keptBytes)]
}

// Guards against an incident of which only buckets of histograms are kept: what an owner
// waits for has to be in the first part of its metrics.
func TestMetricsOfAnOwnerBeginWithItsState(t *testing.T) {
	text := keptMetrics(t, func(r *metrics.Registry) {
		m := newEntryMetrics(r)
		for i := range 50 {
			m.countSubmission(fmt.Sprint("queue-", i), nil)
		}
		m.recordConfig(fromPeer, time.Millisecond)
		m.recordLag(time.Millisecond)
		m.countDecision(jobs.Decision{Kind: jobs.JobEnded, Detail: "completed", Age: time.Second})
		m.recordPass(time.Millisecond, jobs.PassStats{Views: 1, Waiting: 110_000})
		m.recordOwner(ownerStatus{epoch: 123_456_789, permission: permissionLapsed, confirmedAt: 1234567 * time.Millisecond, jobs: jobs.Status{
			Hosts:       jobs.HostStates{Ready: 6001, Claiming: 6002, Silent: 6003, Away: 6004},
			OldestClaim: 123456 * time.Millisecond, OldestGrant: 234567 * time.Millisecond, FormerOwners: 299123 * time.Millisecond,
			Recovery: 306543 * time.Millisecond, RecoveryWaiting: 46_000, Runs: jobs.RunStates{Ordered: 111_001, Running: 111_002, Stopping: 111_003},
		}}, 2345678*time.Millisecond)
	})
	for _, line := range []string{
		`hosts{state="away"} 6004`, `hosts{state="claiming"} 6002`, `hosts{state="ready"} 6001`, `hosts{state="silent"} 6003`,
		"former_owners_seconds 299.123", "oldest_claim_seconds 123.456", "oldest_grant_seconds 234.567", "owner_confirmation_age_seconds 1111.111",
		"owner_epoch 1.23456789e+08", "owner_permission 3", "recovery_seconds 306.543", "recovery_waiting_jobs 46000",
		`runs{state="ordered"} 111001`, `runs{state="running"} 111002`, `runs{state="stopping"} 111003`, "silent_hosts 6003", "waiting_tasks 110000",
	} {
		require.Contains(t, text, "\nbambooscale_jobs_"+line+"\n")
	}
}

// Guards against an incident of which the state of the agents is not kept.
func TestMetricsOfAnAgentBeginWithItsState(t *testing.T) {
	text := keptMetrics(t, func(r *metrics.Registry) {
		m := newAgentMetrics(r)
		for i := range 50 {
			m.countDecision(hostagent.Decision{Kind: hostagent.StartRefused, Detail: fmt.Sprint("a reason to refuse the start of a run ", i)})
		}
		m.recordStatus(hostagent.Status{
			Epoch: 2, Entries: 13, Obeys: hostagent.InventoryApplied, Incarnation: 1, Polled: true, PollAge: 4 * time.Second, LeaseLeft: 5 * time.Second, Runs: 40,
		})
	})
	for _, line := range []string{
		"epoch 2", "entries 13", "owner 3", "incarnation 1", "poll_age_seconds 4", "lease_left_ms 5000", "runs 40",
	} {
		require.Contains(t, text, "\nbambooscale_agent_"+line+"\n")
	}
	require.Contains(t, keptMetrics(t, func(r *metrics.Registry) { newAgentMetrics(r).recordStatus(hostagent.Status{}) }),
		"\nbambooscale_agent_poll_age_seconds -1\n")
}
