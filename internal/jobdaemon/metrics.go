package jobdaemon

import (
	"errors"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/metrics"
)

// entryMetrics counts the submissions of an entry and the decisions of an owner,
// and records the cost of its planning passes and the lag of its loop. The labels
// are the queue, the outcome, how a run ended, why it was lost, and the final phase.
type entryMetrics struct{ scope tally.Scope }

func newEntryMetrics(r *metrics.Registry) *entryMetrics { return &entryMetrics{r.Scope("jobs")} }

func (m *entryMetrics) countSubmission(queue string, err error) {
	outcome := "accepted"
	switch {
	case errors.Is(err, jobapi.ErrOutcomeUnknown):
		outcome = "unknown"
	case errors.Is(err, jobapi.ErrInvalid):
		outcome = "invalid"
	case err != nil:
		outcome = "not-accepted"
	}
	m.scope.Tagged(map[string]string{"queue": queue, "outcome": outcome}).Counter("submitted_total").Inc(1)
}

// recordConfig records how long a configuration took from its arrival, from the
// table service or a peer, until it was in use.
func (m *entryMetrics) recordConfig(from string, d time.Duration) {
	m.scope.Tagged(map[string]string{"from": from}).Histogram("config_install_seconds", metrics.LatencyBuckets).RecordDuration(d)
}

// countDecision counts a decision of the owner.
func (m *entryMetrics) countDecision(d jobs.Decision) {
	switch d.Kind {
	case jobs.RunOrdered:
		m.recordDuration("run_wait_seconds", d.Age)
	case jobs.RunEnded:
		m.scope.Tagged(map[string]string{"end": d.Detail}).Counter("runs_over_total").Inc(1)
		if d.Cause != "" {
			m.scope.Tagged(map[string]string{"cause": string(d.Cause)}).Counter("runs_lost_total").Inc(1)
		}
	case jobs.JobEnded:
		m.scope.Tagged(map[string]string{"phase": d.Detail}).Counter("jobs_over_total").Inc(1)
		m.recordDuration("job_seconds", d.Age)
	}
}

// recordPass records a planning pass of the owner that took d.
func (m *entryMetrics) recordPass(d time.Duration, p jobs.PassStats) {
	m.recordDuration("plan_seconds", d)
	m.scope.Counter("plan_views_total").Inc(int64(p.Views))
	m.scope.Gauge("waiting_tasks").Update(float64(p.Waiting))
}

// recordLag records how late a step of the controller's loop was.
func (m *entryMetrics) recordLag(d time.Duration) { m.recordDuration("loop_lag_seconds", d) }

func (m *entryMetrics) recordDuration(name string, d time.Duration) {
	m.scope.Histogram(name, metrics.LatencyBuckets).RecordDuration(d)
}

// agentMetrics counts the starts that an agent refuses.
type agentMetrics struct{ scope tally.Scope }

func newAgentMetrics(r *metrics.Registry) *agentMetrics { return &agentMetrics{r.Scope("agent")} }

// countDecision counts a decision of the agent.
func (m *agentMetrics) countDecision(d hostagent.Decision) {
	if d.Kind == hostagent.StartRefused {
		m.scope.Tagged(map[string]string{"reason": d.Detail}).Counter("starts_refused_total").Inc(1)
	}
}
